//! Agents that an entry knows only from other entries.

use membership::{HeartbeatSource, HomeSelector, Members, MembershipChange};
use model::AgentId;
use proptest::prelude::*;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use wire::{Digest, Heartbeat};

/// Time without a heartbeat after which an agent counts as lost, in milliseconds.
const TTL_MS: u64 = 2_500;
/// Time after the last disturbance by which all entries agree, in milliseconds.
const SETTLED_MS: u64 = 10_000;
/// One step of time, in milliseconds.
const STEP_MS: u64 = 250;

fn address(port: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], port))
}

fn beat(agent: &str, incarnation: u64, sequence: u64) -> Heartbeat {
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

#[test]
fn a_relayed_agent_lives_as_long_as_its_home_tells_of_it() {
    let mut members = Members::new(TTL_MS);
    let joined = members.on_view(0, address(10), 1, vec![beat("w", 1, 1)]);
    assert_eq!(joined, [MembershipChange::Joined("w".into())]);
    assert!(members.on_digest(6_000, &digest(10, 1, 7)));
    assert!(members.expire(12_900).is_empty());
    let member = members.get(&"w".into()).unwrap();
    assert_eq!(member.source, HeartbeatSource::Relayed(address(10)));
    assert_eq!(member.beat.config, 7);
    assert_eq!(members.expire(13_000), [MembershipChange::Lost("w".into())]);
    assert_eq!(members.silent_ms(16_000, &"w".into()), Some(10_000));
}

#[test]
fn an_agent_that_moves_its_home_is_never_lost() {
    let mut members = Members::new(TTL_MS);
    members.on_view(0, address(10), 1, vec![beat("w", 1, 1)]);
    let moved = members.on_view(500, address(11), 1, vec![beat("w", 1, 5)]);
    assert!(moved.is_empty());
    let left = members.on_view(2_600, address(10), 2, Vec::new());
    assert!(left.is_empty(), "{left:?}");
    let dead = members.on_view(9_000, address(11), 2, Vec::new());
    assert_eq!(dead, [MembershipChange::Lost("w".into())]);
}

#[test]
fn a_view_of_an_earlier_start_never_replaces_a_later_one() {
    let mut members = Members::new(TTL_MS);
    members.on_view(0, address(10), 1, vec![beat("w", 1, 90)]);
    let restarted = members.on_heartbeat(100, &beat("w", 2, 1));
    assert_eq!(restarted, Some(vec![MembershipChange::Joined("w".into())]));
    let stale = members.on_view(200, address(10), 2, vec![beat("w", 1, 91)]);
    assert!(stale.is_empty(), "{stale:?}");
    assert_eq!(members.get(&"w".into()).unwrap().beat.incarnation, 2);
    members.on_view(300, address(11), 1, vec![beat("w", 3, 1)]);
    members.on_view(400, address(10), 3, vec![beat("w", 1, 99)]);
    assert_eq!(members.get(&"w".into()).unwrap().beat.incarnation, 3);
}

#[test]
fn an_agent_that_leaves_stays_leaving_while_old_news_of_it_are_about() {
    let mut members = Members::new(TTL_MS);
    members.on_heartbeat(0, &beat("w", 1, 1));
    let leaving = Heartbeat {
        draining: true,
        ..beat("w", 1, 2)
    };
    let changes = members.on_view(100, address(10), 1, vec![leaving]);
    assert_eq!(changes, [MembershipChange::Leaving("w".into())]);
    members.on_heartbeat(200, &beat("w", 1, 3));
    assert!(members.get(&"w".into()).unwrap().beat.draining);
}

#[test]
fn homes_spread_agents_and_few_move_when_an_entry_goes() {
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
    assert_eq!(moved, counts[&address(1)], "only those of the lost entry");
}

/// A disturbance at a step.
#[derive(Debug, Clone)]
enum Trouble {
    /// The entry dies for good.
    KillEntry(usize),
    /// The agent dies for good.
    KillAgent(usize),
    /// The agent starts anew.
    RestartAgent(usize),
    /// Digests get lost for so many steps.
    LoseDigests(u64),
}

fn trouble() -> impl Strategy<Value = (u64, Trouble)> {
    let kind = prop_oneof![
        (0..4_usize).prop_map(Trouble::KillEntry),
        (0..6_usize).prop_map(Trouble::KillAgent),
        (0..6_usize).prop_map(Trouble::RestartAgent),
        (1..24_u64).prop_map(Trouble::LoseDigests),
    ];
    (8..60_u64, kind)
}

struct Entry {
    members: Members,
    alive: bool,
    told: u32,
}

struct Agent {
    homes: HomeSelector,
    incarnation: u64,
    alive: bool,
}

/// Four entries and six agents; heartbeats and digests as the processes send them.
struct World {
    entries: Vec<Entry>,
    agents: Vec<Agent>,
    lossy_until: u64,
}

impl World {
    fn new() -> Self {
        let entry = |_| Entry {
            members: Members::new(TTL_MS),
            alive: true,
            told: 0,
        };
        let agent = |_| Agent {
            homes: HomeSelector::new(1),
            incarnation: 1,
            alive: true,
        };
        Self {
            entries: (0..4).map(entry).collect(),
            agents: (0..6).map(agent).collect(),
            lossy_until: 0,
        }
    }

    fn upset(&mut self, step: u64, trouble: &Trouble) {
        match trouble {
            Trouble::KillEntry(index) => {
                let others = self.entries.iter().filter(|entry| entry.alive).count();
                self.entries[*index].alive &= others == 1;
            }
            Trouble::KillAgent(index) => self.agents[*index].alive = false,
            Trouble::RestartAgent(index) => self.agents[*index].incarnation += 1,
            Trouble::LoseDigests(steps) => self.lossy_until = step + steps,
        }
    }

    fn beat(&mut self, step: u64) {
        let now_ms = step * STEP_MS;
        let all: BTreeSet<SocketAddr> = (0..4).map(address).collect();
        for (index, agent) in self.agents.iter_mut().enumerate().filter(|(_, a)| a.alive) {
            let name = format!("w{index}");
            let beat = beat(&name, agent.incarnation, step);
            for home in agent.homes.choose(now_ms, &beat.agent, &all) {
                let entry = &mut self.entries[usize::from(home.port())];
                if entry.alive {
                    entry.members.on_heartbeat(now_ms, &beat);
                    agent.homes.answered(home);
                } else {
                    agent.homes.failed(now_ms, home);
                }
            }
        }
    }

    fn gossip(&mut self, step: u64) {
        let now_ms = step * STEP_MS;
        for from in 0..self.entries.len() {
            let entry = &self.entries[from];
            let (tag, is_due) = (entry.members.tag() as u32, step.is_multiple_of(8));
            if !entry.alive || step < self.lossy_until || (tag == entry.told && !is_due) {
                continue;
            }
            let beats: Vec<Heartbeat> = entry.members.direct().cloned().collect();
            self.entries[from].told = tag;
            let home = from as u16;
            let others = self.entries.iter_mut().enumerate();
            for (_, other) in others.filter(|(to, other)| *to != from && other.alive) {
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
            self.beat(step);
        }
        for entry in &mut self.entries {
            entry.members.expire(step * STEP_MS);
        }
        self.gossip(step);
    }

    fn known(&self) -> Vec<Vec<(AgentId, u64)>> {
        let live = self.entries.iter().filter(|entry| entry.alive);
        let of = |member: &membership::Member| (member.beat.agent.clone(), member.beat.incarnation);
        live.map(|entry| entry.members.iter().map(of).collect())
            .collect()
    }

    fn alive(&self) -> Vec<(AgentId, u64)> {
        let agents = self.agents.iter().enumerate().filter(|(_, a)| a.alive);
        agents
            .map(|(index, agent)| (AgentId::from(format!("w{index}")), agent.incarnation))
            .collect()
    }
}

proptest! {
    #[test]
    fn all_entries_agree_after_any_trouble(troubles in prop::collection::vec(trouble(), 0..8)) {
        let mut world = World::new();
        for step in 0..84 + SETTLED_MS / STEP_MS {
            let now = troubles.iter().filter(|(at, _)| *at == step);
            now.for_each(|(_, trouble)| world.upset(step, trouble));
            world.step(step);
        }
        for known in world.known() {
            prop_assert_eq!(known, world.alive());
        }
    }

    #[test]
    fn a_lost_entry_costs_no_agent(index in 0..4_usize, at in 12..40_u64) {
        let mut world = World::new();
        for step in 0..100 {
            if step == at {
                world.upset(step, &Trouble::KillEntry(index));
            }
            world.step(step);
            if step > 8 {
                for known in world.known() {
                    prop_assert_eq!(known, world.alive(), "at step {}", step);
                }
            }
        }
    }
}
