//! Batch throughput and wait of short tasks, with stragglers and wrong sizes, in virtual time.

use crate::results::Results;
use crate::stats::percentile_ms;
use crate::trace::SEED;
use backing::AttemptRef;
use batch::{
    Effect, Kinds, PlaceLimits, PlacementOrder, Placer, Shard, ShardRow, TeamUsage, Workers,
};
use model::{Config, Job, JobSpec, Resources, TeamSpec};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use std::collections::BTreeMap;
use std::net::{Ipv4Addr, SocketAddr};
use utils::Map;
use wire::{AttemptEnd, EndKind, Heartbeat};

/// Shard that the measurements use.
pub const SHARD: u16 = 0;
/// Workers, as in Lantern's installation today.
const WORKERS: usize = 11;
/// Size of each.
const CAPACITY: Resources = Resources::new(16_000, 60_000, 0);
/// Step of virtual time.
const STEP_MS: u64 = 100;
/// Jobs that are submitted, one each second.
const JOBS: u32 = 600;
/// Tasks of each job.
const TASKS: u32 = 38;
/// Run time of a short task.
const SHORT_MS: u64 = 4_000;
/// Run time of a straggler, as a multiple.
const STRAGGLER: u64 = 30;
/// Declared sizes are wrong by up to this factor, either way.
const WRONG: f64 = 4.0;

/// A heartbeat of a worker without services.
pub fn heartbeat(index: usize, capacity: Resources, free: Resources) -> Heartbeat {
    let address = SocketAddr::from((Ipv4Addr::LOCALHOST, 1));
    Heartbeat {
        agent: format!("worker-{index}").into(),
        incarnation: 1,
        sequence: 1,
        domain: "a".into(),
        traffic: address,
        control: address,
        draining: false,
        services: Vec::new(),
        capacity,
        free,
        config: 1,
        bad_kinds: Vec::new(),
    }
}

/// A shard without jobs, owned by nobody in particular.
pub fn empty_shard(id: u16) -> Shard {
    let row = ShardRow {
        owner: "bench".into(),
        control: SocketAddr::from((Ipv4Addr::LOCALHOST, 1)),
        epoch: 1,
        sequence: 0,
        released: false,
    };
    Shard::new(id, row, 1, 0)
}

/// How tasks are ordered and sized.
struct Policy {
    /// Name.
    name: &'static str,
    /// Order of placement.
    order: PlacementOrder,
    /// Whether sizes are learnt.
    learns: bool,
}

const POLICIES: [Policy; 3] = [
    Policy {
        name: "ours",
        order: PlacementOrder::ShortestFirst,
        learns: true,
    },
    Policy {
        name: "first in first out",
        order: PlacementOrder::FirstInFirstOut,
        learns: true,
    },
    Policy {
        name: "declared sizes",
        order: PlacementOrder::ShortestFirst,
        learns: false,
    },
];

/// Runs the comparison.
pub fn run(results: &mut Results) {
    for policy in &POLICIES {
        let outcome = Simulation::new(policy).run();
        let waits = || outcome.short_waits_ms.iter().copied();
        results.add(
            "order",
            policy.name,
            "tasks finished a minute",
            outcome.per_minute,
            None,
        );
        results.add(
            "order",
            policy.name,
            "short task's wait, p50, ms",
            percentile_ms(waits(), 50.0),
            None,
        );
        results.add(
            "order",
            policy.name,
            "short task's wait, p99, ms",
            percentile_ms(waits(), 99.0),
            None,
        );
    }
}

struct Outcome {
    /// Tasks finished a minute.
    per_minute: f64,
    /// Waits of short tasks.
    short_waits_ms: Vec<f64>,
}

/// A running task in virtual time.
struct Running {
    /// The agent.
    agent: model::AgentId,
    /// When it ends.
    ends_ms: u64,
    /// When it started.
    since_ms: u64,
    /// What it really uses.
    uses: Resources,
}

struct Simulation<'a> {
    /// What is compared.
    policy: &'a Policy,
    /// Configuration in force.
    config: Config,
    /// Workers by name.
    workers: Workers,
    /// What teams use of their quotas.
    usage: TeamUsage,
    /// What is learnt of kinds of work.
    kinds: Kinds,
    /// Number of the shard.
    shard: Shard,
    /// Source of random choices.
    rng: StdRng,
    /// What runs now.
    running: Map<AttemptRef, Running>,
    /// When each job was submitted.
    submitted_ms: Map<model::JobId, u64>,
    /// Version of the row.
    version: u64,
    /// Tasks finished.
    finished: u64,
    /// Waits of short tasks.
    short_waits_ms: Vec<f64>,
}

impl<'a> Simulation<'a> {
    fn new(policy: &'a Policy) -> Self {
        let team = TeamSpec {
            name: "t".into(),
            quota: Resources::new(u32::MAX / 2, u32::MAX / 2, 0),
            weight: 1,
        };
        let mut workers = Workers::default();
        for index in 0..WORKERS {
            workers.on_heartbeat(&heartbeat(index, CAPACITY, CAPACITY));
        }
        Self {
            policy,
            config: Config {
                number: 1,
                teams: BTreeMap::from([(team.name.clone(), team)]),
                ..Config::default()
            },
            workers,
            usage: TeamUsage::default(),
            kinds: Kinds::default(),
            shard: empty_shard(SHARD),
            rng: StdRng::seed_from_u64(SEED),
            running: Map::default(),
            submitted_ms: Map::default(),
            version: 1,
            finished: 0,
            short_waits_ms: Vec::new(),
        }
    }

    fn run(mut self) -> Outcome {
        let length_ms = u64::from(JOBS) * 1_000;
        let mut submitted = 0;
        for now_ms in (0..length_ms).step_by(STEP_MS as usize) {
            if now_ms % 1_000 == 0 {
                self.submit(now_ms, submitted);
                submitted += 1;
            }
            self.end_tasks(now_ms);
            self.place(now_ms);
            self.commit(now_ms);
        }
        let per_minute = self.finished as f64 * 60_000.0 / length_ms as f64;
        Outcome {
            per_minute,
            short_waits_ms: self.short_waits_ms,
        }
    }

    /// One kind in ten has stragglers' run time; each kind's declared size is wrong by its own factor.
    fn submit(&mut self, now_ms: u64, number: u32) {
        let kind = number % 20;
        let is_straggler = number % 100 == 50;
        let wrong = WRONG.powf((f64::from(kind) / 19.0) * 2.0 - 1.0);
        let uses = Resources::new(800, 2_500, 0);
        let declared = Resources::new(
            (f64::from(uses.processors_milli) * wrong) as u32,
            (f64::from(uses.memory_mb) * wrong) as u32,
            0,
        );
        let name = if is_straggler {
            "straggler".to_owned()
        } else {
            format!("kind{kind}")
        };
        let spec = JobSpec {
            team: "t".into(),
            key: format!("j{number}"),
            kind: name.as_str().into(),
            tasks: TASKS,
            need: declared,
            run_ms: SHORT_MS,
            urgent: false,
            max_failures: 3,
            payload: String::new(),
        };
        self.submitted_ms.insert(spec.id(), now_ms);
        self.shard.add_job(Job {
            id: spec.id(),
            spec,
            accepted_wall_ms: now_ms,
        });
    }

    fn end_tasks(&mut self, now_ms: u64) {
        let over: Vec<AttemptRef> = self
            .running
            .iter()
            .filter(|(_, task)| task.ends_ms <= now_ms)
            .map(|(attempt, _)| attempt.clone())
            .collect();
        for attempt in over {
            let Some(task) = self.running.remove(&attempt) else {
                continue;
            };
            self.finished += 1;
            let end = AttemptEnd {
                attempt,
                kind: EndKind::Succeeded,
                peak: task.uses,
                run_ms: now_ms - task.since_ms,
            };
            let mut unlearnt = Kinds::default();
            let kinds = if self.policy.learns {
                &mut self.kinds
            } else {
                &mut unlearnt
            };
            let (workers, usage) = (&mut self.workers, &mut self.usage);
            self.shard
                .on_end(now_ms, &task.agent, &end, workers, usage, kinds);
        }
    }

    fn place(&mut self, now_ms: u64) {
        let mut placer = Placer {
            workers: &mut self.workers,
            usage: &mut self.usage,
            kinds: &self.kinds,
            config: &self.config,
            order: self.policy.order,
        };
        let limits = PlaceLimits { max_tasks: 200 };
        placer.place(now_ms, &mut [&mut self.shard], limits, &mut self.rng);
    }

    fn commit(&mut self, now_ms: u64) {
        while self
            .shard
            .next_commit(now_ms, now_ms, 100, u64::MAX)
            .is_some()
        {
            self.version += 1;
            for effect in self.shard.on_committed(now_ms, self.version) {
                if let Effect::Start(agent, order) = effect {
                    self.start(now_ms, agent, &order);
                }
            }
        }
    }

    fn start(&mut self, now_ms: u64, agent: model::AgentId, order: &wire::StartOrder) {
        self.shard
            .on_accepted(&agent, &order.attempt, &mut self.workers);
        let is_straggler = order.kind.as_str() == "straggler";
        let jitter = self.rng.random_range(50..=150);
        let run_ms = SHORT_MS * jitter / 100 * if is_straggler { STRAGGLER } else { 1 };
        if !is_straggler {
            let submitted = self
                .submitted_ms
                .get(&order.attempt.task.job)
                .copied()
                .unwrap_or(0);
            self.short_waits_ms.push((now_ms - submitted) as f64);
        }
        let uses = Resources::new(800, 2_500, 0);
        let task = Running {
            agent,
            ends_ms: now_ms + run_ms,
            since_ms: now_ms,
            uses,
        };
        self.running.insert(order.attempt.clone(), task);
    }
}
