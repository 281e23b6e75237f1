//! Live agents as one entry knows them.

use crate::view::View;
use crate::{HeartbeatSource, Member, MembershipChange};
use model::AgentId;
use std::collections::BTreeMap;
use std::hash::Hasher;
use std::net::SocketAddr;
use utils::Map;
use wire::{Heartbeat, Pulse};

/// Time for which it is retained when a lost agent was last seen.
const LOST_TTL_MS: u64 = 3_600_000;
/// Time without a view or digest after which another entry's view is removed.
const VIEW_TTL_MS: u64 = 7_000;

/// Live agents: those that send heartbeats to this entry, and those that other entries relay.
///
/// An agent may be known from its heartbeats and from several entries at once. The state with the
/// highest incarnation is used; for equal incarnations, heartbeats sent to this entry come first.
#[derive(Debug)]
pub struct Members {
    /// Time without a heartbeat to this entry after which an agent expires.
    ttl_ms: u64,
    /// Agents that send heartbeats to this entry.
    direct: BTreeMap<AgentId, Member>,
    /// Agents of `direct` by incarnation, since a pulse names only the incarnation.
    by_incarnation: Map<u64, AgentId>,
    /// Agents that other entries relay, by control address of the entry.
    views: BTreeMap<SocketAddr, View>,
    /// Best known state of each agent, out of `direct` and `views`.
    agents: BTreeMap<AgentId, Member>,
    /// Time at which each lost agent was last seen.
    lost: BTreeMap<AgentId, u64>,
}

impl Members {
    /// Creates an empty set; agents expire `ttl_ms` after their last heartbeat.
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

    /// Applies a heartbeat sent to this entry; `None` if it is not newer than the last one.
    pub fn on_heartbeat(
        &mut self,
        now_ms: u64,
        heartbeat: &Heartbeat,
    ) -> Option<Vec<MembershipChange>> {
        let before = self
            .direct
            .get(&heartbeat.agent)
            .map(|member| &member.heartbeat);
        let order = |heartbeat: &Heartbeat| (heartbeat.incarnation, heartbeat.sequence);
        if before.is_some_and(|before| order(before) >= order(heartbeat)) {
            return None;
        }
        if let Some(before) = before {
            self.by_incarnation.remove(&before.incarnation);
        }
        let member = Member {
            heartbeat: heartbeat.clone(),
            last_seen_ms: now_ms,
            source: HeartbeatSource::Direct,
        };
        self.by_incarnation
            .insert(heartbeat.incarnation, heartbeat.agent.clone());
        self.direct.insert(heartbeat.agent.clone(), member);
        Some(self.reselect(&heartbeat.agent))
    }

    /// Applies a pulse and returns the full state of its agent. `None` if the agent's last full
    /// heartbeat is unknown or does not match the pulse, or if the pulse is not newer.
    pub fn on_pulse(&mut self, now_ms: u64, pulse: &Pulse) -> Option<&Heartbeat> {
        let agent = self.by_incarnation.get(&pulse.incarnation)?;
        let member = self.direct.get_mut(agent)?;
        if member.heartbeat.sequence >= pulse.sequence || !member.heartbeat.apply_pulse(pulse) {
            return None;
        }
        member.last_seen_ms = now_ms;
        let best = self.agents.get_mut(agent)?;
        if best.source == HeartbeatSource::Direct {
            best.heartbeat.apply_pulse(pulse);
            best.last_seen_ms = now_ms;
        }
        Some(&best.heartbeat)
    }

    /// Whether the last full heartbeat of the agent is known, so that pulses suffice. If not, the
    /// agent must send one.
    pub fn knows_full_state(&self, pulse: &Pulse) -> bool {
        let agent = self.by_incarnation.get(&pulse.incarnation);
        let member = agent.and_then(|agent| self.direct.get(agent));
        member.is_some_and(|member| member.heartbeat.services.len() == pulse.loads.len())
    }

    /// Replaces the view of another entry: all agents that send heartbeats to it.
    pub fn on_view(
        &mut self,
        now_ms: u64,
        entry: SocketAddr,
        tag: u32,
        heartbeats: Vec<Heartbeat>,
    ) -> Vec<MembershipChange> {
        let view = View::new(now_ms, entry, tag, heartbeats);
        let mut affected: Vec<AgentId> = view.agents().cloned().collect();
        if let Some(before) = self.views.insert(entry, view) {
            affected.extend(before.agents().cloned());
        }
        self.reselect_all(&affected)
    }

    /// Applies the digest of another entry, which renews the agents that it relays. Returns whether
    /// the known view is current; if not, it must be fetched.
    pub fn on_digest(&mut self, now_ms: u64, digest: &wire::Digest) -> bool {
        let Some(view) = self.views.get_mut(&digest.control) else {
            return false;
        };
        view.last_seen_ms = now_ms;
        view.raise_config(digest.agents_config);
        let source = HeartbeatSource::Relayed(digest.control);
        for member in self.agents.values_mut().filter(|m| m.source == source) {
            member.last_seen_ms = now_ms;
            member.heartbeat.config = member.heartbeat.config.max(digest.agents_config);
        }
        view.tag == digest.tag
    }

    /// Applies loads from another entry; returns the changed states of the agents that it relays.
    pub fn on_loads(&mut self, entry: SocketAddr, loads: &[Pulse]) -> Vec<Heartbeat> {
        let Some(view) = self.views.get_mut(&entry) else {
            return Vec::new();
        };
        let updated = view.apply_loads(loads);
        self.reselect_all(&updated);
        let source = HeartbeatSource::Relayed(entry);
        let members = updated.iter().filter_map(|agent| self.agents.get(agent));
        members
            .filter(|member| member.source == source)
            .map(|member| member.heartbeat.clone())
            .collect()
    }

    /// Removes agents whose heartbeats have stopped, and views of entries without a recent digest.
    pub fn expire(&mut self, now_ms: u64) -> Vec<MembershipChange> {
        let mut affected = self.expire_direct(now_ms);
        let is_expired = |view: &View| now_ms.saturating_sub(view.last_seen_ms) >= VIEW_TTL_MS;
        let views = self.views.values().filter(|view| is_expired(view));
        affected.extend(views.flat_map(View::agents).cloned());
        self.views.retain(|_, view| !is_expired(view));
        self.lost
            .retain(|_, last_seen_ms| now_ms.saturating_sub(*last_seen_ms) < LOST_TTL_MS);
        self.reselect_all(&affected)
    }

    fn expire_direct(&mut self, now_ms: u64) -> Vec<AgentId> {
        let is_expired = |m: &Member| now_ms.saturating_sub(m.last_seen_ms) >= self.ttl_ms;
        let expired = self.direct.values().filter(|member| is_expired(member));
        let expired: Vec<(AgentId, u64)> = expired
            .map(|member| (member.heartbeat.agent.clone(), member.heartbeat.incarnation))
            .collect();
        for (agent, incarnation) in &expired {
            self.direct.remove(agent);
            self.by_incarnation.remove(incarnation);
        }
        expired.into_iter().map(|(agent, _)| agent).collect()
    }

    /// Time since an agent was last seen; `None` if it was never seen or was lost more
    /// than an hour ago.
    pub fn silent_ms(&self, now_ms: u64, agent: &AgentId) -> Option<u64> {
        let live = self.agents.get(agent).map(|member| member.last_seen_ms);
        let last_seen_ms = live.or_else(|| self.lost.get(agent).copied())?;
        Some(now_ms.saturating_sub(last_seen_ms))
    }

    /// Newest heartbeats of the agents that send them to this entry, sorted by agent.
    pub fn direct(&self) -> impl Iterator<Item = &Heartbeat> {
        self.direct.values().map(|member| &member.heartbeat)
    }

    /// Hash of the heartbeats of [`Members::direct`] without the fields that pulses update. It goes
    /// into the tag of digests, by which other entries see that their view is outdated.
    pub fn tag(&self) -> u64 {
        let mut hasher = rustc_hash::FxHasher::default();
        for heartbeat in self.direct() {
            heartbeat.hash_stable(&mut hasher);
        }
        hasher.finish()
    }

    /// Control addresses of the entries whose views are known.
    pub fn relaying_entries(&self) -> impl Iterator<Item = SocketAddr> {
        self.views.keys().copied()
    }

    /// Returns the state of a live agent.
    pub fn get(&self, agent: &AgentId) -> Option<&Member> {
        self.agents.get(agent)
    }

    /// All live agents, sorted by name.
    pub fn iter(&self) -> impl Iterator<Item = &Member> {
        self.agents.values()
    }

    /// Selects the best known state of an agent; `None` if it is neither direct nor in a view.
    fn select_best(&self, agent: &AgentId) -> Option<Member> {
        let direct = self.direct.get(agent).cloned();
        let relayed = self.views.values().filter_map(|view| view.member(agent));
        let known: Vec<Member> = relayed.chain(direct).collect();
        let mut best = known.iter().max_by_key(|member| member.rank())?.clone();
        // Draining never ends within an incarnation, so it counts even if only an older state
        // has it.
        best.heartbeat.draining = known.iter().any(|member| {
            member.heartbeat.incarnation == best.heartbeat.incarnation && member.heartbeat.draining
        });
        Some(best)
    }

    fn reselect_all(&mut self, agents: &[AgentId]) -> Vec<MembershipChange> {
        agents
            .iter()
            .flat_map(|agent| self.reselect(agent))
            .collect()
    }

    /// Selects the best state of an agent again and returns the resulting changes.
    fn reselect(&mut self, agent: &AgentId) -> Vec<MembershipChange> {
        let Some(best) = self.select_best(agent) else {
            let Some(lost) = self.agents.remove(agent) else {
                return Vec::new();
            };
            self.lost.insert(agent.clone(), lost.last_seen_ms);
            return vec![MembershipChange::Lost(agent.clone())];
        };
        let before = self.agents.get(agent).map(|member| &member.heartbeat);
        let same_incarnation =
            before.filter(|before| before.incarnation == best.heartbeat.incarnation);
        let mut changes = Vec::new();
        if same_incarnation.is_none() {
            changes.push(MembershipChange::Joined(agent.clone()));
        }
        if best.heartbeat.draining && same_incarnation.is_none_or(|before| !before.draining) {
            changes.push(MembershipChange::Leaving(agent.clone()));
        }
        self.lost.remove(agent);
        self.agents.insert(agent.clone(), best);
        changes
    }
}
