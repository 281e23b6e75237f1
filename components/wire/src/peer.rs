//! What entries tell each other.

use crate::Heartbeat;
use model::{DomainName, EntryId};
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// State of an entry.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PeerState {
    /// The entry.
    pub entry: EntryId,
    /// Its control address.
    pub control: SocketAddr,
    /// Its failure domain.
    pub domain: DomainName,
    /// Number of the configuration in force there.
    pub config: u64,
    /// Whether it is shutting down.
    pub draining: bool,
}

/// State of an entry and of the agents that it hears itself.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PeerView {
    /// The entry.
    pub state: PeerState,
    /// Changes with the entry and with what it knows of its agents, loads left out.
    pub tag: u32,
    /// Newest heartbeats of the agents that it hears itself.
    pub beats: Vec<Heartbeat>,
}

/// Sign of life of an entry, small enough to be sent to every other one.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Digest {
    /// Control address of the entry.
    pub control: SocketAddr,
    /// Tag of its view.
    pub tag: u32,
    /// Number of the configuration in force there.
    pub config: u64,
    /// Lowest number in force among the agents that it hears itself.
    pub agents_config: u64,
    /// Whether it is shutting down.
    pub draining: bool,
}
