//! The entries that an agent sends its heartbeats to.

use model::AgentId;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use utils::{Map, rank};

/// Time for which an entry that did not answer is left out.
const DOWN_MS: u64 = 2_000;

/// What an agent knows of an entry as a receiver of heartbeats.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Standing {
    /// It answered last time.
    Up,
    /// It did not, and is left out until then.
    DownUntil(u64),
}

/// Chooses the entries that an agent sends its heartbeats to.
///
/// The order is the agent's own by rendezvous hash, so that agents spread evenly and few move when
/// an entry comes or goes.
#[derive(Debug)]
pub struct HomeSelector {
    /// Entries that should hear the agent.
    count: usize,
    /// What is known of each entry.
    standing: Map<SocketAddr, Standing>,
}

impl HomeSelector {
    /// Nothing is known of any entry yet.
    ///
    /// ```
    /// let entries = ["127.0.0.1:1", "127.0.0.1:2"].map(|entry| entry.parse().unwrap());
    /// let homes = membership::HomeSelector::new(2);
    /// assert_eq!(homes.choose(0, &"w".into(), &entries.into()).len(), 2);
    /// ```
    pub fn new(count: usize) -> Self {
        Self {
            count,
            standing: Map::default(),
        }
    }

    /// The entries to send to: the first of the agent's order that answer, and one more while
    /// these are too few.
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
            match self.standing.get(&entry) {
                Some(Standing::DownUntil(until_ms)) if now_ms < *until_ms => continue,
                Some(Standing::Up) => up += 1,
                Some(Standing::DownUntil(_)) | None => {}
            }
            chosen.push(entry);
        }
        chosen
    }

    /// An entry answered.
    ///
    /// ```
    /// membership::HomeSelector::new(1).answered("127.0.0.1:1".parse().unwrap());
    /// ```
    pub fn answered(&mut self, entry: SocketAddr) {
        self.standing.insert(entry, Standing::Up);
    }

    /// An entry did not answer, or shuts down.
    ///
    /// ```
    /// membership::HomeSelector::new(1).failed(0, "127.0.0.1:1".parse().unwrap());
    /// ```
    pub fn failed(&mut self, now_ms: u64, entry: SocketAddr) {
        let standing = Standing::DownUntil(now_ms + DOWN_MS);
        self.standing.insert(entry, standing);
    }
}
