//! The agents that are alive.

use crate::Change;
use model::AgentId;
use std::collections::BTreeMap;
use wire::{Heartbeat, Pulse};

/// How long a lost agent is remembered.
const LOST_TTL_MS: u64 = 3_600_000;

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
    /// When each lost agent was last heard.
    lost: BTreeMap<AgentId, u64>,
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
            lost: BTreeMap::new(),
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
        self.lost.remove(&beat.agent);
        self.agents.insert(beat.agent.clone(), member);
        Some(changes)
    }

    /// Takes a pulse; returns the agent's whole state after it, or `None` if the rest of that is
    /// not known or something newer was heard.
    pub fn on_pulse(&mut self, now_ms: u64, pulse: &Pulse) -> Option<&Heartbeat> {
        let mut members = self.agents.values_mut();
        let member = members.find(|member| member.beat.incarnation == pulse.incarnation)?;
        if member.beat.sequence >= pulse.sequence || !member.beat.take(pulse) {
            return None;
        }
        member.heard_ms = now_ms;
        Some(&member.beat)
    }

    /// Whether the rest of an agent's state is known, so that a pulse tells all.
    pub fn knows(&self, pulse: &Pulse) -> bool {
        let mut members = self.agents.values();
        members.any(|member| {
            let beat = &member.beat;
            beat.incarnation == pulse.incarnation && beat.services.len() == pulse.loads.len()
        })
    }

    /// Drops agents whose heartbeats stopped.
    pub fn expire(&mut self, now_ms: u64) -> Vec<Change> {
        let ttl_ms = self.ttl_ms;
        let is_lost = |member: &Member| now_ms.saturating_sub(member.heard_ms) >= ttl_ms;
        let lost: Vec<(AgentId, u64)> = self
            .agents
            .values()
            .filter(|member| is_lost(member))
            .map(|member| (member.beat.agent.clone(), member.heard_ms))
            .collect();
        self.agents.retain(|_, member| !is_lost(member));
        self.lost
            .retain(|_, heard_ms| now_ms.saturating_sub(*heard_ms) < LOST_TTL_MS);
        self.lost.extend(lost.iter().cloned());
        lost.into_iter()
            .map(|(agent, _)| Change::Lost(agent))
            .collect()
    }

    /// How long an agent has not been heard; unknown if it never was, or not for long.
    pub fn unheard_ms(&self, now_ms: u64, agent: &AgentId) -> Option<u64> {
        let live = self.agents.get(agent).map(|member| member.heard_ms);
        let heard_ms = live.or_else(|| self.lost.get(agent).copied())?;
        Some(now_ms.saturating_sub(heard_ms))
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
