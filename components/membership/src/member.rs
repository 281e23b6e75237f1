//! Live agents.

use std::net::SocketAddr;
use wire::Heartbeat;

/// Path by which the state of an agent reaches this entry.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum HeartbeatSource {
    /// The agent sends heartbeats to this entry.
    Direct,
    /// The entry with this control address receives the heartbeats and relays them.
    Relayed(SocketAddr),
}

/// State of a live agent.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Member {
    /// Newest known heartbeat of the agent.
    pub heartbeat: Heartbeat,
    /// Time at which the agent was last known to run, by a heartbeat or pulse of its own or by a
    /// view or digest of the relaying entry.
    pub last_seen_ms: u64,
    /// Path by which the heartbeat came.
    pub source: HeartbeatSource,
}

impl Member {
    /// Order of several states of one agent, the best one last: by incarnation, then direct after
    /// relayed, then by heartbeat sequence.
    pub(crate) fn rank(&self) -> (u64, bool, u64) {
        let is_direct = self.source == HeartbeatSource::Direct;
        (
            self.heartbeat.incarnation,
            is_direct,
            self.heartbeat.sequence,
        )
    }
}
