//! Owners of one shard that crash, pause, lose answers and race, against models of the table and of
//! the platform's runtime.

use backing::{AttemptRef, StoreError, TableStore, Transaction};
use batch::{
    CommitOutcome, CommitPlan, Effect, Kinds, LeaseWatch, PlaceLimits, PlacementOrder, Placer,
    Shard, TeamUsage, Workers, claim_transaction, shard_key,
};
use model::{AgentId, Config, EntryId, Job, JobPhase, JobSpec, JobSummary, Resources, TeamSpec};
use proptest::prelude::*;
use rand::SeedableRng;
use rand::rngs::StdRng;
use standin::{MemoryTable, ScriptedOutcome};
use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use wire::{AttemptEnd, EndKind, Heartbeat};

/// Number of the shard.
const SHARD: u16 = 0;
/// Tasks of the job.
const TASKS: u32 = 6;
/// Agents that every owner knows.
const AGENTS: usize = 3;

/// Model of the platform's runtime. It refuses attempts that are not newer than the newest seen.
#[derive(Default)]
struct Runtime {
    /// Running attempt of each task, and the agent that runs it.
    running: BTreeMap<String, (AttemptRef, AgentId)>,
    /// Newest attempt number seen of each task.
    newest: HashMap<String, u32>,
    /// How each ended attempt ended.
    ended: HashMap<AttemptRef, EndKind>,
    /// Number of successes of each task.
    succeeded: HashMap<String, u32>,
}

impl Runtime {
    fn start(&mut self, agent: &AgentId, attempt: &AttemptRef) {
        let task = attempt.task.to_string();
        let newest = self.newest.entry(task.clone()).or_default();
        if attempt.attempt <= *newest {
            return;
        }
        *newest = attempt.attempt;
        let before = self
            .running
            .insert(task.clone(), (attempt.clone(), agent.clone()));
        assert!(before.is_none(), "{task} runs in two places");
        assert!(
            !self.succeeded.contains_key(&task),
            "{task} ran again after its end"
        );
    }

    /// Stops an attempt, refuses it from now on, and returns how it ended.
    fn stop(&mut self, attempt: &AttemptRef) -> EndKind {
        let task = attempt.task.to_string();
        let newest = self.newest.entry(task.clone()).or_default();
        *newest = (*newest).max(attempt.attempt);
        if self
            .running
            .get(&task)
            .is_some_and(|(running, _)| running == attempt)
        {
            self.running.remove(&task);
            self.ended.insert(attempt.clone(), EndKind::Checkpointed);
        }
        self.ended.get(attempt).copied().unwrap_or(EndKind::Stopped)
    }

    /// Ends the nth running attempt, if any runs.
    fn finish(&mut self, nth: usize, kind: EndKind) {
        let Some(task) = self
            .running
            .keys()
            .nth(nth % self.running.len().max(1))
            .cloned()
        else {
            return;
        };
        let Some((attempt, _)) = self.running.remove(&task) else {
            return;
        };
        if kind == EndKind::Succeeded {
            *self.succeeded.entry(task).or_default() += 1;
        }
        self.ended.insert(attempt, kind);
    }
}

/// An entry that claimed the shard, and that may have lost it without knowing.
struct Owner {
    /// Shard in the owner's memory.
    shard: Shard,
    /// Workers that the owner knows.
    workers: Workers,
    /// Usage of teams, as the owner counts it.
    usage: TeamUsage,
    /// Statistics that the owner has learned.
    kinds: Kinds,
    /// Whether the answer to the commit in flight was lost.
    is_unresolved: bool,
}

/// One random action; a number selects the owner, or the running attempt for `Finish` and `Evict`.
#[derive(Debug, Clone)]
enum Step {
    /// A new owner claims the shard.
    Takeover,
    /// An owner places tasks.
    Place(usize),
    /// An owner sends or resolves a commit.
    Commit(usize),
    /// A running attempt succeeds (true) or fails.
    Finish(usize, bool),
    /// All ends are reported to an owner.
    Report(usize),
    /// A running attempt is checkpointed and stopped.
    Evict(usize),
    /// An owner recovers all attempts.
    Recover(usize),
}

fn any_step() -> impl Strategy<Value = Step> {
    let owner = 0..3_usize;
    prop_oneof![
        1 => Just(Step::Takeover),
        4 => owner.clone().prop_map(Step::Place),
        5 => owner.clone().prop_map(Step::Commit),
        3 => (0..6_usize, prop::bool::weighted(0.8))
            .prop_map(|(nth, succeeds)| Step::Finish(nth, succeeds)),
        4 => owner.clone().prop_map(Step::Report),
        1 => (0..6_usize).prop_map(Step::Evict),
        2 => owner.prop_map(Step::Recover),
    ]
}

fn any_outcome() -> impl Strategy<Value = ScriptedOutcome> {
    prop_oneof![
        5 => Just(ScriptedOutcome::Answered),
        2 => Just(ScriptedOutcome::AnswerLost),
        1 => Just(ScriptedOutcome::Lost),
        1 => Just(ScriptedOutcome::Refused),
    ]
}

fn job() -> Job {
    let spec = JobSpec {
        team: "t".into(),
        key: "j".to_owned(),
        kind: "k".into(),
        tasks: TASKS,
        need: Resources::new(100, 100, 0),
        run_ms: 1_000,
        urgent: false,
        max_failures: 100,
        payload: String::new(),
    };
    Job {
        id: spec.id(),
        spec,
        accepted_wall_ms: 0,
    }
}

fn config() -> Config {
    let quota = Resources::new(100_000, 100_000, 0);
    let team = TeamSpec {
        name: "t".into(),
        quota,
        weight: 1,
    };
    Config {
        number: 1,
        teams: BTreeMap::from([(team.name.clone(), team)]),
        ..Config::default()
    }
}

fn address() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 1))
}

fn heartbeat(index: usize) -> Heartbeat {
    let size = Resources::new(1_000, 1_000, 0);
    Heartbeat {
        agent: format!("w{index}").into(),
        incarnation: 1,
        sequence: 1,
        domain: "a".into(),
        traffic: address(),
        control: address(),
        draining: false,
        services: Vec::new(),
        capacity: size,
        free: size,
        config: 1,
        bad_kinds: Vec::new(),
    }
}

/// The table, the runtime and up to three owners of the same shard.
struct Simulation {
    /// Table, whose commits meet the generated outcomes.
    table: MemoryTable,
    /// Model of the runtime, shared by all owners.
    runtime: Runtime,
    /// Owners, the newest last.
    owners: Vec<Owner>,
    /// Configuration with the team's quota.
    config: Config,
    /// Source of randomness for placement.
    rng: StdRng,
    /// Present time.
    now_ms: u64,
    /// Number of claims so far, which names the next owner.
    takeovers: usize,
}

impl Simulation {
    fn new(outcomes: Vec<ScriptedOutcome>) -> Self {
        let table =
            MemoryTable::with_outcomes([ScriptedOutcome::Answered].into_iter().chain(outcomes));
        let (job, key) = (job(), batch::job_key(SHARD, "t.j"));
        let value = serde_json::to_string(&job).expect("a job is JSON");
        table
            .commit_now(&Transaction::default().put(key, value))
            .expect("the table accepts the job");
        Self {
            table,
            runtime: Runtime::default(),
            owners: Vec::new(),
            config: config(),
            rng: StdRng::seed_from_u64(1),
            now_ms: 0,
            takeovers: 0,
        }
    }

    /// Lets a new entry claim the shard; the oldest of more than three owners crashes.
    fn takeover(&mut self) {
        self.takeovers += 1;
        let me = EntryId::from(format!("e{}", self.takeovers));
        let mut watch = LeaseWatch::new(1, 1_000);
        watch.observe(self.now_ms, &self.table.rows("shard/"));
        let (txn, row) = claim_transaction(&watch, SHARD, &me, address());
        let Ok(version) = self.table.commit_now(&txn) else {
            return;
        };
        let mut owner = Owner {
            shard: Shard::new(SHARD, row, version, self.now_ms),
            workers: Workers::default(),
            usage: TeamUsage::default(),
            kinds: Kinds::default(),
            is_unresolved: false,
        };
        (0..AGENTS).for_each(|index| owner.workers.on_heartbeat(&heartbeat(index)));
        let [jobs, tasks, cancels] = Shard::prefixes(SHARD).map(|prefix| self.table.rows(&prefix));
        owner.shard.load(&jobs, &tasks, &cancels, &mut owner.usage);
        self.owners.push(owner);
        if self.owners.len() > 3 {
            self.owners.remove(0);
        }
    }

    fn place(&mut self, nth: usize) {
        let Some(owner) = self.owners.get_mut(nth) else {
            return;
        };
        let mut placer = Placer {
            workers: &mut owner.workers,
            usage: &mut owner.usage,
            kinds: &owner.kinds,
            config: &self.config,
            order: PlacementOrder::ShortestFirst,
        };
        let limits = PlaceLimits { max_tasks: 2 };
        placer.place(self.now_ms, &mut [&mut owner.shard], limits, &mut self.rng);
    }

    /// Sends a commit, or finds the outcome of one whose answer was lost. An owner that has lost
    /// the shard is dropped.
    fn commit(&mut self, nth: usize) {
        let Some(owner) = self.owners.get_mut(nth) else {
            return;
        };
        if owner.is_unresolved {
            let rows = self.table.rows(&shard_key(SHARD));
            let plan = owner
                .shard
                .in_flight()
                .expect("an unresolved commit is in flight");
            match CommitPlan::resolve(plan, SHARD, rows.first()) {
                CommitOutcome::Committed(version) => self.apply_committed(nth, version),
                CommitOutcome::Resend => owner.is_unresolved = false,
                CommitOutcome::Lost => drop(self.owners.remove(nth)),
            }
            return;
        }
        let plan = match owner.shard.in_flight() {
            Some(plan) => Some(plan.clone()),
            None => owner.shard.next_commit(self.now_ms, 0, 5, 1).cloned(),
        };
        let Some(plan) = plan else { return };
        match self.table.commit_now(&plan.txn) {
            Ok(version) => self.apply_committed(nth, version),
            Err(StoreError::Unavailable(_)) => {}
            Err(_) => owner.is_unresolved = true,
        }
    }

    /// Records a commit as durable and carries out the effects that follow from it.
    fn apply_committed(&mut self, nth: usize, version: u64) {
        let owner = &mut self.owners[nth];
        owner.is_unresolved = false;
        let effects = owner.shard.on_committed(self.now_ms, version);
        self.carry_out(nth, effects);
    }

    fn carry_out(&mut self, nth: usize, effects: Vec<Effect>) {
        for effect in effects {
            match effect {
                Effect::Start(agent, order) => {
                    self.runtime.start(&agent, &order.attempt);
                    let owner = &mut self.owners[nth];
                    owner
                        .shard
                        .on_accepted(&agent, &order.attempt, &mut owner.workers);
                }
                Effect::Recover(agent, attempt) => {
                    let kind = self.runtime.stop(&attempt);
                    self.apply_end(nth, &agent, attempt, kind);
                }
                Effect::Stop(..) | Effect::Confirm(..) | Effect::JobEnded(_) => {}
            }
        }
    }

    /// Applies the end of an attempt to one owner, as if its agent had reported it.
    fn apply_end(&mut self, nth: usize, agent: &AgentId, attempt: AttemptRef, kind: EndKind) {
        let owner = &mut self.owners[nth];
        let end = AttemptEnd {
            attempt,
            kind,
            peak: Resources::default(),
            run_ms: 1,
        };
        let (workers, usage, kinds) = (&mut owner.workers, &mut owner.usage, &mut owner.kinds);
        owner
            .shard
            .on_end(self.now_ms, agent, &end, workers, usage, kinds);
    }

    /// Reports all ends that the runtime knows to one owner, from every agent.
    fn report(&mut self, nth: usize) {
        if nth >= self.owners.len() {
            return;
        }
        let ended: Vec<(AttemptRef, EndKind)> = self
            .runtime
            .ended
            .iter()
            .map(|(attempt, kind)| (attempt.clone(), *kind))
            .collect();
        for (attempt, kind) in ended {
            for index in 0..AGENTS {
                self.apply_end(
                    nth,
                    &AgentId::from(format!("w{index}")),
                    attempt.clone(),
                    kind,
                );
            }
        }
    }

    /// Lets one owner recover all attempts, as if no agent had sent heartbeats for long.
    fn recover(&mut self, nth: usize) {
        let Some(owner) = self.owners.get_mut(nth) else {
            return;
        };
        self.now_ms += 3_000;
        let effects = owner.shard.due_orders(self.now_ms, |_| Some(u64::MAX));
        self.carry_out(nth, effects);
    }

    fn run(&mut self, step: &Step) {
        self.now_ms += 10;
        match step {
            Step::Takeover => self.takeover(),
            Step::Place(nth) => self.place(*nth),
            Step::Commit(nth) => self.commit(*nth),
            Step::Finish(nth, succeeds) => {
                let kind = if *succeeds {
                    EndKind::Succeeded
                } else {
                    EndKind::Failed
                };
                self.runtime.finish(*nth, kind);
            }
            Step::Report(nth) => self.report(*nth),
            Step::Evict(nth) => self.runtime.finish(*nth, EndKind::Checkpointed),
            Step::Recover(nth) => self.recover(*nth),
        }
    }

    /// Lets owners without further failures bring the job to its end.
    fn finish(&mut self) -> JobSummary {
        for _ in 0..100 {
            self.takeover();
            if let Some(nth) = self.owners.len().checked_sub(1) {
                self.run_rounds(nth);
            }
            if let Some(row) = self.table.rows("done/").first() {
                return serde_json::from_str(&row.value).expect("a summary is JSON");
            }
        }
        panic!("the job does not end");
    }

    /// Takes one owner through ten rounds of placement, commits, orders and reports.
    fn run_rounds(&mut self, nth: usize) {
        for _ in 0..10 {
            if nth >= self.owners.len() {
                return;
            }
            self.now_ms += 3_000;
            self.place(nth);
            self.commit(nth);
            if nth >= self.owners.len() {
                return;
            }
            let effects = self.owners[nth].shard.due_orders(self.now_ms, |_| Some(0));
            self.carry_out(nth, effects);
            (0..TASKS as usize).for_each(|_| self.runtime.finish(0, EndKind::Succeeded));
            self.report(nth);
            self.end_refused_starts(nth);
            self.commit(nth);
        }
    }

    /// Stops all durably placed attempts and reports how they ended. An agent does the same after
    /// the runtime has refused to start an attempt.
    fn end_refused_starts(&mut self, nth: usize) {
        let placed: Vec<(AttemptRef, AgentId)> = self.owners[nth]
            .shard
            .jobs()
            .flat_map(|state| state.tasks.values())
            .filter(|tracked| tracked.is_durable)
            .filter_map(|tracked| match &tracked.record.state {
                model::TaskState::Placed(agent) => {
                    let (task, attempt) = (tracked.record.id.clone(), tracked.record.attempt);
                    Some((AttemptRef { task, attempt }, agent.clone()))
                }
                _ => None,
            })
            .collect();
        for (attempt, agent) in placed {
            let kind = self.runtime.stop(&attempt);
            self.apply_end(nth, &agent, attempt, kind);
        }
    }
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(300))]

    /// Guards against tasks that run in two places, run again after a success, or are lost. The
    /// danger comes from owners that were replaced without knowing it, from commits whose answers
    /// are lost, and from crashes between placement, start, report and recovery.
    #[test]
    fn every_task_succeeds_once_and_never_runs_twice_at_a_time(
        outcomes in prop::collection::vec(any_outcome(), 0..60),
        steps in prop::collection::vec(any_step(), 1..150),
    ) {
        let mut simulation = Simulation::new(outcomes);
        simulation.takeover();
        for step in &steps {
            simulation.run(step);
        }
        let status = simulation.finish().status;
        prop_assert_eq!(status.phase, JobPhase::Ended);
        prop_assert_eq!(status.succeeded, TASKS);
        prop_assert!(simulation.runtime.succeeded.values().all(|count| *count == 1));
        prop_assert_eq!(simulation.runtime.succeeded.len(), TASKS as usize);
        let _: &dyn TableStore = &simulation.table;
    }
}
