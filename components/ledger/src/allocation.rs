//! Allocation of a VM's resources to an attempt.

use model::{KindName, Resources};
use wire::StartOrder;

/// State of an attempt that has an allocation.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AllocationState {
    /// Admitted, but not started until the attempts that it preempts have stopped.
    AwaitingPreemption,
    /// The runtime has been asked to start it and has not answered yet.
    Starting,
    /// Running under a lease.
    Running,
    /// The runtime has been asked to stop it and has not confirmed the end yet.
    Stopping {
        /// Whether the attempt writes a checkpoint before it stops.
        checkpoint: bool,
    },
}

/// Resources allocated to one attempt, and the attempt's state.
#[derive(Debug, Clone, PartialEq)]
pub struct Allocation {
    /// Order that started the attempt; `None` if it was started before this agent.
    pub order: Option<StartOrder>,
    /// Resources that the order, or the runtime's report, declares for the attempt.
    pub need: Resources,
    /// Highest usage that the runtime has measured.
    pub peak: Resources,
    /// Current state.
    pub state: AllocationState,
    /// When this agent admitted the attempt or first saw it running.
    pub since_ms: u64,
    /// Share of its processors that the attempt may use; 100 is unthrottled.
    pub throttle_percent: u32,
}

impl Allocation {
    /// Resources counted as taken: the larger of the declared need and the measured peak.
    pub fn committed(&self) -> Resources {
        self.need.max(&self.peak)
    }

    /// Whether urgent work may preempt the attempt: it runs and is not known to be urgent itself.
    pub fn is_preemptible(&self) -> bool {
        let is_urgent = self.order.as_ref().is_some_and(|order| order.urgent);
        !is_urgent && matches!(self.state, AllocationState::Running)
    }

    /// Kind of work; `None` if the attempt was started before this agent.
    pub fn kind(&self) -> Option<&KindName> {
        self.order.as_ref().map(|order| &order.kind)
    }
}
