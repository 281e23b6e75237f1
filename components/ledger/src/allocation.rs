//! An attempt that holds part of the VM.

use model::{KindName, Resources};
use wire::StartOrder;

/// What an attempt is doing.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AllocationState {
    /// Waits until the attempts that make room for it have stopped.
    AwaitingPreemption,
    /// The runtime is being asked to start it.
    Starting,
    /// Runs under a lease.
    Running,
    /// The runtime is being asked to stop it.
    Stopping {
        /// Whether a checkpoint is written first.
        checkpoint: bool,
    },
}

/// An attempt that holds part of the VM.
#[derive(Debug, Clone, PartialEq)]
pub struct Allocation {
    /// The order that started it; absent if it ran before this agent did.
    pub order: Option<StartOrder>,
    /// What it is declared to need.
    pub need: Resources,
    /// Highest usage measured.
    pub peak: Resources,
    /// What it is doing.
    pub state: AllocationState,
    /// When it was taken in.
    pub since_ms: u64,
    /// Share of its processors that it may use.
    pub throttle_percent: u32,
}

impl Allocation {
    /// What is set aside for it: the larger of what is declared and what was measured.
    pub fn committed(&self) -> Resources {
        self.need.max(&self.peak)
    }

    /// Whether it may be pushed aside by urgent work.
    pub fn is_preemptible(&self) -> bool {
        let urgent = self.order.as_ref().is_some_and(|order| order.urgent);
        !urgent && matches!(self.state, AllocationState::Running)
    }

    /// Kind of work, if known.
    pub fn kind(&self) -> Option<&KindName> {
        self.order.as_ref().map(|order| &order.kind)
    }
}
