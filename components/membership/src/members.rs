//! The agents that are alive.

use crate::view::View;
use crate::{HeartbeatSource, Member, MembershipChange};
use model::AgentId;
use std::collections::BTreeMap;
use std::hash::Hasher;
use std::net::SocketAddr;
use utils::Map;
use wire::{Heartbeat, Pulse};

/// How long a lost agent is remembered.
const LOST_TTL_MS: u64 = 3_600_000;
/// Time without a digest after which another entry's view is dropped.
const VIEW_TTL_MS: u64 = 7_000;

/// The agents that are alive: those that this entry hears itself, and those that others relay.
///
/// An agent tells a few entries of itself and these tell the others, so an agent may be known from
/// several sides. The later start counts, and of equal starts what the agent told itself.
#[derive(Debug)]
pub struct Members {
    /// Time without a heartbeat after which an agent counts as lost.
    ttl_ms: u64,
    /// Agents that this entry hears itself.
    direct: BTreeMap<AgentId, Member>,
    /// The same agents by incarnation.
    by_incarnation: Map<u64, AgentId>,
    /// Agents that other entries hear, by control address.
    views: BTreeMap<SocketAddr, View>,
    /// The best news of each agent.
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
            direct: BTreeMap::new(),
            by_incarnation: Map::default(),
            views: BTreeMap::new(),
            agents: BTreeMap::new(),
            lost: BTreeMap::new(),
        }
    }

    /// Takes a heartbeat; `None` if it is older than one heard before.
    pub fn on_heartbeat(&mut self, now_ms: u64, beat: &Heartbeat) -> Option<Vec<MembershipChange>> {
        let before = self.direct.get(&beat.agent).map(|member| &member.beat);
        let order = |beat: &Heartbeat| (beat.incarnation, beat.sequence);
        if before.is_some_and(|before| order(before) >= order(beat)) {
            return None;
        }
        if let Some(before) = before {
            self.by_incarnation.remove(&before.incarnation);
        }
        let member = Member {
            beat: beat.clone(),
            last_seen_ms: now_ms,
            source: HeartbeatSource::Direct,
        };
        self.by_incarnation
            .insert(beat.incarnation, beat.agent.clone());
        self.direct.insert(beat.agent.clone(), member);
        Some(self.settle(&beat.agent))
    }

    /// Takes a pulse; returns the agent's whole state after it, or `None` if the rest of that is
    /// not known or something newer was heard.
    pub fn on_pulse(&mut self, now_ms: u64, pulse: &Pulse) -> Option<&Heartbeat> {
        let agent = self.by_incarnation.get(&pulse.incarnation)?;
        let member = self.direct.get_mut(agent)?;
        if member.beat.sequence >= pulse.sequence || !member.beat.apply_pulse(pulse) {
            return None;
        }
        member.last_seen_ms = now_ms;
        let best = self.agents.get_mut(agent)?;
        if best.source == HeartbeatSource::Direct {
            best.beat.apply_pulse(pulse);
            best.last_seen_ms = now_ms;
        }
        Some(&best.beat)
    }

    /// Whether the rest of an agent's state is known, so that a pulse tells all.
    pub fn knows_full_state(&self, pulse: &Pulse) -> bool {
        let agent = self.by_incarnation.get(&pulse.incarnation);
        let member = agent.and_then(|agent| self.direct.get(agent));
        member.is_some_and(|member| member.beat.services.len() == pulse.loads.len())
    }

    /// Takes another entry's view in place of the one before.
    pub fn on_view(
        &mut self,
        now_ms: u64,
        home: SocketAddr,
        tag: u32,
        beats: Vec<Heartbeat>,
    ) -> Vec<MembershipChange> {
        let view = View::new(now_ms, home, tag, beats);
        let mut touched: Vec<AgentId> = view.agents().cloned().collect();
        if let Some(before) = self.views.insert(home, view) {
            touched.extend(before.agents().cloned());
        }
        self.settle_all(&touched)
    }

    /// Takes a sign of life of another entry; answers whether its view is still the one known.
    pub fn on_digest(&mut self, now_ms: u64, digest: &wire::Digest) -> bool {
        let Some(view) = self.views.get_mut(&digest.control) else {
            return false;
        };
        view.last_seen_ms = now_ms;
        view.raise_config(digest.agents_config);
        let source = HeartbeatSource::Relayed(digest.control);
        for member in self.agents.values_mut().filter(|m| m.source == source) {
            member.last_seen_ms = now_ms;
            member.beat.config = member.beat.config.max(digest.agents_config);
        }
        view.tag == digest.tag
    }

    /// Takes loads that another entry told; returns the states that follow from them.
    pub fn on_loads(&mut self, home: SocketAddr, loads: &[Pulse]) -> Vec<Heartbeat> {
        let Some(view) = self.views.get_mut(&home) else {
            return Vec::new();
        };
        let taken = view.take_loads(loads);
        self.settle_all(&taken);
        let source = HeartbeatSource::Relayed(home);
        let members = taken.iter().filter_map(|agent| self.agents.get(agent));
        members
            .filter(|member| member.source == source)
            .map(|member| member.beat.clone())
            .collect()
    }

    /// Drops agents whose heartbeats stopped and views of entries that fell silent.
    pub fn expire(&mut self, now_ms: u64) -> Vec<MembershipChange> {
        let mut touched = self.expire_direct(now_ms);
        let silent = |view: &View| now_ms.saturating_sub(view.last_seen_ms) >= VIEW_TTL_MS;
        let views = self.views.values().filter(|view| silent(view));
        touched.extend(views.flat_map(View::agents).cloned());
        self.views.retain(|_, view| !silent(view));
        self.lost
            .retain(|_, last_seen_ms| now_ms.saturating_sub(*last_seen_ms) < LOST_TTL_MS);
        self.settle_all(&touched)
    }

    fn expire_direct(&mut self, now_ms: u64) -> Vec<AgentId> {
        let is_silent = |m: &Member| now_ms.saturating_sub(m.last_seen_ms) >= self.ttl_ms;
        let silent = self.direct.values().filter(|member| is_silent(member));
        let silent: Vec<(AgentId, u64)> = silent
            .map(|member| (member.beat.agent.clone(), member.beat.incarnation))
            .collect();
        for (agent, incarnation) in &silent {
            self.direct.remove(agent);
            self.by_incarnation.remove(incarnation);
        }
        silent.into_iter().map(|(agent, _)| agent).collect()
    }

    /// How long an agent has not been heard; unknown if it never was, or not for long.
    pub fn silent_ms(&self, now_ms: u64, agent: &AgentId) -> Option<u64> {
        let live = self.agents.get(agent).map(|member| member.last_seen_ms);
        let last_seen_ms = live.or_else(|| self.lost.get(agent).copied())?;
        Some(now_ms.saturating_sub(last_seen_ms))
    }

    /// Newest heartbeats of the agents that this entry hears itself.
    pub fn direct(&self) -> impl Iterator<Item = &Heartbeat> {
        self.direct.values().map(|member| &member.beat)
    }

    /// Changes with what is known of the agents that this entry hears itself, loads left out.
    pub fn tag(&self) -> u64 {
        let mut hasher = rustc_hash::FxHasher::default();
        for beat in self.direct() {
            beat.hash_stable(&mut hasher);
        }
        hasher.finish()
    }

    /// Control addresses of the entries that relay agents.
    pub fn relaying_entries(&self) -> impl Iterator<Item = SocketAddr> {
        self.views.keys().copied()
    }

    /// An agent by name.
    pub fn get(&self, agent: &AgentId) -> Option<&Member> {
        self.agents.get(agent)
    }

    /// All agents, in order of names.
    pub fn iter(&self) -> impl Iterator<Item = &Member> {
        self.agents.values()
    }

    fn best(&self, agent: &AgentId) -> Option<Member> {
        let direct = self.direct.get(agent).cloned();
        let relayed = self.views.values().filter_map(|view| view.member(agent));
        let known: Vec<Member> = relayed.chain(direct).collect();
        let mut best = known.iter().max_by_key(|member| member.rank())?.clone();
        // An agent that began to leave never comes back under the same incarnation.
        best.beat.draining = known
            .iter()
            .any(|member| member.beat.incarnation == best.beat.incarnation && member.beat.draining);
        Some(best)
    }

    fn settle_all(&mut self, agents: &[AgentId]) -> Vec<MembershipChange> {
        agents.iter().flat_map(|agent| self.settle(agent)).collect()
    }

    /// Looks for the best news of an agent; returns what that changes.
    fn settle(&mut self, agent: &AgentId) -> Vec<MembershipChange> {
        let Some(best) = self.best(agent) else {
            let Some(gone) = self.agents.remove(agent) else {
                return Vec::new();
            };
            self.lost.insert(agent.clone(), gone.last_seen_ms);
            return vec![MembershipChange::Lost(agent.clone())];
        };
        let before = self.agents.get(agent).map(|member| &member.beat);
        let same = before.filter(|before| before.incarnation == best.beat.incarnation);
        let mut changes = Vec::new();
        if same.is_none() {
            changes.push(MembershipChange::Joined(agent.clone()));
        }
        if best.beat.draining && same.is_none_or(|before| !before.draining) {
            changes.push(MembershipChange::Leaving(agent.clone()));
        }
        self.lost.remove(agent);
        self.agents.insert(agent.clone(), best);
        changes
    }
}
