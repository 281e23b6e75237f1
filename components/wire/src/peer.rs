//! State that entries exchange with each other.

use crate::Heartbeat;
use model::{DomainName, EntryId};
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// State of an entry, without its agents.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PeerState {
    /// Identifier of the entry.
    pub entry: EntryId,
    /// Address on which it accepts control calls.
    pub control: SocketAddr,
    /// Failure domain of its VM.
    pub domain: DomainName,
    /// Number of the configuration in force on the entry.
    pub config: u64,
    /// Whether it is shutting down.
    pub draining: bool,
}

/// State of an entry and of the agents that send their heartbeats to it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PeerView {
    /// State of the entry itself.
    pub state: PeerState,
    /// Hash of the entry's state and its agents without their loads; a change means that other
    /// entries must fetch the view again.
    pub tag: u32,
    /// Last heartbeat of each agent that sends to this entry.
    pub beats: Vec<Heartbeat>,
}

/// Heartbeat of an entry, small enough to be sent to every other entry.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Digest {
    /// Control address of the entry.
    pub control: SocketAddr,
    /// Tag of its current [`PeerView`].
    pub tag: u32,
    /// Number of the configuration in force on the entry.
    pub config: u64,
    /// Lowest number of a configuration in force among the agents that send to it.
    pub agents_config: u64,
    /// Whether it is shutting down.
    pub draining: bool,
}
