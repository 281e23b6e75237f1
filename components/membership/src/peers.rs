//! Other entries of the cluster.

use model::EntryId;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use wire::{Digest, PeerState};

/// Time without a state or digest after which an entry is no longer live.
const PEER_TTL_MS: u64 = 5_000;

/// State of another entry.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Peer {
    /// Last received state, updated by later digests.
    pub state: PeerState,
    /// Time of the last state or digest.
    pub last_seen_ms: u64,
}

/// Other entries that this entry has received a state of.
#[derive(Debug, Default)]
pub struct Peers {
    /// Entries by name, including those that are no longer live.
    entries: BTreeMap<EntryId, Peer>,
}

impl Peers {
    /// Applies the full state of an entry.
    pub fn update(&mut self, now_ms: u64, state: PeerState) {
        // An entry that restarts at the same address has another name.
        self.entries
            .retain(|_, peer| peer.state.control != state.control);
        self.entries.insert(
            state.entry.clone(),
            Peer {
                state,
                last_seen_ms: now_ms,
            },
        );
    }

    /// Applies a digest; returns whether the entry is known. If not, its state must be fetched.
    pub fn on_digest(&mut self, now_ms: u64, digest: &Digest) -> bool {
        let mut entries = self.entries.values_mut();
        let Some(peer) = entries.find(|peer| peer.state.control == digest.control) else {
            return false;
        };
        peer.last_seen_ms = now_ms;
        peer.state.config = digest.config;
        peer.state.draining = digest.draining;
        true
    }

    /// Live entries, sorted by name.
    pub fn live(&self, now_ms: u64) -> impl Iterator<Item = &Peer> {
        let is_live = move |peer: &&Peer| now_ms.saturating_sub(peer.last_seen_ms) < PEER_TTL_MS;
        self.entries.values().filter(is_live)
    }

    /// Control addresses of live entries that are not draining.
    pub fn addresses(&self, now_ms: u64) -> Vec<SocketAddr> {
        self.live(now_ms)
            .filter(|peer| !peer.state.draining)
            .map(|p| p.state.control)
            .collect()
    }
}
