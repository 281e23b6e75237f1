//! Workers that are kept free for tasks that may crash them, in virtual time: only for tasks that
//! may run there, and never so many that other flows wait.

mod common;

use common::{Mode, STEP_MS, Sim, step};
use flow::{FlowPhase, StepSpec, TaskKey};
use model::{AgentId, JobId};
use proptest::prelude::*;

/// Time after the start of a run within which a crash of its worker makes its task a suspect, in
/// milliseconds, with a margin.
const SOON_MS: u64 = 200;
/// Longest time for which a flow may have nothing running while most of its pool is free, in
/// milliseconds, by the platform's pages.
const MAX_IDLE_MS: u64 = 3_000;
/// Longest time after its last run until a long-running task runs again, in milliseconds, by the
/// platform's pages.
const MAX_RESTART_MS: u64 = 6_000;

fn agent(number: usize) -> AgentId {
    format!("w{number}").into()
}

/// Sets the kind of a worker, which is its first label.
fn set_kind(sim: &mut Sim, number: usize, kind: &str) {
    sim.workers.get_mut(&agent(number)).unwrap().labels[0] = kind.to_owned();
}

/// Step of tasks that only run on workers of this kind.
fn step_on(kind: &str, tasks: u32, processors_milli: u32, estimate_ms: u64) -> StepSpec {
    StepSpec {
        label: Some(kind.to_owned()),
        ..step(tasks, processors_milli, estimate_ms)
    }
}

/// Crashes a worker that does not come back.
fn lose(sim: &mut Sim, number: usize) {
    sim.crash_for_a_while(&agent(number));
    sim.run_for(100);
    sim.workers.get_mut(&agent(number)).unwrap().mode = Mode::Partitioned;
}

/// Runs until a run of the flow is in progress.
fn run_until_started(sim: &mut Sim, job: &JobId) {
    for _ in 0..100 {
        if sim.running(job) > 0 {
            return;
        }
        sim.step();
    }
    panic!("{job} does not start");
}

/// Number of workers that are kept free for tasks that wait.
fn held(sim: &Sim) -> usize {
    let held = sim.scheduler.workers().filter(|(_, view)| {
        let hold = view.hold.as_ref();
        hold.is_some_and(|hold| sim.now_ms < hold.until_ms)
    });
    held.count()
}

/// Asserts that no worker is kept free for a task that waits and may not run there.
fn assert_holds_are_useful(sim: &Sim) {
    for (agent, view) in sim.scheduler.workers() {
        let hold = view.hold.as_ref();
        let Some(hold) = hold.filter(|hold| sim.now_ms < hold.until_ms) else {
            continue;
        };
        let is_queued = |key: &&TaskKey| {
            let flow = sim.scheduler.flow(&key.job);
            let task = flow.and_then(|flow| flow.task(key));
            task.is_some_and(|task| task.placement.is_none())
        };
        for key in hold.tasks.iter().filter(is_queued) {
            let spec = &sim.jobs[&key.job].spec.steps[key.step as usize];
            let labels = &sim.workers[agent].labels;
            let has_label = spec
                .label
                .as_ref()
                .is_none_or(|label| labels.contains(label));
            assert!(has_label, "{agent} is held for {key}");
            let siblings = view.count_step_runs(&key.job, key.occurrence, key.step);
            let limit = spec.max_per_worker.unwrap_or(u32::MAX);
            assert!(siblings < limit, "{agent} is held for {key}");
        }
    }
}

/// Guards against workers that are kept free for suspects that may not run there: the only worker
/// of a kind was lost under 24 tasks, and a flow without special needs never started on the others.
#[test]
fn the_loss_of_the_only_worker_of_a_kind_stops_no_other_flow() {
    let mut sim = Sim::new(11);
    set_kind(&mut sim, 10, "b");
    let bound = sim.submit("bound", vec![step_on("b", 24, 600, 850)]);
    run_until_started(&mut sim, &bound);
    sim.run_for(SOON_MS);
    lose(&mut sim, 10);
    for number in 0..10 {
        sim.run_for(1_000);
        let job = sim.submit(&format!("f{number}"), vec![step(6, 960, 850)]);
        run_until_started(&mut sim, &job);
        assert_eq!(held(&sim), 0);
    }
    sim.run_for(MAX_IDLE_MS);
    assert_eq!(sim.completed(), 10, "{:?}", sim.ended_ms);
}

/// Submits a flow to the workers of kind b, eight in a second.
fn submit_load(sim: &mut Sim, number: usize) {
    sim.submit(&format!("f{number:03}"), vec![step_on("b", 2, 960, 850)]);
    sim.run_for(120);
}

/// Whether a worker has a run of a flow in progress.
fn runs(sim: &Sim, number: usize, job: &JobId) -> bool {
    let view = sim.scheduler.worker(&agent(number));
    view.is_some_and(|view| view.allocations.keys().any(|key| key.job == *job))
}

/// Guards against a suspect that waits for ever because workers are kept free on which it may not
/// run, while those on which it may run get new runs all the time.
#[test]
fn a_long_running_task_starts_again_among_new_runs_on_the_workers_of_its_kind() {
    let mut sim = Sim::new(11);
    for number in 8..11 {
        set_kind(&mut sim, number, "b");
    }
    for number in 0..10 {
        submit_load(&mut sim, number);
    }
    let mut lasting = step_on("b", 1, 960, 850);
    lasting.long_running = true;
    let lasting = sim.submit("lasting", vec![lasting]);
    run_until_started(&mut sim, &lasting);
    let on_it = (8..11).find(|number| runs(&sim, *number, &lasting));
    sim.run_for(SOON_MS);
    lose(&mut sim, on_it.unwrap());
    let lost_ms = sim.now_ms;
    for number in 10..160 {
        submit_load(&mut sim, number);
        assert_holds_are_useful(&sim);
        if sim.now_ms >= lost_ms + MAX_RESTART_MS {
            assert_eq!(
                sim.running(&lasting),
                1,
                "{} ms later",
                sim.now_ms - lost_ms
            );
        }
    }
    sim.run_for(2_000);
    assert_eq!(sim.completed(), 160);
}

/// Guards against suspects that keep so many workers free that other flows wait: while 60 of them
/// wait in a busy pool, at least half of its workers accept other runs.
#[test]
fn many_suspects_keep_at_most_half_of_a_pool_free() {
    let mut sim = Sim::new(10);
    let wide = sim.submit("wide", vec![step(60, 1_000, 900)]);
    run_until_started(&mut sim, &wide);
    sim.run_for(SOON_MS);
    for number in 0..4 {
        sim.crash_for_a_while(&agent(number));
    }
    for number in 0..60 {
        let job = sim.submit(&format!("f{number:02}"), vec![step(3, 1_000, 700)]);
        for _ in 0..5 {
            sim.step();
            assert!(held(&sim) <= 5, "{} workers are held", held(&sim));
            assert_holds_are_useful(&sim);
        }
        run_until_started(&mut sim, &job);
    }
    assert!(sim.run_until_ended(5_000), "{:?}", sim.ended_ms);
}

/// Guards against a pool of a single worker in which nothing but suspects starts, or in which they
/// never start.
#[test]
fn suspects_and_other_flows_take_turns_on_a_single_worker() {
    let mut sim = Sim::new(1);
    let suspects: Vec<JobId> = (0..24)
        .map(|number| sim.submit(&format!("s{number:02}"), vec![step(1, 500, 900)]))
        .collect();
    run_until_started(&mut sim, &suspects[23]);
    sim.run_for(SOON_MS);
    sim.crash_for_a_while(&agent(0));
    sim.run_for(3_200);
    for number in 0..40 {
        let submitted_ms = sim.now_ms;
        let job = sim.submit(&format!("f{number:02}"), vec![step(1, 500, 300)]);
        run_until_started(&mut sim, &job);
        assert!(sim.now_ms - submitted_ms <= 1_500, "{job} waited too long");
        sim.run_for(100);
    }
    assert!(sim.run_until_ended(5_000), "{:?}", sim.ended_ms);
}

/// What a random flow asks for.
#[derive(Debug, Clone, Copy)]
struct Wish {
    /// Number of tasks.
    tasks: u32,
    /// Declared run time, in milliseconds.
    run_ms: u64,
    /// Kind of worker; none if 0.
    kind: usize,
    /// Greatest number of tasks of a step on one worker; no limit if 0.
    max_per_worker: u32,
    /// Whether the tasks run until the flow is cancelled.
    long_running: bool,
}

/// Kinds of workers; the last one is the kind of a single worker.
const KINDS: [&str; 3] = ["a", "b", "c"];

fn wish() -> impl Strategy<Value = Wish> {
    let long_running = prop::bool::weighted(0.1);
    (1_u32..8, 5_u64..12, 0_usize..5, 0_u32..3, long_running).prop_map(
        |(tasks, run, kind, max_per_worker, long_running)| Wish {
            tasks,
            run_ms: run * 100,
            kind,
            max_per_worker,
            long_running,
        },
    )
}

/// A flow and a crash that may follow its start.
type Round = (Wish, Option<(usize, u64, bool)>);

fn round() -> impl Strategy<Value = Round> {
    let crash = (0_usize..8, 0_u64..19, prop::bool::weighted(0.15));
    (wish(), prop::option::weighted(0.5, crash))
}

fn submit(sim: &mut Sim, id: &str, wish: Wish) {
    let mut spec = step(wish.tasks, 900, wish.run_ms);
    spec.label = KINDS
        .get(wish.kind.wrapping_sub(1))
        .map(|kind| (*kind).to_owned());
    spec.max_per_worker = Some(wish.max_per_worker).filter(|limit| *limit > 0);
    spec.long_running = wish.long_running;
    sim.submit(id, vec![spec]);
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 100, ..ProptestConfig::default() })]

    /// Guards against flows without special needs that wait because workers are kept free, whatever
    /// the other flows ask for and however workers crash under their new runs.
    #[test]
    fn a_flow_without_special_needs_always_goes_on(rounds in prop::collection::vec(round(), 1..30)) {
        let mut sim = Sim::new(8);
        for number in [2, 4, 6] {
            set_kind(&mut sim, number, "b");
        }
        set_kind(&mut sim, 7, "c");
        let mut lost = 0;
        for (number, (wish, crash)) in rounds.iter().enumerate() {
            submit(&mut sim, &format!("m{number:02}"), *wish);
            let plain = sim.submit(&format!("plain{number:02}"), vec![step(1, 500, 500)]);
            let (crash_in, span) = match crash {
                Some((worker, steps, is_lost)) => (Some((*worker, *is_lost)), 60 + steps * 20),
                None => (None, 200),
            };
            sim.run_for(span);
            if let Some((worker, is_lost)) = crash_in {
                if is_lost && lost < 3 {
                    lost += 1;
                    lose(&mut sim, worker);
                } else {
                    sim.crash_for_a_while(&agent(worker));
                }
            }
            assert_holds_are_useful(&sim);
            let mut idle_ms = 0;
            while !sim.ended_ms.contains_key(&plain) && sim.running(&plain) == 0 {
                sim.step();
                assert_holds_are_useful(&sim);
                let up = sim.scheduler.workers().filter(|(_, view)| view.is_synced());
                idle_ms = if up.count() >= 3 { idle_ms + STEP_MS } else { 0 };
                prop_assert!(idle_ms <= MAX_IDLE_MS, "{} waits", plain);
            }
        }
        sim.run_for(12_000);
        for (job, (_, phase)) in &sim.ended_ms {
            let is_allowed = *phase == FlowPhase::Completed || sim.may_be_given_up(job);
            prop_assert!(is_allowed, "{} is {}", job, phase);
        }
        let plain = sim.jobs.keys().filter(|job| job.to_string().starts_with("plain"));
        for job in plain {
            prop_assert!(sim.ended_ms.contains_key(job), "{} has not ended", job);
        }
    }
}

/// Key of the first task of a flow's only step.
fn first_task(job: &JobId) -> TaskKey {
    TaskKey {
        job: job.clone(),
        occurrence: 0,
        step: 0,
        index: 0,
    }
}

/// Guards against a deadly task that is kept from its isolated start, and so from its end, by the
/// runs of other flows on the few workers on which it may run.
#[test]
fn a_deadly_task_of_a_kind_ends_among_new_runs() {
    let mut sim = Sim::new(9);
    for number in 6..9 {
        set_kind(&mut sim, number, "b");
    }
    let job = sim.submit("deadly", vec![step_on("b", 1, 960, 850)]);
    sim.deadly.insert(first_task(&job));
    for number in 0..150 {
        sim.submit(&format!("f{number:03}"), vec![step_on("b", 1, 960, 400)]);
        sim.run_for(120);
    }
    sim.run_for(5_000);
    let phase = sim.ended_ms.get(&job).map(|(_, phase)| *phase);
    assert_eq!(phase, Some(FlowPhase::Failed));
    assert!(sim.crashes.values().all(|crashes| *crashes <= 5));
    assert_eq!(sim.completed(), 150);
}
