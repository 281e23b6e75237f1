//! What a shard's owner has to do outside of the table.

use backing::AttemptRef;
use model::{AgentId, JobStatus};
use wire::{StartOrder, StopOrder};

/// What a shard's owner has to do outside of the table.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Effect {
    /// Order the agent to start a durably placed attempt.
    Start(AgentId, StartOrder),
    /// Order the agent to stop an attempt.
    Stop(AgentId, StopOrder),
    /// Tell the agent that an end is durable.
    Confirm(AgentId, AttemptRef),
    /// Stop the attempt through the platform, because its agent is gone.
    Recover(AgentId, AttemptRef),
    /// A job ended.
    JobEnded(JobStatus),
}
