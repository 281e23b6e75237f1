//! Owners of one shard that crash, pause, lose answers and race, against a model of the table and
//! of the platform's runtime.

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

const SHARD: u16 = 0;
const TASKS: u32 = 6;
const AGENTS: usize = 3;

/// The platform's runtime: what runs, and the newest attempt of each task.
#[derive(Default)]
struct Runtime {
    running: BTreeMap<String, (AttemptRef, AgentId)>,
    newest: HashMap<String, u32>,
    ended: HashMap<AttemptRef, EndKind>,
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

    /// Stops an attempt for good and tells how it ended.
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

/// One owner, which may not know that it no longer is one.
struct Owner {
    shard: Shard,
    workers: Workers,
    usage: TeamUsage,
    kinds: Kinds,
    unsettled: bool,
}

#[derive(Debug, Clone)]
enum Step {
    Takeover,
    Place(usize),
    Commit(usize),
    Finish(usize, bool),
    Report(usize),
    Evict(usize),
    Recover(usize),
}

fn step() -> impl Strategy<Value = Step> {
    let owner = 0..3_usize;
    prop_oneof![
        1 => Just(Step::Takeover),
        4 => owner.clone().prop_map(Step::Place),
        5 => owner.clone().prop_map(Step::Commit),
        3 => (0..6_usize, prop::bool::weighted(0.8)).prop_map(|(nth, good)| Step::Finish(nth, good)),
        4 => owner.clone().prop_map(Step::Report),
        1 => (0..6_usize).prop_map(Step::Evict),
        2 => owner.prop_map(Step::Recover),
    ]
}

fn fate() -> impl Strategy<Value = ScriptedOutcome> {
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

fn beat(index: usize) -> Heartbeat {
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

struct World {
    table: MemoryTable,
    runtime: Runtime,
    owners: Vec<Owner>,
    config: Config,
    rng: StdRng,
    now_ms: u64,
    takeovers: usize,
}

impl World {
    fn new(fates: Vec<ScriptedOutcome>) -> Self {
        let table =
            MemoryTable::with_outcomes([ScriptedOutcome::Answered].into_iter().chain(fates));
        let (job, key) = (job(), batch::job_key(SHARD, "t.j"));
        let value = serde_json::to_string(&job).expect("a job is JSON");
        table
            .commit_now(&Transaction::default().put(key, value))
            .expect("the table takes it");
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
            unsettled: false,
        };
        (0..AGENTS).for_each(|index| owner.workers.on_heartbeat(&beat(index)));
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

    /// Sends or settles a commit; an owner that has lost the shard goes away.
    fn commit(&mut self, nth: usize) {
        let Some(owner) = self.owners.get_mut(nth) else {
            return;
        };
        if owner.unsettled {
            let rows = self.table.rows(&shard_key(SHARD));
            let plan = owner.shard.in_flight().expect("it is in flight");
            match CommitPlan::resolve(plan, SHARD, rows.first()) {
                CommitOutcome::Committed(version) => self.committed(nth, version),
                CommitOutcome::Resend => owner.unsettled = false,
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
            Ok(version) => self.committed(nth, version),
            Err(StoreError::Unavailable(_)) => {}
            Err(_) => owner.unsettled = true,
        }
    }

    fn committed(&mut self, nth: usize, version: u64) {
        let owner = &mut self.owners[nth];
        owner.unsettled = false;
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
                    self.end(nth, &agent, attempt, kind);
                }
                Effect::Stop(..) | Effect::Confirm(..) | Effect::JobEnded(_) => {}
            }
        }
    }

    fn end(&mut self, nth: usize, agent: &AgentId, attempt: AttemptRef, kind: EndKind) {
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

    /// Every agent tells one owner all ends that the runtime knows.
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
                self.end(
                    nth,
                    &AgentId::from(format!("w{index}")),
                    attempt.clone(),
                    kind,
                );
            }
        }
    }

    /// One owner believes that every agent is gone.
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
            Step::Finish(nth, good) => {
                let kind = if *good {
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

    /// A last owner, with nothing failing any more, brings the job to its end.
    fn finish(&mut self) -> JobSummary {
        for _ in 0..100 {
            self.takeover();
            if let Some(nth) = self.owners.len().checked_sub(1) {
                self.drive(nth);
            }
            if let Some(row) = self.table.rows("done/").first() {
                return serde_json::from_str(&row.value).expect("a summary is JSON");
            }
        }
        panic!("the job does not end");
    }

    fn drive(&mut self, nth: usize) {
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
            self.settle_lost_starts(nth);
            self.commit(nth);
        }
    }

    /// An agent that is ordered to start a fenced attempt reports its true end.
    fn settle_lost_starts(&mut self, nth: usize) {
        let placed: Vec<(AttemptRef, AgentId)> = self.owners[nth]
            .shard
            .jobs()
            .flat_map(|state| state.tasks.values())
            .filter(|view| view.durable)
            .filter_map(|view| match &view.record.state {
                model::TaskState::Placed(agent) => {
                    let (task, attempt) = (view.record.id.clone(), view.record.attempt);
                    Some((AttemptRef { task, attempt }, agent.clone()))
                }
                _ => None,
            })
            .collect();
        for (attempt, agent) in placed {
            let kind = self.runtime.stop(&attempt);
            self.end(nth, &agent, attempt, kind);
        }
    }
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(300))]

    #[test]
    fn every_task_succeeds_once_and_never_runs_twice_at_a_time(
        fates in prop::collection::vec(fate(), 0..60),
        steps in prop::collection::vec(step(), 1..150),
    ) {
        let mut world = World::new(fates);
        world.takeover();
        for step in &steps {
            world.run(step);
        }
        let status = world.finish().status;
        prop_assert_eq!(status.phase, JobPhase::Ended);
        prop_assert_eq!(status.succeeded, TASKS);
        prop_assert!(world.runtime.succeeded.values().all(|count| *count == 1));
        prop_assert_eq!(world.runtime.succeeded.len(), TASKS as usize);
        let _: &dyn TableStore = &world.table;
    }
}
