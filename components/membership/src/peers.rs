//! The other entries.

use model::EntryId;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use wire::{Digest, PeerState};

/// Time without news after which an entry counts as gone.
const PEER_TTL_MS: u64 = 5_000;

/// Another entry.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Peer {
    /// What it last told.
    pub state: PeerState,
    /// When that came.
    pub last_seen_ms: u64,
}

/// The other entries, as far as they were heard.
#[derive(Debug, Default)]
pub struct Peers {
    /// Entries by name.
    entries: BTreeMap<EntryId, Peer>,
}

impl Peers {
    /// Takes what an entry told.
    pub fn update(&mut self, now_ms: u64, state: PeerState) {
        // An entry that started anew at the same address has another name.
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

    /// Takes a sign of life; answers whether the entry is known.
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

    /// Entries heard of late, in order of names.
    pub fn live(&self, now_ms: u64) -> impl Iterator<Item = &Peer> {
        let is_live = move |peer: &&Peer| now_ms.saturating_sub(peer.last_seen_ms) < PEER_TTL_MS;
        self.entries.values().filter(is_live)
    }

    /// Control addresses of live entries that take work.
    pub fn addresses(&self, now_ms: u64) -> Vec<SocketAddr> {
        self.live(now_ms)
            .filter(|peer| !peer.state.draining)
            .map(|p| p.state.control)
            .collect()
    }
}
