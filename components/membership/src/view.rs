//! Agents that another entry relays.

use model::AgentId;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use wire::{Heartbeat, Pulse};

use crate::{HeartbeatSource, Member};

/// Agents that send heartbeats to another entry, as of its last view.
#[derive(Debug)]
pub(crate) struct View {
    /// Control address of the entry.
    entry: SocketAddr,
    /// Hash that digests carry; the view is out of date if theirs differs.
    pub(crate) tag: u32,
    /// Time of the last view or digest of the entry.
    pub(crate) last_seen_ms: u64,
    /// Newest known heartbeats by agent.
    heartbeats: BTreeMap<AgentId, Heartbeat>,
}

impl View {
    pub fn new(now_ms: u64, entry: SocketAddr, tag: u32, heartbeats: Vec<Heartbeat>) -> Self {
        let heartbeats = heartbeats
            .into_iter()
            .map(|heartbeat| (heartbeat.agent.clone(), heartbeat));
        Self {
            entry,
            tag,
            last_seen_ms: now_ms,
            heartbeats: heartbeats.collect(),
        }
    }

    /// Agents in the view, sorted by name.
    pub fn agents(&self) -> impl Iterator<Item = &AgentId> {
        self.heartbeats.keys()
    }

    /// Returns the state of an agent according to this view.
    pub fn member(&self, agent: &AgentId) -> Option<Member> {
        self.heartbeats.get(agent).map(|heartbeat| Member {
            heartbeat: heartbeat.clone(),
            last_seen_ms: self.last_seen_ms,
            source: HeartbeatSource::Relayed(self.entry),
        })
    }

    /// Raises the configuration number of all agents to at least `number`.
    pub fn raise_config(&mut self, number: u64) {
        for heartbeat in self.heartbeats.values_mut() {
            heartbeat.config = heartbeat.config.max(number);
        }
    }

    /// Applies loads that are newer than the known heartbeats; returns the updated agents.
    pub fn apply_loads(&mut self, loads: &[Pulse]) -> Vec<AgentId> {
        let mut updated = Vec::new();
        for heartbeat in self.heartbeats.values_mut() {
            let own = loads
                .iter()
                .find(|pulse| pulse.incarnation == heartbeat.incarnation);
            if own.is_some_and(|pulse| {
                pulse.sequence > heartbeat.sequence && heartbeat.apply_pulse(pulse)
            }) {
                updated.push(heartbeat.agent.clone());
            }
        }
        updated
    }
}
