//! Changes of the set of live agents.

use model::AgentId;

/// Change of the set of live agents, caused by a heartbeat, a view or an expiry.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum MembershipChange {
    /// The agent is new or has restarted.
    Joined(AgentId),
    /// The agent has started to drain.
    Leaving(AgentId),
    /// No heartbeats of the agent reach this entry any more, directly or relayed.
    Lost(AgentId),
}

impl MembershipChange {
    /// Returns the agent that has changed.
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
