//! An agent that is alive.

use std::net::SocketAddr;
use wire::Heartbeat;

/// How news of an agent come.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum HeartbeatSource {
    /// From the agent itself.
    Direct,
    /// From the entry with this control address, which hears the agent.
    Relayed(SocketAddr),
}

/// An agent that is alive.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Member {
    /// Its newest heartbeat.
    pub beat: Heartbeat,
    /// When that came, in milliseconds.
    pub last_seen_ms: u64,
    /// How it came.
    pub source: HeartbeatSource,
}

impl Member {
    /// Order of news about one agent: a later start first, then what it told itself, then the
    /// newer heartbeat.
    pub(crate) fn rank(&self) -> (u64, bool, u64) {
        let is_direct = self.source == HeartbeatSource::Direct;
        (self.beat.incarnation, is_direct, self.beat.sequence)
    }
}
