//! Changes of the membership.

use model::AgentId;

/// What a heartbeat or its absence changed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Change {
    /// The agent is new, or was restarted.
    Joined(AgentId),
    /// The agent began to leave.
    Leaving(AgentId),
    /// The agent's heartbeats stopped.
    Lost(AgentId),
}
