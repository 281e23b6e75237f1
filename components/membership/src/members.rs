//! The agents that are alive.

use crate::Change;
use model::AgentId;
use std::collections::BTreeMap;
use wire::Heartbeat;

/// An agent that is alive.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Member {
    /// Its newest heartbeat.
    pub beat: Heartbeat,
    /// When that came.
    pub heard_ms: u64,
}

/// The agents that are alive.
#[derive(Debug)]
pub struct Members {
    /// Time without a heartbeat after which an agent counts as lost.
    ttl_ms: u64,
    /// Agents by name.
    agents: BTreeMap<AgentId, Member>,
}

impl Members {
    /// No agents yet.
    ///
    /// ```
    /// assert_eq!(membership::Members::new(2_500).iter().count(), 0);
    /// ```
    pub fn new(ttl_ms: u64) -> Self {
        Self {
            ttl_ms,
            agents: BTreeMap::new(),
        }
    }

    /// Takes a heartbeat; `None` if it is older than one heard before.
    pub fn on_heartbeat(&mut self, now_ms: u64, beat: &Heartbeat) -> Option<Vec<Change>> {
        let before = self.agents.get(&beat.agent);
        let same = before.filter(|member| member.beat.incarnation == beat.incarnation);
        if same.is_some_and(|member| member.beat.sequence >= beat.sequence) {
            return None;
        }
        let mut changes = Vec::new();
        if same.is_none() {
            changes.push(Change::Joined(beat.agent.clone()));
        }
        if beat.draining && same.is_none_or(|member| !member.beat.draining) {
            changes.push(Change::Leaving(beat.agent.clone()));
        }
        let member = Member {
            beat: beat.clone(),
            heard_ms: now_ms,
        };
        self.agents.insert(beat.agent.clone(), member);
        Some(changes)
    }

    /// Drops agents whose heartbeats stopped.
    pub fn expire(&mut self, now_ms: u64) -> Vec<Change> {
        let ttl_ms = self.ttl_ms;
        let is_lost = |member: &Member| now_ms.saturating_sub(member.heard_ms) >= ttl_ms;
        let lost: Vec<AgentId> = self
            .agents
            .values()
            .filter(|m| is_lost(m))
            .map(|m| m.beat.agent.clone())
            .collect();
        self.agents.retain(|_, member| !is_lost(member));
        lost.into_iter().map(Change::Lost).collect()
    }

    /// An agent by name.
    pub fn get(&self, agent: &AgentId) -> Option<&Member> {
        self.agents.get(agent)
    }

    /// All agents, in order of names.
    pub fn iter(&self) -> impl Iterator<Item = &Member> {
        self.agents.values()
    }
}
