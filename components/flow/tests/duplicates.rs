//! Duplicates of slow runs in virtual time. The simulation checks at every step that a task runs on two
//! workers at most, that steps run in order, and that capacity and `max_per_worker` are kept.

mod common;

use common::{LEASE_TERMS, Mode, Sim, step};
use flow::{FlowPhase, Placement, RunEnd, StepSpec, TaskKey};
use model::{AgentId, JobId};

/// Longest time for which a flow may have nothing running while most of its pool is free, in
/// milliseconds, by the platform's pages.
const MAX_IDLE_MS: u64 = 3_000;
/// Number of tasks of the step; one runs on each worker.
const TASKS: u32 = 4;
/// Number of workers; the last one has nothing to run but duplicates.
const WORKERS: u32 = TASKS + 1;
/// Time within which a task of the step ends on a usual worker, in milliseconds.
const RUN_MS: u64 = 1_000;

/// A step that allows duplicates.
fn duplicable() -> StepSpec {
    StepSpec {
        duplicates_allowed: true,
        ..step(TASKS, 2_000, RUN_MS)
    }
}

/// A pool of which the first worker takes seven times as long as the others.
fn slow_pool() -> Sim {
    let mut sim = Sim::new(WORKERS as usize);
    sim.slow_workers.insert("w0".into(), 7);
    sim.allow_duplicates();
    sim
}

/// A pool in which the run on the slow worker has got a duplicate that has just started, the flow, the
/// task, and the agent of the duplicate's worker.
fn with_duplicate(spec: StepSpec) -> (Sim, JobId, TaskKey, AgentId) {
    let mut sim = slow_pool();
    let job = sim.submit("slow", vec![spec]);
    while sim.starts.get(&job) != Some(&(TASKS + 1)) {
        sim.step();
        assert!(sim.now_ms < 3_000, "no duplicate was started");
    }
    let flow = sim.scheduler.flow(&job).unwrap();
    let (key, task) = (flow.tasks())
        .find(|(_, task)| task.duplicate.is_some())
        .unwrap();
    let agents: Vec<AgentId> = task.placements().map(|run| run.agent.clone()).collect();
    assert_eq!(agents[0], AgentId::from("w0"));
    assert_ne!(agents[1], agents[0]);
    (sim, job, key, agents[1].clone())
}

/// Placements of a task, its own first.
fn placements(sim: &Sim, key: &TaskKey) -> Vec<Placement> {
    let task = sim.scheduler.flow(&key.job).and_then(|flow| flow.task(key));
    task.map_or(Vec::new(), |task| task.placements().cloned().collect())
}

/// Number of duplicates with this outcome.
fn count(sim: &Sim, outcome: &str) -> u32 {
    sim.duplicate_outcomes.get(outcome).copied().unwrap_or(0)
}

/// Lets a flow complete, and checks that it took at most `starts` starts and leaves nothing.
fn assert_completes(sim: &mut Sim, job: &JobId, starts: u32) {
    assert!(sim.run_until_ended(30_000), "{job} has not ended");
    assert_eq!(sim.ended_ms[job].1, FlowPhase::Completed);
    assert_eq!(sim.starts[job], starts, "starts of {job}");
    sim.run_for(1_000);
    assert_nothing_is_left(sim);
}

fn assert_nothing_is_left(sim: &Sim) {
    for (agent, view) in sim.scheduler.workers() {
        assert_eq!(sim.run_count(agent.as_str()), 0, "runs on {agent}");
        assert!(view.allocations.is_empty(), "allocations on {agent}");
    }
}

/// Guards against a step that waits for a slow run although a second one would end much earlier.
#[test]
fn the_duplicate_of_a_slow_run_ends_its_step() {
    let mut sim = slow_pool();
    let job = sim.submit("slow", vec![duplicable()]);
    assert_completes(&mut sim, &job, TASKS + 1);
    let took_ms = sim.ended_ms[&job].0 - 1_000;
    assert!(took_ms < 2 * RUN_MS, "it took {took_ms} ms");
    assert_eq!((count(&sim, "started"), count(&sim, "won")), (1, 1));
    assert_eq!((count(&sim, "lost"), count(&sim, "stopped")), (0, 0));
}

/// Guards against duplicates that no one asked for: of a deployment, of a step, or of a kind of step that
/// can't have any.
#[test]
fn nothing_is_duplicated_unless_deployment_and_step_allow_it() {
    let gang = StepSpec {
        gang: true,
        ..duplicable()
    };
    let filler = StepSpec {
        filler: true,
        ..duplicable()
    };
    let forbidden = step(TASKS, 2_000, RUN_MS);
    let cases = [
        (false, duplicable()),
        (true, forbidden),
        (true, gang),
        (true, filler),
    ];
    for (is_on, spec) in cases {
        let mut sim = slow_pool();
        if !is_on {
            sim.duplicates = false;
            sim.scheduler.set_policies(flow::Policies::default());
        }
        let job = sim.submit("slow", vec![spec]);
        assert_completes(&mut sim, &job, TASKS);
        assert!(sim.duplicate_outcomes.is_empty());
    }
}

/// Guards against duplicates of runs that only take longer than declared, as all of their step do.
#[test]
fn tasks_whose_declared_run_time_is_wrong_get_no_duplicates() {
    for declared_ms in [100, 300] {
        let mut sim = slow_pool();
        sim.slow_workers.clear();
        sim.run_ms.insert("long".to_owned(), RUN_MS);
        let spec = StepSpec {
            image: Some("long".to_owned()),
            estimate_ms: declared_ms,
            ..duplicable()
        };
        let job = sim.submit("long", vec![spec]);
        assert_completes(&mut sim, &job, TASKS);
    }
}

/// Guards against duplicates that take room from queued tasks of the same priority, and against a slow
/// run that gets none once the queue is empty.
#[test]
fn a_duplicate_waits_until_no_task_is_queued() {
    let mut sim = slow_pool();
    let job = sim.submit("slow", vec![duplicable()]);
    sim.run_for(100);
    let large = step(2 * WORKERS, 13_000, 400);
    let other = sim.submit("other", vec![large]);
    sim.run_for(700);
    assert_eq!(sim.starts[&job], TASKS, "tasks of the other flow wait");
    assert!(sim.starts[&other] < 2 * WORKERS);
    assert_completes(&mut sim, &job, TASKS + 1);
}

/// Guards against duplicates that use up the room that is left: of many slow runs only as many get one
/// as take a tenth of the pool, and a quarter of what is free of it while the others run.
#[test]
fn the_number_of_duplicates_is_bounded_by_the_room() {
    let mut sim = slow_pool();
    sim.slow_workers.insert("w1".into(), 7);
    let spec = StepSpec {
        tasks: 64,
        need: model::Resources::new(1_000, 100, 0),
        ..duplicable()
    };
    let job = sim.submit("many", vec![spec]);
    let (mut most, mut most_beside_others) = (0, 0);
    while !sim.ended_ms.contains_key(&job) {
        sim.step();
        let flow = sim.scheduler.flow(&job);
        let tasks = flow.into_iter().flat_map(flow::FlowState::tasks);
        let count = tasks.filter(|(_, task)| task.duplicate.is_some()).count();
        most = most.max(count);
        if sim.now_ms < 1_000 + RUN_MS {
            most_beside_others = most;
        }
    }
    // Five workers have 80 processors, of which the 64 tasks leave 16.
    assert!((1..=8).contains(&most), "{most} duplicates at once");
    assert!(
        (1..=4).contains(&most_beside_others),
        "{most_beside_others} at once"
    );
}

/// Guards against a run that is lost, started a third time or forgotten when another scheduler takes
/// over while both runs are in progress.
#[test]
fn both_runs_go_on_after_a_takeover() {
    let (mut sim, job, key, agent) = with_duplicate(duplicable());
    let before = placements(&sim, &key);
    sim.take_over();
    let after = placements(&sim, &key);
    assert_eq!(after.len(), 2);
    for (before, after) in before.iter().zip(&after) {
        assert_eq!((before.run, &before.agent), (after.run, &after.agent));
    }
    sim.run_for(200);
    assert_eq!(placements(&sim, &key)[1].agent, agent);
    assert_completes(&mut sim, &job, TASKS + 1);
}

/// Guards against a third run while the duplicate may be in progress when a scheduler of a version
/// without duplicates takes over: it goes on with the duplicate, and stops the first run.
#[test]
fn a_former_version_goes_on_with_the_duplicate() {
    let (mut sim, job, key, agent) = with_duplicate(duplicable());
    sim.take_over_by_former_version();
    sim.run_for(200);
    let placed = placements(&sim, &key);
    assert_eq!(
        (placed.len(), &placed[0].agent, placed[0].run),
        (1, &agent, 2)
    );
    assert_eq!(sim.run_count("w0"), 0, "the first run is stopped");
    assert_completes(&mut sim, &job, TASKS + 1);
}

/// Guards against a third run as above when a worker can't be reached: the former version waits until
/// the duplicate is known to have ended.
#[test]
fn a_former_version_starts_nothing_while_the_duplicate_may_run() {
    for cut_off in ["w0", "w4"] {
        let (mut sim, job, key, agent) = with_duplicate(duplicable());
        assert_eq!(agent.as_str(), "w4");
        sim.workers.get_mut(&cut_off.into()).unwrap().mode = Mode::Mute;
        sim.take_over_by_former_version();
        while sim.starts[&job] == TASKS + 1 && !sim.ended_ms.contains_key(&job) {
            sim.step();
        }
        let may_run = sim.workers[&agent].has_run(&key);
        assert!(!may_run, "the duplicate is in progress");
        assert!(sim.run_until_ended(30_000));
        assert_eq!(sim.ended_ms[&job].1, FlowPhase::Completed);
    }
}

/// Guards against a third run when the answer to a duplicate's start is lost, whether it was started or
/// not.
#[test]
fn a_duplicate_whose_start_answer_is_lost_is_found_or_given_up() {
    for is_executed in [true, false] {
        let mut sim = slow_pool();
        let job = sim.submit("slow", vec![duplicable()]);
        sim.run_for(100);
        sim.lose_starts = vec![is_executed];
        let starts = TASKS + u32::from(is_executed);
        assert_completes(&mut sim, &job, starts);
        assert_eq!(count(&sim, "started"), 1);
        assert_eq!(count(&sim, "won"), u32::from(is_executed));
        assert_eq!(count(&sim, "stopped"), u32::from(!is_executed));
    }
}

/// Guards against a third run, or a task that starts from scratch, when the worker of the first run
/// crashes: the duplicate takes its place.
#[test]
fn a_duplicate_takes_the_place_of_a_run_whose_worker_crashes() {
    let (mut sim, job, key, agent) = with_duplicate(duplicable());
    sim.crash(&"w0".into());
    sim.run_for(200);
    let placed = placements(&sim, &key);
    assert_eq!(
        (placed.len(), &placed[0].agent, placed[0].run),
        (1, &agent, 2)
    );
    assert_completes(&mut sim, &job, TASKS + 1);
    assert_eq!(count(&sim, "won"), 1);
}

/// Guards against a further duplicate, or a number that is used twice, after the worker of a duplicate
/// has crashed, also if the scheduler changes before the first run is lost too.
#[test]
fn the_first_run_goes_on_alone_when_the_duplicate_is_lost() {
    for takes_over in [false, true] {
        let (mut sim, job, key, agent) = with_duplicate(duplicable());
        sim.crash(&agent);
        sim.run_for(400);
        let placed = placements(&sim, &key);
        assert_eq!((placed.len(), placed[0].run), (1, 1));
        assert_eq!(count(&sim, "stopped"), 1);
        if takes_over {
            sim.take_over();
            sim.run_for(200);
        }
        sim.crash(&"w0".into());
        while placements(&sim, &key)
            .first()
            .is_none_or(|run| run.run == 1)
        {
            sim.step();
        }
        assert_eq!(placements(&sim, &key)[0].run, 3);
        assert!(sim.run_until_ended(30_000));
        assert_eq!(count(&sim, "started"), 1, "{job}");
        sim.run_for(1_000);
        assert_nothing_is_left(&sim);
    }
}

/// Guards against a third run while the first may still be in progress on a worker that can't be
/// reached, and against a flow that waits for that worker to show its result.
#[test]
fn the_duplicate_ends_its_step_while_the_first_worker_is_away() {
    for mode in [Mode::Partitioned, Mode::Mute] {
        let (mut sim, job, key, _) = with_duplicate(duplicable());
        sim.workers.get_mut(&"w0".into()).unwrap().mode = mode;
        sim.run_for(2 * RUN_MS);
        assert_eq!(sim.scheduler.phase(&job), Some(FlowPhase::Completed));
        let left = placements(&sim, &key);
        assert_eq!((left.len(), left[0].run), (1, 1), "it may still run");
        assert!(sim.run_until_ended(LEASE_TERMS.longest_ms() + MAX_IDLE_MS));
        assert_eq!(sim.starts[&job], TASKS + 1);
    }
}

/// Guards against a task that is started again while its duplicate may run on a worker that can't be
/// reached, and against one that never ends because of that.
#[test]
fn the_first_run_ends_its_step_while_the_duplicate_is_away() {
    let (mut sim, job, _, agent) = with_duplicate(duplicable());
    sim.workers.get_mut(&agent).unwrap().mode = Mode::Mute;
    assert!(sim.run_until_ended(20_000));
    assert_eq!(sim.starts[&job], TASKS + 1);
    assert_eq!(sim.ended_ms[&job].1, FlowPhase::Completed);
}

/// Guards against runs of a cancelled flow that stay.
#[test]
fn both_runs_of_a_cancelled_flow_are_stopped() {
    let (mut sim, job, _, _) = with_duplicate(duplicable());
    sim.cancel(&job);
    assert!(sim.run_until_ended(2_000));
    assert_eq!(sim.ended_ms[&job].1, FlowPhase::Cancelled);
    assert_nothing_is_left(&sim);
    assert_eq!((count(&sim, "started"), count(&sim, "stopped")), (1, 1));
}

/// Guards against resources that are given away while the run that lost still uses them, and against a
/// flow that ends before that run is known to have ended.
#[test]
fn the_other_run_counts_as_placed_until_its_end_is_known() {
    let (mut sim, job, key, agent) = with_duplicate(duplicable());
    // The first run overtakes its duplicate.
    sim.slow_workers = [(agent.clone(), 20)].into();
    sim.stops_are_lost = true;
    while count(&sim, "lost") == 0 {
        sim.step();
    }
    sim.run_for(1_000);
    assert!(!sim.ended_ms.contains_key(&job));
    assert_eq!(sim.scheduler.phase(&job), Some(FlowPhase::Completed));
    let view = sim.scheduler.worker(&agent).unwrap();
    assert!(view.allocations.contains_key(&key));
    sim.stops_are_lost = false;
    assert_completes(&mut sim, &job, TASKS + 1);
}

/// Guards against a failed run that counts twice toward the limit of attempts, or not at all, and
/// against a duplicate that is given up because the first run failed.
#[test]
fn a_failed_run_counts_once_and_its_duplicate_goes_on() {
    let (mut sim, job, key, agent) = with_duplicate(duplicable());
    sim.workers.get_mut(&"w0".into()).unwrap().mode = Mode::FailsAll;
    sim.run_for(200);
    let placed = placements(&sim, &key);
    assert_eq!((placed.len(), &placed[0].agent), (1, &agent));
    let failures = |sim: &Sim| {
        sim.scheduler
            .flow(&job)
            .unwrap()
            .task(&key)
            .unwrap()
            .failures
    };
    assert_eq!(failures(&sim), 1);
    sim.workers.get_mut(&"w0".into()).unwrap().mode = Mode::Healthy;
    sim.workers.get_mut(&agent).unwrap().mode = Mode::FailsAll;
    sim.run_for(120);
    assert_eq!(failures(&sim), 2);
    sim.workers.get_mut(&agent).unwrap().mode = Mode::Healthy;
    assert_completes(&mut sim, &job, TASKS + 2);
}

/// Guards against a duplicate of a task that has failed before, however slow its next run is.
#[test]
fn a_task_that_has_failed_gets_no_duplicate() {
    let mut sim = slow_pool();
    sim.slow_workers = (0..WORKERS)
        .map(|number| (format!("w{number}").into(), 7))
        .collect();
    let spec = StepSpec {
        tasks: 1,
        ..duplicable()
    };
    for worker in sim.workers.values_mut() {
        worker.mode = Mode::FailsAll;
    }
    let job = sim.submit("failed", vec![spec]);
    while sim.starts.get(&job) != Some(&2) {
        sim.step();
    }
    for worker in sim.workers.values_mut() {
        worker.mode = Mode::Healthy;
    }
    assert_completes(&mut sim, &job, 2);
    assert_eq!(count(&sim, "started"), 0);
}

/// Guards against more failed runs than a queue allows: where it allows one, a run and its duplicate
/// might both fail.
#[test]
fn nothing_is_duplicated_where_one_failed_run_fails_the_flow() {
    let mut sim = slow_pool();
    let mut config = common::config();
    config.version += 1;
    config.queues[0].max_attempts = 1;
    sim.scheduler.set_config(config);
    let job = sim.submit("once", vec![duplicable()]);
    assert_completes(&mut sim, &job, TASKS);
}

/// Guards against a late success of the first run that is lost, or counted as an orphan's, after the
/// duplicate has won.
#[test]
fn a_success_of_the_other_run_changes_nothing() {
    let (mut sim, job, _, agent) = with_duplicate(duplicable());
    sim.stops_are_lost = true;
    while count(&sim, "won") == 0 {
        sim.step();
    }
    sim.report_end(&agent, &job, 0, RunEnd::Done);
    sim.run_for(10_000);
    assert_eq!(sim.starts[&job], TASKS + 1);
    assert_eq!(sim.ended_ms[&job].1, FlowPhase::Completed);
    assert_nothing_is_left(&sim);
}

/// Guards against duplicates that go on to take capacity where tasks are slow by nature, so that none
/// ever wins.
#[test]
fn few_duplicates_start_where_none_wins() {
    /// Flows with one slow task each; eight duplicates have to show that they are of no use.
    const FLOWS: u32 = 24;
    let mut sim = slow_pool();
    sim.slow_workers.clear();
    for number in 0..FLOWS {
        let job = sim.submit(&format!("f{number}"), vec![duplicable()]);
        let slow = TaskKey {
            job: job.clone(),
            occurrence: 0,
            step: 0,
            index: 0,
        };
        sim.slow_tasks.insert(slow, 7);
        sim.run_for(2 * RUN_MS);
    }
    assert!(sim.run_until_ended(60_000));
    assert_eq!(count(&sim, "won"), 0);
    let started = count(&sim, "started");
    assert!((8..FLOWS).contains(&started), "{started} of {FLOWS}");
}

/// Guards against more tasks of a step on a worker than it allows, duplicates included.
#[test]
fn a_duplicate_keeps_the_limit_per_worker() {
    let spec = StepSpec {
        max_per_worker: Some(1),
        ..duplicable()
    };
    let mut sim = slow_pool();
    let job = sim.submit("spread", vec![spec]);
    assert_completes(&mut sim, &job, TASKS + 1);
}
