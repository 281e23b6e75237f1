//! Actions that follow from a shard's state.

use backing::AttemptRef;
use model::{AgentId, JobStatus};
use wire::{StartOrder, StopOrder};

/// Action that a shard's owner has to carry out outside of the table.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Effect {
    /// Order the agent to start an attempt whose placement is durable.
    Start(AgentId, StartOrder),
    /// Order the agent to stop an attempt.
    Stop(AgentId, StopOrder),
    /// Confirm to the agent that the end of an attempt is durable, so that it stops reporting it.
    Confirm(AgentId, AttemptRef),
    /// Stop the attempt through the platform, because its agent has sent no heartbeat for long.
    Recover(AgentId, AttemptRef),
    /// A job has ended and its summary is durable.
    JobEnded(JobStatus),
}
