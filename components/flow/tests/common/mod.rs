//! Simulation of a scheduler with model workers and a model table in virtual time. It checks the
//! invariants of the scheduler at every step.
#![allow(dead_code)]

mod advance;
mod checks;
pub mod evacuated;
pub mod noisy;
mod polls;
pub mod preemptions;
pub mod queues;
pub mod slow_pool;
mod worker;

use flow::CommitLimits;
use flow::record_rows::join;
use flow::{
    AwayWorker, Decision, DecisionKind, Delivery, Effect, EndedRun, FlowConfig, FlowJob, FlowPhase,
    FlowRecord, FlowSpec, Incarnation, LeaseTerms, Policies, Pool, Queue, QueueKey, RecordRows,
    ReportTimes, RunEnd, RunRef, RunningTask, Schedule, Scheduler, StartOutcome, StepSpec, TaskKey,
    WorkerInfo, WorkerReport,
};
use model::{AgentId, DomainName, JobId, Resources};
use std::collections::{BTreeMap, BTreeSet};
use worker::ModelRun;
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

    /// Durable record of a flow; empty if there is none.
    pub fn record_text(&self, job: &JobId) -> String {
        let rows = self.records.get(job).map_or(&[][..], Vec::as_slice);
        let numbered: Vec<(usize, &str)> = rows.iter().map(String::as_str).enumerate().collect();
        join(&numbered).unwrap_or_default()
    }

    /// Accepts a flow.
    pub fn submit(&mut self, id: &str, steps: Vec<StepSpec>) -> JobId {
        self.submit_scheduled(id, steps, None)
    }

    /// Accepts a flow with a schedule. The time of day is always 0.
    pub fn submit_scheduled(
        &mut self,
        id: &str,
        steps: Vec<StepSpec>,
        schedule: Option<Schedule>,
    ) -> JobId {
        self.submit_to(queue(), id, steps, schedule)
    }

    /// Accepts a flow of a queue. The time of day is always 0.
    pub fn submit_to(
        &mut self,
        queue: QueueKey,
        id: &str,
        steps: Vec<StepSpec>,
        schedule: Option<Schedule>,
    ) -> JobId {
        let job = FlowJob {
            id: id.into(),
            queue,
            spec: FlowSpec {
                payload: "p".to_owned(),
                steps,
                schedule,
            },
            accepted_wall_ms: 0,
        };
        self.jobs.insert(job.id.clone(), job.clone());
        self.scheduler.add(self.now_ms, 0, job);
        id.into()
    }

    /// Cancels a flow.
    pub fn cancel(&mut self, job: &JobId) {
        self.cancelled.insert(job.clone());
        self.scheduler.cancel(self.now_ms, job);
    }

    /// Lets duplicates start where steps allow them.
    pub fn allow_duplicates(&mut self) {
        self.set_policies(Policies {
            duplicates: true,
            ..self.policies.clone()
        });
    }

    /// Replaces the scheduler by one of a version without duplicates, which ignores the field of the
    /// records that holds them.
    pub fn take_over_by_former_version(&mut self) {
        self.policies.duplicates = false;
        self.take_over_reading(|record| {
            record.as_object_mut().unwrap().remove("p");
        });
        // Runs that a duplicate was started of may still be in progress.
        self.policies.duplicates = true;
    }

    /// Replaces the scheduler by a new one that restores its state from the durable records.
    pub fn take_over(&mut self) {
        self.take_over_reading(|_| ());
    }

    /// Replaces the scheduler by a new one that restores its state from what `read` makes of the
    /// durable records.
    fn take_over_reading(&mut self, read: impl Fn(&mut serde_json::Value)) {
        self.commit = None;
        let mut scheduler = Scheduler::default();
        scheduler.set_config(self.config.clone());
        scheduler.set_policies(self.policies.clone());
        let former_leases_expired_ms = self.now_ms + LEASE_TERMS.longest_ms();
        scheduler.set_former_leases_expired_ms(former_leases_expired_ms);
        for (agent, expired_ms) in &self.away {
            scheduler.restore_away(agent, *expired_ms);
        }
        for job in self.jobs.values() {
            match self.ended_ms.get(&job.id) {
                Some((_, phase)) => scheduler.add_ended(job.id.clone(), *phase),
                None => {
                    scheduler.add(self.now_ms, 0, job.clone());
                }
            }
        }
        for (job, rows) in &self.records {
            let numbered: Vec<(usize, &str)> =
                rows.iter().map(String::as_str).enumerate().collect();
            let mut record = serde_json::from_str(&join(&numbered).unwrap()).unwrap();
            read(&mut record);
            let record: FlowRecord = serde_json::from_value(record).unwrap();
            scheduler.set_record_rows(job, rows.len());
            scheduler.restore(self.now_ms, job, &record);
            if scheduler.flow(job).is_some_and(|flow| flow.end().is_some()) {
                scheduler.request_rewrite(job);
            }
        }
        for job in &self.cancelled {
            scheduler.cancel(self.now_ms, job);
        }
        self.scheduler = scheduler;
        self.confirmed_ms = self.now_ms;
        self.first_preemption = self.preempted.len();
        self.takeovers += 1;
    }

    /// Crashes a worker and restarts it as a new incarnation.
    pub fn crash(&mut self, agent: &AgentId) {
        let worker = self.workers.get_mut(agent).unwrap();
        worker.incarnation.born_ms += 1;
        for (key, run) in &worker.running {
            *self.crashes_under.entry(key.clone()).or_default() += 1;
            if self.now_ms <= run.started_ms + CRASH_SOON_MS {
                *self.crashes_soon_under.entry(key.clone()).or_default() += 1;
            }
        }
        worker.running.clear();
        worker.ended.clear();
        worker.superseded_up_to.clear();
        worker.next_end = 1;
        worker.lease_until_ms = 0;
        worker.delayed_polls.clear();
        worker.latency_ms.clear();
    }

    /// Crashes a worker, which then refuses connections for [`DOWN_MS`].
    pub fn crash_for_a_while(&mut self, agent: &AgentId) {
        self.crash(agent);
        let down_until_ms = self.now_ms + DOWN_MS;
        let worker = self.workers.get_mut(agent).unwrap();
        worker.down_until_ms = down_until_ms;
        worker.is_crash_noticed = false;
    }

    /// Tells the scheduler of workers that refuse connections.
    fn notice_crashes(&mut self) {
        for (agent, worker) in &mut self.workers {
            let noticed_ms = worker.down_until_ms.saturating_sub(DOWN_MS - NOTICE_MS);
            if !worker.is_crash_noticed && self.now_ms >= noticed_ms {
                worker.is_crash_noticed = true;
                let reason = "the worker refuses connections";
                self.scheduler
                    .on_worker_terminated(self.now_ms, agent, reason);
            }
        }
    }

    /// Lets a worker report an end of run 1 of a task of a flow's first step, although it reported
    /// such an end before.
    pub fn report_end(&mut self, agent: &AgentId, job: &JobId, index: u32, outcome: RunEnd) {
        let task = TaskKey {
            job: job.clone(),
            occurrence: 0,
            step: 0,
            index,
        };
        let worker = self.workers.get_mut(agent).unwrap();
        worker.ended.push(EndedRun {
            number: worker.next_end,
            task,
            run: 1,
            outcome,
            checkpoint: None,
        });
        worker.next_end += 1;
    }

    /// Ends the runs of a flow's gang as their workers do when another member does not start in time.
    pub fn end_alone(&mut self, job: &JobId) {
        for worker in self.workers.values_mut() {
            let members = worker.running.keys().filter(|key| key.job == *job);
            for key in members.cloned().collect::<Vec<_>>() {
                worker.end(&key, RunEnd::Alone);
            }
        }
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

    /// Has the scheduler apply a worker's report.
    fn send_report(&mut self, agent: &AgentId) {
        let specs: BTreeMap<TaskKey, StepSpec> = self.workers[agent]
            .running
            .keys()
            .map(|key| (key.clone(), self.spec(key)))
            .collect();
        let worker = &self.workers[agent];
        let ended: Vec<EndedRun> = worker
            .ended
            .iter()
            .take(self.ends_per_report)
            .cloned()
            .collect();
        let info = WorkerInfo {
            incarnation: worker.incarnation.clone(),
            service: "pool".into(),
            domain: worker.domain.clone(),
            capacity: worker.capacity,
            labels: worker.labels.clone(),
            draining: false,
            drain_remaining_ms: None,
        };
        let running = worker.running.iter().map(|(key, run)| {
            let spec = &specs[key];
            let latency = worker.latency_ms.get(key).copied().unwrap_or(0.0);
            let noisy = self.noisy.as_ref();
            let latency = noisy.map_or(latency, |noisy| noisy.reported_ms(key)) as u32;
            let used = spec.need.processors_milli * run.pace / 100;
            let is_ready = spec.long_running;
            RunningTask {
                task: key.clone(),
                run: run.run,
                checkpoint: run.checkpoint(),
                percent: if is_ready {
                    100
                } else {
                    (run.done_micro / 10_000).min(99) as u32
                },
                load: if spec.latency_target_ms.is_some() {
                    latency
                } else {
                    used
                },
            }
        });
        let report = WorkerReport {
            born_ms: worker.incarnation.born_ms,
            clock_ms: worker.clock_ms(self.now_ms),
            running: running.collect(),
            has_more_ends: ended.len() >= self.ends_per_report,
            ended,
        };
        let times = ReportTimes {
            requested_ms: self.now_ms - self.report_delay_ms,
            now_ms: self.now_ms,
        };
        self.scheduler.on_report(times, agent, Some(info), &report);
    }

    fn commit(&mut self) {
        if !self.table_up {
            return;
        }
        let is_renewal_due = self.now_ms >= self.confirmed_ms + RENEW_INTERVAL_MS;
        if is_renewal_due {
            self.confirmed_ms = self.now_ms;
        }
        if let Some(commit) = self.commit.take() {
            if self.now_ms < commit.sent_ms + COMMIT_MS {
                self.commit = Some(commit);
                return;
            }
            self.apply_commit(&commit);
        }
        self.scheduler.place(self.now_ms, 0);
        let records = self.scheduler.take_commit(self.now_ms, &self.limits);
        let is_due = !records.is_empty() || self.scheduler.has_returned_worker() || is_renewal_due;
        if is_due {
            self.commit = Some(ModelCommit {
                sent_ms: self.now_ms,
                records,
                away: self.scheduler.note_away(self.now_ms, MAX_AWAY_BYTES),
            });
        }
    }

    /// Lets a commit take effect.
    fn apply_commit(&mut self, commit: &ModelCommit) {
        for record in &commit.records {
            let stored = self.records.get(&record.job).map_or(1, Vec::len);
            assert_eq!(record.former_rows, stored, "rows of the former record");
            self.records
                .insert(record.job.clone(), record.values.clone());
        }
        let away = commit.away.iter();
        let away = away.map(|worker| (worker.agent.clone(), self.now_ms + worker.expires_in_ms));
        self.away = away.collect();
        self.scheduler.on_committed(&commit.records);
        self.scheduler.on_away_committed(&commit.away);
    }

    fn carry_out_effects(&mut self) {
        for effect in self.scheduler.take_effects() {
            match effect {
                Effect::Start(run, input) => self.start(&run, input.checkpoint.as_deref()),
                Effect::Stop(run) => self.stop(&run),
                Effect::Pace(run, percent) => self.pace(&run, percent),
                Effect::PaceOrdered(_, direction, _) => {
                    let direction = direction.to_string();
                    *self.pace_directions.entry(direction).or_default() += 1;
                }
                Effect::Ended(job, phase) => {
                    self.ended_ms.insert(job, (self.now_ms, phase));
                }
                Effect::Duplicate(outcome) => {
                    let outcome = outcome.to_string();
                    *self.duplicate_outcomes.entry(outcome).or_default() += 1;
                }
                Effect::Acknowledge(_)
                | Effect::StepDown
                | Effect::SetAside(..)
                | Effect::PressureLearned(..)
                | Effect::OverloadBegan(..)
                | Effect::OverloadEnded { .. } => {}
                Effect::QueueInDebt { queue, .. } => {
                    self.debt_events.push((self.now_ms, queue, true));
                }
                Effect::QueueDebtPaid { queue, .. } => {
                    self.debt_events.push((self.now_ms, queue, false));
                }
                Effect::LocalityChosen(outcome) => {
                    *self.localities.entry(outcome.into()).or_default() += 1;
                }
                Effect::Preemption(outcome) => {
                    *self.preemption_outcomes.entry(outcome.into()).or_default() += 1;
                }
                Effect::SpeedChanged(agent, change) => self.speed_changes.push((agent, change)),
                Effect::Decided(decision) => self.note_decision(decision),
            }
        }
    }

    fn note_decision(&mut self, decision: Decision) {
        match decision.kind {
            DecisionKind::GaveUpNear => self.given_up.push(decision.detail),
            DecisionKind::MovedFromSlow => {
                let moved = (self.now_ms, decision.task, decision.agent);
                self.moved_from_slow.push(moved);
            }
            DecisionKind::Preempted => {
                self.preempted.push((self.now_ms, decision));
                self.check_preemptions();
            }
            DecisionKind::PreemptionLate => self.late_preemptions.push((self.now_ms, decision)),
            _ => {}
        }
    }

    fn start(&mut self, run: &RunRef, checkpoint: Option<&str>) {
        let now_ms = self.now_ms;
        let limit = self.scheduler.start_lease_limit(self.lease_limit());
        let outcome = match self.scheduler.offer_start_lease(&run.agent, limit) {
            None => StartOutcome::Late,
            Some(lease) => {
                let outcome = match self.lose_starts.pop() {
                    Some(true) => {
                        self.execute(run, checkpoint, lease.until_clock_ms);
                        StartOutcome::Unknown
                    }
                    Some(false) => StartOutcome::Unknown,
                    None => self.execute(run, checkpoint, lease.until_clock_ms),
                };
                let delivery = Delivery::Possible;
                self.scheduler.settle_lease(&run.agent, lease.id, delivery);
                outcome
            }
        };
        self.scheduler
            .on_start(now_ms, &run.agent, &run.task, run.run, outcome);
    }

    /// Executes a start order on its worker, and checks that the run fits and that its task is not
    /// acknowledged as done.
    fn execute(
        &mut self,
        run: &RunRef,
        checkpoint: Option<&str>,
        lease_until_ms: u64,
    ) -> StartOutcome {
        let spec = self.spec(&run.task);
        let need = spec.reserved();
        let saves_progress = self.writes_checkpoints && spec.saves_progress;
        let used = self.used(&run.agent);
        let now_ms = self.now_ms;
        let worker = self.workers.get_mut(&run.agent).unwrap();
        let is_down = now_ms < worker.down_until_ms;
        let is_cut_off = matches!(worker.mode, Mode::Partitioned | Mode::Mute);
        if is_down || is_cut_off || worker.incarnation != run.incarnation {
            return StartOutcome::Unavailable;
        }
        worker.lease_until_ms = worker.lease_until_ms.max(lease_until_ms);
        if worker
            .superseded_up_to
            .get(&run.task)
            .is_some_and(|newest| *newest >= run.run)
        {
            return StartOutcome::Superseded;
        }
        assert!(
            used.plus(&need).fits_in(&worker.capacity),
            "{run:?} does not fit"
        );
        *self.starts.entry(run.task.job.clone()).or_default() += 1;
        self.started
            .push((run.task.clone(), run.agent.clone(), now_ms));
        assert!(
            !self.acknowledged_done.contains(&run.task),
            "{} starts after its success was acknowledged",
            run.task
        );
        let done_micro = checkpoint.map_or(0, |text| text.parse().unwrap());
        let started = ModelRun {
            run: run.run,
            started_ms: now_ms,
            done_micro,
            pace: 100,
            saves_progress,
        };
        *self.starts_on.entry(run.agent.clone()).or_default() += 1;
        worker.running.insert(run.task.clone(), started);
        if self.deadly.contains(&run.task) {
            *self.crashes.entry(run.task.clone()).or_default() += 1;
            self.crash_for_a_while(&run.agent);
        }
        StartOutcome::Started
    }

    fn used(&self, agent: &AgentId) -> Resources {
        let running = self.workers[agent].running.keys();
        running
            .map(|key| self.spec(key).reserved())
            .fold(Resources::default(), |sum, need| sum.plus(&need))
    }

    fn stop(&mut self, run: &RunRef) {
        let worker = self.workers.get_mut(&run.agent).unwrap();
        let is_cut_off = matches!(worker.mode, Mode::Partitioned | Mode::Mute);
        if self.stops_are_lost || is_cut_off || worker.incarnation != run.incarnation {
            return;
        }
        let newest = worker.superseded_up_to.entry(run.task.clone()).or_default();
        *newest = (*newest).max(run.run);
        let is_running = worker
            .running
            .get(&run.task)
            .is_some_and(|run_state| run_state.run == run.run);
        if is_running {
            worker.end(&run.task, RunEnd::Stopped);
        }
        let now_ms = self.now_ms;
        self.scheduler
            .on_stopped(now_ms, &run.agent, &run.task, run.run);
    }

    fn pace(&mut self, run: &RunRef, percent: u32) {
        self.pace_orders += 1;
        let view = self.scheduler.worker(&run.agent);
        let is_halted = view.is_some_and(|view| view.over_target_ms(self.now_ms) >= HALT_MS);
        self.paced_in_halts += u32::from(is_halted && percent > 0);
        if self.lose_paces > 0 {
            self.lose_paces -= 1;
            self.scheduler.on_pace_lost(&run.task, run.run);
            return;
        }
        let worker = self.workers.get_mut(&run.agent).unwrap();
        if let Some(run_state) = worker.running.get_mut(&run.task) {
            run_state.pace = percent;
        }
    }

    /// Has a worker carry out an old order to start a run, which the scheduler has given up on.
    pub fn start_late(&mut self, agent: &AgentId, task: &TaskKey, run: u32) {
        let worker = self.workers.get_mut(agent).unwrap();
        worker.lease_until_ms = worker.clock_ms(self.now_ms) + LEASE_TERMS.term_ms;
        let started = ModelRun {
            run,
            started_ms: self.now_ms,
            done_micro: 0,
            pace: 100,
            saves_progress: false,
        };
        worker.running.insert(task.clone(), started);
    }

    /// Paces of a flow's runs in progress, in percent.
    pub fn paces(&self, job: &JobId) -> Vec<u32> {
        let running = self.workers.values().flat_map(|worker| &worker.running);
        let of_job = running.filter(|(key, _)| key.job == *job);
        of_job.map(|(_, run)| run.pace).collect()
    }

    /// Number of runs of a flow in progress.
    pub fn running(&self, job: &JobId) -> usize {
        let workers = self.workers.values();
        workers
            .flat_map(|worker| worker.running.keys())
            .filter(|key| key.job == *job)
            .count()
    }

    /// Whether a run of a flow is in progress on a worker.
    pub fn runs_on(&self, agent: &str, job: &JobId) -> bool {
        let mut running = self.workers[&AgentId::from(agent)].running.keys();
        running.any(|key| key.job == *job)
    }

    /// Number of runs on a worker in progress.
    pub fn run_count(&self, agent: &str) -> usize {
        self.workers[&AgentId::from(agent)].running.len()
    }

    /// Whether two workers have crashed under a task of the flow, so that it may be given up.
    pub fn may_be_given_up(&self, job: &JobId) -> bool {
        let mut crashes = self.crashes_under.iter();
        crashes.any(|(key, crashes)| key.job == *job && *crashes >= 2)
    }

    /// Whether two workers have crashed soon after they started the same task of the flow, which makes it
    /// look as if the task were the cause.
    pub fn looks_deadly(&self, job: &JobId) -> bool {
        let mut crashes = self.crashes_soon_under.iter();
        crashes.any(|(key, crashes)| key.job == *job && *crashes >= 2)
    }

    /// Number of completed flows.
    pub fn completed(&self) -> usize {
        let ended = self.ended_ms.values();
        ended
            .filter(|(_, phase)| *phase == FlowPhase::Completed)
            .count()
    }
}
