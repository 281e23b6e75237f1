//! The agents that another entry hears.

use model::AgentId;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use wire::{Heartbeat, Pulse};

use crate::{HeartbeatSource, Member};

/// The agents that another entry hears, as it last told.
#[derive(Debug)]
pub(crate) struct View {
    /// Control address of that entry.
    home: SocketAddr,
    /// Tag of the view.
    pub(crate) tag: u32,
    /// When the entry was last heard, in milliseconds.
    pub(crate) last_seen_ms: u64,
    /// Newest heartbeats by agent.
    beats: BTreeMap<AgentId, Heartbeat>,
}

impl View {
    pub fn new(now_ms: u64, home: SocketAddr, tag: u32, beats: Vec<Heartbeat>) -> Self {
        let beats = beats.into_iter().map(|beat| (beat.agent.clone(), beat));
        Self {
            home,
            tag,
            last_seen_ms: now_ms,
            beats: beats.collect(),
        }
    }

    /// The agents in it.
    pub fn agents(&self) -> impl Iterator<Item = &AgentId> {
        self.beats.keys()
    }

    /// An agent as this view tells of it.
    pub fn member(&self, agent: &AgentId) -> Option<Member> {
        self.beats.get(agent).map(|beat| Member {
            beat: beat.clone(),
            last_seen_ms: self.last_seen_ms,
            source: HeartbeatSource::Relayed(self.home),
        })
    }

    /// Raises the number of the configuration that is in force at each agent.
    pub fn raise_config(&mut self, number: u64) {
        for beat in self.beats.values_mut() {
            beat.config = beat.config.max(number);
        }
    }

    /// Takes loads; returns the agents that they are of.
    pub fn take_loads(&mut self, loads: &[Pulse]) -> Vec<AgentId> {
        let mut taken = Vec::new();
        for beat in self.beats.values_mut() {
            let own = loads
                .iter()
                .find(|pulse| pulse.incarnation == beat.incarnation);
            if own.is_some_and(|pulse| pulse.sequence > beat.sequence && beat.apply_pulse(pulse)) {
                taken.push(beat.agent.clone());
            }
        }
        taken
    }
}
