//! Agents that other entries relay, and convergence of the entries after failures.

use membership::{HeartbeatSource, HomeSelector, Members, MembershipChange};
use model::AgentId;
use proptest::prelude::*;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use wire::{Digest, Heartbeat};

/// Time without a heartbeat after which an agent counts as lost, in milliseconds.
const TTL_MS: u64 = 2_500;
/// Time after the last disturbance within which all entries must agree, in milliseconds.
const CONVERGENCE_MS: u64 = 10_000;
/// Length of one step of the simulation, in milliseconds.
const STEP_MS: u64 = 250;

fn address(port: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], port))
}

fn heartbeat(agent: &str, incarnation: u64, sequence: u64) -> Heartbeat {
    Heartbeat {
        agent: agent.into(),
        incarnation,
        sequence,
        domain: "a".into(),
        traffic: address(1),
        control: address(2),
        draining: false,
        services: Vec::new(),
        capacity: model::Resources::default(),
        free: model::Resources::default(),
        config: 0,
        bad_kinds: Vec::new(),
    }
}

fn digest(home: u16, tag: u32, agents_config: u64) -> Digest {
    Digest {
        control: address(home),
        tag,
        config: 9,
        agents_config,
        draining: false,
    }
}

/// Other entries get no heartbeats of an agent, only digests of its home. If these did not renew
/// the agent, it would be lost while it runs; if it never expired, a dead agent would stay live.
#[test]
fn a_relayed_agent_stays_live_while_its_home_sends_digests() {
    let mut members = Members::new(TTL_MS);
    let joined = members.on_view(0, address(10), 1, vec![heartbeat("w", 1, 1)]);
    assert_eq!(joined, [MembershipChange::Joined("w".into())]);
    assert!(members.on_digest(6_000, &digest(10, 1, 7)));
    assert!(members.expire(12_900).is_empty());
    let member = members.get(&"w".into()).unwrap();
    assert_eq!(member.source, HeartbeatSource::Relayed(address(10)));
    assert_eq!(member.heartbeat.config, 7);
    assert_eq!(members.expire(13_000), [MembershipChange::Lost("w".into())]);
    assert_eq!(members.silent_ms(16_000, &"w".into()), Some(10_000));
}

/// The views of the old and the new home overlap or leave a gap in either order. The removal from
/// the old view must not be taken for the loss of the agent.
#[test]
fn an_agent_that_changes_its_home_is_not_reported_lost() {
    let mut members = Members::new(TTL_MS);
    members.on_view(0, address(10), 1, vec![heartbeat("w", 1, 1)]);
    let moved = members.on_view(500, address(11), 1, vec![heartbeat("w", 1, 5)]);
    assert!(moved.is_empty());
    let left = members.on_view(2_600, address(10), 2, Vec::new());
    assert!(left.is_empty(), "{left:?}");
    let dead = members.on_view(9_000, address(11), 2, Vec::new());
    assert_eq!(dead, [MembershipChange::Lost("w".into())]);
}

/// An entry that has not noticed a restart relays the earlier incarnation, with higher sequence
/// numbers. That must not replace the state of the restarted agent.
#[test]
fn a_view_of_an_earlier_incarnation_never_replaces_a_later_one() {
    let mut members = Members::new(TTL_MS);
    members.on_view(0, address(10), 1, vec![heartbeat("w", 1, 90)]);
    let restarted = members.on_heartbeat(100, &heartbeat("w", 2, 1));
    assert_eq!(restarted, Some(vec![MembershipChange::Joined("w".into())]));
    let stale = members.on_view(200, address(10), 2, vec![heartbeat("w", 1, 91)]);
    assert!(stale.is_empty(), "{stale:?}");
    assert_eq!(members.get(&"w".into()).unwrap().heartbeat.incarnation, 2);
    members.on_view(300, address(11), 1, vec![heartbeat("w", 3, 1)]);
    members.on_view(400, address(10), 3, vec![heartbeat("w", 1, 99)]);
    assert_eq!(members.get(&"w".into()).unwrap().heartbeat.incarnation, 3);
}

/// A heartbeat from before the drain may arrive after a view with the drain. The agent must not get
/// new requests again.
#[test]
fn a_draining_agent_stays_draining_despite_outdated_heartbeats() {
    let mut members = Members::new(TTL_MS);
    members.on_heartbeat(0, &heartbeat("w", 1, 1));
    let leaving = Heartbeat {
        draining: true,
        ..heartbeat("w", 1, 2)
    };
    let changes = members.on_view(100, address(10), 1, vec![leaving]);
    assert_eq!(changes, [MembershipChange::Leaving("w".into())]);
    members.on_heartbeat(200, &heartbeat("w", 1, 3));
    assert!(members.get(&"w".into()).unwrap().heartbeat.draining);
}

/// An uneven choice of homes overloads some entries. If more agents than those of a failed entry
/// move, one failure causes a burst of views and full heartbeats.
#[test]
fn homes_are_spread_and_few_agents_move_when_an_entry_fails() {
    let entries: BTreeSet<SocketAddr> = (1..=21).map(address).collect();
    let home_of = |down: Option<SocketAddr>| -> Vec<SocketAddr> {
        let agents = (0..620).map(|index| AgentId::from(format!("worker-{index}")));
        let choose = |agent: AgentId| {
            let mut homes = HomeSelector::new(1);
            entries.iter().for_each(|entry| homes.answered(*entry));
            down.iter().for_each(|entry| homes.failed(0, *entry));
            homes.choose(0, &agent, &entries)[0]
        };
        agents.map(choose).collect()
    };
    let before = home_of(None);
    let mut counts: BTreeMap<SocketAddr, usize> = BTreeMap::new();
    before
        .iter()
        .for_each(|home| *counts.entry(*home).or_default() += 1);
    let after = home_of(Some(address(1)));
    let moved = before.iter().zip(&after).filter(|(b, a)| b != a).count();
    let (least, most) = (counts.values().min(), counts.values().max());
    insta::assert_snapshot!(format!(
        "{least:?} to {most:?} agents an entry; {moved} move"
    ));
    assert_eq!(
        moved,
        counts[&address(1)],
        "only agents of the failed entry move"
    );
}

/// Failure that is injected at a step.
#[derive(Debug, Clone)]
enum Disturbance {
    /// An entry stops for good, unless it is the last live one.
    KillEntry(usize),
    /// An agent stops for good.
    KillAgent(usize),
    /// An agent restarts.
    RestartAgent(usize),
    /// All digests are lost for this number of steps.
    LoseDigests(u64),
}

fn disturbance() -> impl Strategy<Value = (u64, Disturbance)> {
    let kind = prop_oneof![
        (0..4_usize).prop_map(Disturbance::KillEntry),
        (0..6_usize).prop_map(Disturbance::KillAgent),
        (0..6_usize).prop_map(Disturbance::RestartAgent),
        (1..24_u64).prop_map(Disturbance::LoseDigests),
    ];
    (8..60_u64, kind)
}

/// Simulated entry.
struct Entry {
    /// Agents that the entry knows.
    members: Members,
    /// Whether the entry runs.
    is_alive: bool,
    /// Tag in the last digest that it sent.
    last_tag: u32,
}

/// Simulated agent that sends heartbeats to one home.
struct Agent {
    /// Selects its home.
    homes: HomeSelector,
    /// Incarnation, which grows with each restart.
    incarnation: u64,
    /// Whether the agent runs.
    is_alive: bool,
}

/// Four entries and six agents that exchange heartbeats, digests and views as the processes do.
struct SimulatedCluster {
    /// Entries, at the port of their index.
    entries: Vec<Entry>,
    /// Agents, named by their index.
    agents: Vec<Agent>,
    /// Step before which all digests are lost.
    digests_lost_until_step: u64,
}

impl SimulatedCluster {
    fn new() -> Self {
        let entry = |_| Entry {
            members: Members::new(TTL_MS),
            is_alive: true,
            last_tag: 0,
        };
        let agent = |_| Agent {
            homes: HomeSelector::new(1),
            incarnation: 1,
            is_alive: true,
        };
        Self {
            entries: (0..4).map(entry).collect(),
            agents: (0..6).map(agent).collect(),
            digests_lost_until_step: 0,
        }
    }

    fn disturb(&mut self, step: u64, disturbance: &Disturbance) {
        match disturbance {
            Disturbance::KillEntry(index) => {
                let live = self.entries.iter().filter(|entry| entry.is_alive).count();
                self.entries[*index].is_alive &= live == 1;
            }
            Disturbance::KillAgent(index) => self.agents[*index].is_alive = false,
            Disturbance::RestartAgent(index) => self.agents[*index].incarnation += 1,
            Disturbance::LoseDigests(steps) => self.digests_lost_until_step = step + steps,
        }
    }

    fn send_heartbeats(&mut self, step: u64) {
        let now_ms = step * STEP_MS;
        let all: BTreeSet<SocketAddr> = (0..4).map(address).collect();
        for (index, agent) in self
            .agents
            .iter_mut()
            .enumerate()
            .filter(|(_, a)| a.is_alive)
        {
            let name = format!("w{index}");
            let beat = heartbeat(&name, agent.incarnation, step);
            for home in agent.homes.choose(now_ms, &beat.agent, &all) {
                let entry = &mut self.entries[usize::from(home.port())];
                if entry.is_alive {
                    entry.members.on_heartbeat(now_ms, &beat);
                    agent.homes.answered(home);
                } else {
                    agent.homes.failed(now_ms, home);
                }
            }
        }
    }

    fn send_digests(&mut self, step: u64) {
        let now_ms = step * STEP_MS;
        for from in 0..self.entries.len() {
            let entry = &self.entries[from];
            let (tag, is_due) = (entry.members.tag() as u32, step.is_multiple_of(8));
            if !entry.is_alive
                || step < self.digests_lost_until_step
                || (tag == entry.last_tag && !is_due)
            {
                continue;
            }
            let beats: Vec<Heartbeat> = entry.members.direct().cloned().collect();
            self.entries[from].last_tag = tag;
            let home = from as u16;
            let others = self.entries.iter_mut().enumerate();
            for (_, other) in others.filter(|(to, other)| *to != from && other.is_alive) {
                if !other.members.on_digest(now_ms, &digest(home, tag, 0)) {
                    other
                        .members
                        .on_view(now_ms, address(home), tag, beats.clone());
                }
            }
        }
    }

    fn step(&mut self, step: u64) {
        if step.is_multiple_of(4) {
            self.send_heartbeats(step);
        }
        for entry in &mut self.entries {
            entry.members.expire(step * STEP_MS);
        }
        self.send_digests(step);
    }

    /// Agents and incarnations that each live entry knows.
    fn known_agents(&self) -> Vec<Vec<(AgentId, u64)>> {
        let live = self.entries.iter().filter(|entry| entry.is_alive);
        let of = |member: &membership::Member| {
            (member.heartbeat.agent.clone(), member.heartbeat.incarnation)
        };
        live.map(|entry| entry.members.iter().map(of).collect())
            .collect()
    }

    /// Agents and incarnations that are in fact live.
    fn live_agents(&self) -> Vec<(AgentId, u64)> {
        let agents = self.agents.iter().enumerate().filter(|(_, a)| a.is_alive);
        agents
            .map(|(index, agent)| (AgentId::from(format!("w{index}")), agent.incarnation))
            .collect()
    }
}

proptest! {
    /// After failures, restarts and lost digests, an entry must not retain a dead agent, miss a
    /// live one or know only an earlier incarnation.
    #[test]
    fn all_entries_agree_after_any_disturbance(
        disturbances in prop::collection::vec(disturbance(), 0..8)
    ) {
        let mut cluster = SimulatedCluster::new();
        for step in 0..84 + CONVERGENCE_MS / STEP_MS {
            let now = disturbances.iter().filter(|(at, _)| *at == step);
            now.for_each(|(_, disturbance)| cluster.disturb(step, disturbance));
            cluster.step(step);
        }
        for known in cluster.known_agents() {
            prop_assert_eq!(known, cluster.live_agents());
        }
    }

    /// When an entry stops, its agents switch to another home. Until its view expires, the other
    /// entries must not lose them.
    #[test]
    fn no_agent_is_lost_when_an_entry_stops(index in 0..4_usize, at in 12..40_u64) {
        let mut cluster = SimulatedCluster::new();
        for step in 0..100 {
            if step == at {
                cluster.disturb(step, &Disturbance::KillEntry(index));
            }
            cluster.step(step);
            if step > 8 {
                for known in cluster.known_agents() {
                    prop_assert_eq!(known, cluster.live_agents(), "at step {}", step);
                }
            }
        }
    }
}
