//! Changes of the membership.

use model::AgentId;

/// What a heartbeat or its absence changed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum MembershipChange {
    /// The agent is new, or was restarted.
    Joined(AgentId),
    /// The agent began to leave.
    Leaving(AgentId),
    /// The agent's heartbeats stopped.
    Lost(AgentId),
}

impl MembershipChange {
    /// The agent that it is about.
    ///
    /// ```
    /// let change = membership::MembershipChange::Lost("w".into());
    /// assert_eq!(change.agent().as_str(), "w");
    /// ```
    pub fn agent(&self) -> &AgentId {
        match self {
            Self::Joined(agent) | Self::Leaving(agent) | Self::Lost(agent) => agent,
        }
    }
}
