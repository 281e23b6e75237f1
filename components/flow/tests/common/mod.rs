//! Simulation of a scheduler with model workers and a model table in virtual time. It checks the
//! invariants of the scheduler at every step.
#![allow(dead_code)]

mod advance;
mod checks;
mod commits;
pub mod evacuated;
mod execution;
mod faults;
pub mod noisy;
mod polls;
pub mod preemptions;
mod queries;
pub mod queues;
mod reports;
pub mod slow_pool;
mod submissions;
mod takeover;
mod worker;

use flow::{
    AwayWorker, CommitLimits, Decision, FlowConfig, FlowJob, FlowPhase, Incarnation, LeaseTerms,
    Policies, Pool, Queue, QueueKey, RecordRows, Scheduler, StepSpec, TaskKey,
};
use model::{AgentId, DomainName, JobId, Resources};
use std::collections::{BTreeMap, BTreeSet};
pub use worker::{Mode, ModelWorker};
use worker_speed::SpeedChange;

/// Length of one simulation step, in milliseconds.
pub const STEP_MS: u64 = 20;
/// Time after a start within which a crash counts against the task, in milliseconds: the scheduler's 400,
/// and a step in which it may learn of the start.
const CRASH_SOON_MS: u64 = 400 + STEP_MS;
/// Time between two polls of a worker, in milliseconds.
const POLL_INTERVAL_MS: u64 = 100;
/// Time between two confirmations of leadership, in milliseconds.
const RENEW_INTERVAL_MS: u64 = 500;
/// Rates of the workers' clocks, in thousandths of the true rate, in turn.
const CLOCK_RATES_MILLI: [u64; 3] = [1_000, 980, 990];
/// Lengths of the leases that workers get.
pub const LEASE_TERMS: LeaseTerms = LeaseTerms {
    term_ms: 4_000,
    outage_term_ms: 5_700,
    outage_after_ms: 900,
    slack_ms: 300,
};
/// Time over a target from which all fillers of a worker are to be halted, in milliseconds.
const HALT_MS: u64 = 1_500;
/// Time for which a worker that crashed refuses connections, in milliseconds.
const DOWN_MS: u64 = 3_000;
/// Time after which the scheduler notices that a worker refuses connections, in milliseconds.
const NOTICE_MS: u64 = 60;
/// Most bytes that name workers as away.
const MAX_AWAY_BYTES: usize = 1_000;
/// Duration of a commit, in milliseconds.
const COMMIT_MS: u64 = 20;

/// Limits of a commit; records of more than two tasks take several rows.
pub const LIMITS: CommitLimits = CommitLimits {
    rows: 20,
    bytes: 8_000,
    row_bytes: 128,
};

/// Commit of the scheduler in the model table.
struct ModelCommit {
    /// When it was sent, in milliseconds.
    sent_ms: u64,
    /// Records that it writes.
    records: Vec<RecordRows>,
    /// Workers that it names as away.
    away: Vec<AwayWorker>,
}

/// A scheduler with its model workers and its model table.
pub struct Sim {
    /// Virtual time, in milliseconds.
    pub now_ms: u64,
    /// Scheduler under test; replaced by [`Sim::take_over`].
    pub scheduler: Scheduler,
    /// Configuration of this scheduler and of those that take over.
    pub config: FlowConfig,
    /// Policies of this scheduler and of those that take over.
    pub policies: Policies,
    /// Workers, by their agents.
    pub workers: BTreeMap<AgentId, ModelWorker>,
    /// Accepted flows.
    pub jobs: BTreeMap<JobId, FlowJob>,
    /// Durable records.
    records: BTreeMap<JobId, Vec<String>>,
    /// Commit in flight.
    commit: Option<ModelCommit>,
    /// Workers that the last durable commit names as away, each with the time at which its leases
    /// have expired, in milliseconds.
    away: Vec<(AgentId, u64)>,
    /// Actual run time of tasks by image, in milliseconds; the declared one if absent.
    pub run_ms: BTreeMap<String, u64>,
    /// Tasks that are slow by nature: each of their runs takes longer by this factor.
    pub slow_tasks: BTreeMap<TaskKey, u64>,
    /// Factor by which each run on a worker takes longer.
    pub slow_workers: BTreeMap<AgentId, u64>,
    /// Number of duplicates by what became of them.
    pub duplicate_outcomes: BTreeMap<String, u32>,
    /// Flows of which every run fails.
    pub always_failing: BTreeSet<JobId>,
    /// Tasks that crash each worker that starts them.
    pub deadly: BTreeSet<TaskKey>,
    /// Number of crashes by the task that caused them.
    pub crashes: BTreeMap<TaskKey, u32>,
    /// Number of crashes of workers by each task that ran there.
    pub crashes_under: BTreeMap<TaskKey, u32>,
    /// Those crashes that came within [`CRASH_SOON_MS`] of the start of the run.
    crashes_soon_under: BTreeMap<TaskKey, u32>,
    /// Pairs of images: a filler, and a latency-critical task that it disturbs.
    pub disturbs: BTreeSet<(String, String)>,
    /// Starts whose answers are lost; the value states whether the start is executed.
    pub lose_starts: Vec<bool>,
    /// Number of orders of a pace that are lost from now on.
    pub lose_paces: u32,
    /// Whether orders to stop a run are lost.
    pub stops_are_lost: bool,
    /// Whether the table is available.
    pub table_up: bool,
    /// When the scheduler last confirmed its leadership, in milliseconds.
    confirmed_ms: u64,
    /// Limits of a commit.
    pub limits: CommitLimits,
    /// Most ends in one report of a worker.
    pub ends_per_report: usize,
    /// Flows that were cancelled; durable from the start.
    cancelled: BTreeSet<JobId>,
    /// Tasks whose success the scheduler has acknowledged.
    acknowledged_done: BTreeSet<TaskKey>,
    /// Time in milliseconds and phase with which each flow ended.
    pub ended_ms: BTreeMap<JobId, (u64, FlowPhase)>,
    /// Number of starts by flow.
    pub starts: BTreeMap<JobId, u32>,
    /// Total time of latency-critical tasks over their target, in milliseconds.
    pub over_target_ms: u64,
    /// When such a task was last over its target, in milliseconds.
    pub last_over_target_ms: u64,
    /// Load and fillers' influence on latencies with noisy measurements, instead of [`Sim::disturbs`].
    pub noisy: Option<noisy::NoisyLoad>,
    /// Work that fillers did, in core-milliseconds.
    pub filler_work: u64,
    /// Number of orders of a pace.
    pub pace_orders: u32,
    /// Number of orders of a pace by their direction.
    pub pace_directions: BTreeMap<String, u32>,
    /// How long each latency-critical task has been over its target beside running fillers, in
    /// milliseconds.
    interference_ms: BTreeMap<TaskKey, u64>,
    /// Longest such time, in milliseconds.
    pub longest_interference_ms: u64,
    /// Failure domains that the operator has evacuated.
    pub evacuated: BTreeSet<DomainName>,
    /// Whether the scheduler's reads of the evacuations are answered.
    pub evacuations_are_read: bool,
    /// When each run started: task, agent and time in milliseconds, in order.
    pub started: Vec<(TaskKey, AgentId, u64)>,
    /// Whether tasks that save their progress write checkpoints and resume from them.
    pub writes_checkpoints: bool,
    /// Time between the request for a report and its arrival, in milliseconds.
    pub report_delay_ms: u64,
    /// Tasks that were moved away from slow workers, each with the time in milliseconds and the worker.
    pub moved_from_slow: Vec<(u64, TaskKey, AgentId)>,
    /// Changes of the speeds of workers.
    pub speed_changes: Vec<(AgentId, SpeedChange)>,
    /// Starts on each worker.
    pub starts_on: BTreeMap<AgentId, u32>,
    /// Orders that let a filler work although a target on its worker has been missed for [`HALT_MS`].
    pub paced_in_halts: u32,
    /// Factor by which runs take longer on workers of another rack than their data.
    pub remote_factor: f64,
    /// Number of placed tasks by locality.
    pub localities: BTreeMap<&'static str, u32>,
    /// Details of the tasks that gave up waiting for a near worker.
    pub given_up: Vec<String>,
    /// Queues whose debt began or was paid, each with the time in milliseconds and whether it began.
    pub debt_events: Vec<(u64, String, bool)>,
    /// Preempted runs, each with the time in milliseconds.
    pub preempted: Vec<(u64, Decision)>,
    /// Number of the first preemption by the present scheduler.
    pub first_preemption: usize,
    /// Number of takeovers.
    pub takeovers: usize,
    /// Preempted runs whose stop was late, each with the time in milliseconds.
    pub late_preemptions: Vec<(u64, Decision)>,
    /// Number of preemptions by what became of them.
    pub preemption_outcomes: BTreeMap<&'static str, u32>,
}

/// Key of the only queue.
pub fn queue() -> QueueKey {
    QueueKey {
        host: "a.example".to_owned(),
        prefix: "/q/".to_owned(),
    }
}

pub fn config() -> FlowConfig {
    FlowConfig {
        version: 1,
        queues: vec![Queue {
            key: queue(),
            service: "pool".into(),
            priority: 0,
            max_attempts: 3,
            stretch: 2.0,
            latency_target_ms: 500,
        }],
        pools: vec![Pool {
            name: "pool".into(),
            rejects_overload: true,
            spare: false,
        }],
    }
}

/// A step of ordinary tasks: neither fillers nor latency-critical.
pub fn step(tasks: u32, processors_milli: u32, estimate_ms: u64) -> StepSpec {
    StepSpec {
        tasks,
        need: Resources::new(processors_milli, 1_000, 0),
        estimate_ms,
        ..StepSpec::default()
    }
}

fn incarnation(name: &str, born_ms: u64) -> Incarnation {
    Incarnation {
        worker: name.to_owned(),
        born_ms,
    }
}

impl Sim {
    /// Creates a scheduler with this number of workers with 16 processors each, all in one rack.
    pub fn new(workers: usize) -> Self {
        let mut scheduler = Scheduler::default();
        scheduler.set_config(config());
        let workers = (0..workers).map(|number| {
            let name = format!("w{number}");
            let worker = ModelWorker {
                mode: Mode::Healthy,
                incarnation: incarnation(&name, 1),
                capacity: Resources::new(16_000, 64_000, 0),
                labels: vec!["a".to_owned(), "r1".to_owned()],
                domain: "d".into(),
                running: BTreeMap::new(),
                ended: Vec::new(),
                superseded_up_to: BTreeMap::new(),
                next_end: 1,
                polled_ms: 0,
                clock_rate_milli: CLOCK_RATES_MILLI[number % CLOCK_RATES_MILLI.len()],
                lease_until_ms: 0,
                delayed_polls: Vec::new(),
                speed_percent: 100,
                latency_ms: BTreeMap::new(),
                down_until_ms: 0,
                is_crash_noticed: true,
            };
            (AgentId::from(name), worker)
        });
        Self {
            now_ms: 1_000,
            scheduler,
            config: config(),
            policies: Policies::default(),
            workers: workers.collect(),
            jobs: BTreeMap::new(),
            records: BTreeMap::new(),
            commit: None,
            away: Vec::new(),
            run_ms: BTreeMap::new(),
            slow_tasks: BTreeMap::new(),
            slow_workers: BTreeMap::new(),
            duplicate_outcomes: BTreeMap::new(),
            always_failing: BTreeSet::new(),
            deadly: BTreeSet::new(),
            crashes: BTreeMap::new(),
            crashes_under: BTreeMap::new(),
            crashes_soon_under: BTreeMap::new(),
            disturbs: BTreeSet::new(),
            lose_starts: Vec::new(),
            lose_paces: 0,
            stops_are_lost: false,
            table_up: true,
            confirmed_ms: 1_000,
            limits: LIMITS,
            ends_per_report: 500,
            cancelled: BTreeSet::new(),
            acknowledged_done: BTreeSet::new(),
            ended_ms: BTreeMap::new(),
            starts: BTreeMap::new(),
            over_target_ms: 0,
            last_over_target_ms: 0,
            noisy: None,
            filler_work: 0,
            pace_orders: 0,
            pace_directions: BTreeMap::new(),
            interference_ms: BTreeMap::new(),
            longest_interference_ms: 0,
            evacuated: BTreeSet::new(),
            evacuations_are_read: true,
            started: Vec::new(),
            writes_checkpoints: false,
            report_delay_ms: 0,
            moved_from_slow: Vec::new(),
            speed_changes: Vec::new(),
            starts_on: BTreeMap::new(),
            paced_in_halts: 0,
            remote_factor: 1.0,
            localities: BTreeMap::new(),
            given_up: Vec::new(),
            debt_events: Vec::new(),
            preempted: Vec::new(),
            first_preemption: 0,
            takeovers: 0,
            late_preemptions: Vec::new(),
            preemption_outcomes: BTreeMap::new(),
        }
    }

    /// Puts a configuration in force, as its next version.
    pub fn set_queues(&mut self, queues: Vec<Queue>) {
        self.config.version += 1;
        self.config.queues = queues;
        self.scheduler.set_config(self.config.clone());
    }

    /// Puts policies in force.
    pub fn set_policies(&mut self, policies: Policies) {
        self.policies = policies.clone();
        self.scheduler.set_policies(policies);
    }

    /// Advances the simulation by `span_ms`.
    pub fn run_for(&mut self, span_ms: u64) {
        let until_ms = self.now_ms + span_ms;
        while self.now_ms < until_ms {
            self.step();
        }
    }

    /// Advances the workers by `span_ms` while there is no scheduler.
    pub fn run_without_scheduler(&mut self, span_ms: u64) {
        for _ in 0..span_ms / STEP_MS {
            self.now_ms += STEP_MS;
            self.advance();
        }
    }

    /// Advances the simulation until every flow has ended. Returns whether that took at most
    /// `limit_ms`.
    pub fn run_until_ended(&mut self, limit_ms: u64) -> bool {
        let until_ms = self.now_ms + limit_ms;
        while self.now_ms < until_ms {
            if self.ended_ms.len() == self.jobs.len() {
                return true;
            }
            self.step();
        }
        self.ended_ms.len() == self.jobs.len()
    }

    /// Lets the scheduler read the evacuations.
    fn read_evacuations(&mut self) {
        if self.evacuations_are_read {
            self.scheduler.set_evacuations(self.now_ms, &self.evacuated);
            self.scheduler.confirm_evacuations(self.now_ms);
        }
    }

    /// Advances the simulation by [`STEP_MS`] and checks the invariants.
    pub fn step(&mut self) {
        self.now_ms += STEP_MS;
        self.advance();
        self.notice_crashes();
        self.read_evacuations();
        self.send_due_polls();
        self.scheduler.release_lapsed(self.now_ms);
        self.commit();
        self.carry_out_effects();
        self.check_invariants();
    }

    fn spec(&self, key: &TaskKey) -> StepSpec {
        self.jobs[&key.job].spec.steps[key.step as usize].clone()
    }
}
