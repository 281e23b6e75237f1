//! Case `order`: batch throughput and waiting time of short tasks, with stragglers and wrongly
//! declared sizes, in virtual time. Also holds fixtures for other cases.

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

/// Number of the only shard in these simulations.
pub const SHARD: u16 = 0;
/// Number of workers, as in Lantern's installation today.
const WORKERS: usize = 11;
/// Capacity of each worker.
const CAPACITY: Resources = Resources::new(16_000, 60_000, 0);
/// Step of virtual time, in milliseconds.
const STEP_MS: u64 = 100;
/// Number of submitted jobs, one a second of virtual time.
const JOBS: u32 = 600;
/// Number of tasks of each job.
const TASKS: u32 = 38;
/// Mean run time of a short task, in milliseconds.
const SHORT_MS: u64 = 4_000;
/// Run time of a straggler, as a multiple of that of a short task.
const STRAGGLER_FACTOR: u64 = 30;
/// Largest factor by which declared sizes are too large or too small.
const MAX_SIZE_ERROR: f64 = 4.0;

/// First heartbeat of a worker that runs no services.
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

/// Shard without jobs, with a placeholder as owner.
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

/// Placement policy to compare.
struct Policy {
    /// Subject in the results.
    name: &'static str,
    /// Order in which waiting tasks are placed.
    order: PlacementOrder,
    /// Whether resource needs are learned from ended tasks, instead of taken as declared.
    learns_sizes: bool,
}

/// Compared policies.
const POLICIES: [Policy; 3] = [
    Policy {
        name: "ours",
        order: PlacementOrder::ShortestFirst,
        learns_sizes: true,
    },
    Policy {
        name: "first in first out",
        order: PlacementOrder::FirstInFirstOut,
        learns_sizes: true,
    },
    Policy {
        name: "declared sizes",
        order: PlacementOrder::ShortestFirst,
        learns_sizes: false,
    },
];

/// Simulates each policy and adds its throughput and waiting times.
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

/// Results of one simulation.
struct Outcome {
    /// Finished tasks a minute.
    per_minute: f64,
    /// Time from submission to start of each short task.
    short_waits_ms: Vec<f64>,
}

/// A running task in virtual time.
struct Running {
    /// Agent that runs it.
    agent: model::AgentId,
    /// Virtual time of its end.
    ends_ms: u64,
    /// Virtual time of its start.
    started_ms: u64,
    /// Resources that it uses in fact.
    uses: Resources,
}

/// Batch scheduler with simulated workers.
struct Simulation<'a> {
    /// Policy of this run.
    policy: &'a Policy,
    /// Configuration with one team.
    config: Config,
    /// Workers with their free capacity.
    workers: Workers,
    /// Quota usage of the teams.
    usage: TeamUsage,
    /// Learned statistics of each kind of work.
    kinds: Kinds,
    /// Shard that holds all jobs.
    shard: Shard,
    /// Seeded source of random choices.
    rng: StdRng,
    /// Tasks that run now.
    running: Map<AttemptRef, Running>,
    /// Virtual time at which each job was submitted.
    submitted_ms: Map<model::JobId, u64>,
    /// Table version of the last commit.
    version: u64,
    /// Number of finished tasks.
    finished: u64,
    /// Time from submission to start of each short task.
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

    /// Submits one job. One in a hundred consists of stragglers; the declared size of each kind is
    /// wrong by a factor of its own.
    fn submit(&mut self, now_ms: u64, number: u32) {
        let kind = number % 20;
        let is_straggler = number % 100 == 50;
        let size_error = MAX_SIZE_ERROR.powf((f64::from(kind) / 19.0) * 2.0 - 1.0);
        let uses = Resources::new(800, 2_500, 0);
        let declared = Resources::new(
            (f64::from(uses.processors_milli) * size_error) as u32,
            (f64::from(uses.memory_mb) * size_error) as u32,
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

    /// Ends the tasks whose run time has passed.
    fn end_tasks(&mut self, now_ms: u64) {
        let ended: Vec<AttemptRef> = self
            .running
            .iter()
            .filter(|(_, task)| task.ends_ms <= now_ms)
            .map(|(attempt, _)| attempt.clone())
            .collect();
        for attempt in ended {
            let Some(task) = self.running.remove(&attempt) else {
                continue;
            };
            self.finished += 1;
            let end = AttemptEnd {
                attempt,
                kind: EndKind::Succeeded,
                peak: task.uses,
                run_ms: now_ms - task.started_ms,
            };
            let mut discarded = Kinds::default();
            let kinds = if self.policy.learns_sizes {
                &mut self.kinds
            } else {
                &mut discarded
            };
            let (workers, usage) = (&mut self.workers, &mut self.usage);
            self.shard
                .on_end(now_ms, &task.agent, &end, workers, usage, kinds);
        }
    }

    /// Runs one scheduling pass.
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

    /// Commits all decisions and starts the tasks that were placed.
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

    /// Starts a task with a run time that varies by up to half.
    fn start(&mut self, now_ms: u64, agent: model::AgentId, order: &wire::StartOrder) {
        self.shard
            .on_accepted(&agent, &order.attempt, &mut self.workers);
        let is_straggler = order.kind.as_str() == "straggler";
        let jitter = self.rng.random_range(50..=150);
        let run_ms = SHORT_MS * jitter / 100 * if is_straggler { STRAGGLER_FACTOR } else { 1 };
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
            started_ms: now_ms,
            uses,
        };
        self.running.insert(order.attempt.clone(), task);
    }
}
