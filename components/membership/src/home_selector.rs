//! Selection of the entries that an agent sends its heartbeats to.

use model::AgentId;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use utils::{Map, rank};

/// Time for which an entry that did not answer is not selected.
const DOWN_MS: u64 = 2_000;

/// Result of the last heartbeat sent to an entry.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum EntryState {
    /// The entry answered.
    Up,
    /// The entry did not answer and is not selected until this time.
    DownUntil(u64),
}

/// Selects the homes of an agent: the entries that it sends its heartbeats to.
///
/// Entries are ranked for each agent by rendezvous hash, so that agents are spread evenly and few
/// change their homes when an entry joins or leaves.
#[derive(Debug)]
pub struct HomeSelector {
    /// Number of entries that should receive heartbeats.
    count: usize,
    /// State of each entry that a heartbeat was sent to.
    entry_states: Map<SocketAddr, EntryState>,
}

impl HomeSelector {
    /// Creates a selector of `count` homes that has sent no heartbeat yet.
    ///
    /// ```
    /// let entries = ["127.0.0.1:1", "127.0.0.1:2"].map(|entry| entry.parse().unwrap());
    /// let homes = membership::HomeSelector::new(2);
    /// assert_eq!(homes.choose(0, &"w".into(), &entries.into()).len(), 2);
    /// ```
    pub fn new(count: usize) -> Self {
        Self {
            count,
            entry_states: Map::default(),
        }
    }

    /// Returns the entries to send the next heartbeat to: the first of the agent's ranking that are
    /// not down, up to `count` that are known to answer. While there are fewer of these, one more
    /// entry than `count` may be included.
    pub fn choose(
        &self,
        now_ms: u64,
        agent: &AgentId,
        entries: &BTreeSet<SocketAddr>,
    ) -> Vec<SocketAddr> {
        if entries.len() <= self.count {
            return entries.iter().copied().collect();
        }
        let named = entries.iter().map(|entry| (*entry, entry.to_string()));
        let ranked = rank(agent.as_str(), named, |(_, name)| name);
        let mut chosen = Vec::new();
        let mut up = 0;
        for (entry, _) in ranked {
            if up == self.count || chosen.len() > self.count {
                break;
            }
            match self.entry_states.get(&entry) {
                Some(EntryState::DownUntil(until_ms)) if now_ms < *until_ms => continue,
                Some(EntryState::Up) => up += 1,
                Some(EntryState::DownUntil(_)) | None => {}
            }
            chosen.push(entry);
        }
        chosen
    }

    /// Records that an entry answered a heartbeat.
    ///
    /// ```
    /// membership::HomeSelector::new(1).answered("127.0.0.1:1".parse().unwrap());
    /// ```
    pub fn answered(&mut self, entry: SocketAddr) {
        self.entry_states.insert(entry, EntryState::Up);
    }

    /// Records that an entry did not answer or is shutting down.
    ///
    /// ```
    /// membership::HomeSelector::new(1).failed(0, "127.0.0.1:1".parse().unwrap());
    /// ```
    pub fn failed(&mut self, now_ms: u64, entry: SocketAddr) {
        let state = EntryState::DownUntil(now_ms + DOWN_MS);
        self.entry_states.insert(entry, state);
    }
}
