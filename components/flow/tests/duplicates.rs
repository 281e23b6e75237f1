//! When duplicates of slow runs start, in virtual time. The simulation checks at every step that a task
//! runs on two workers at most, that steps run in order, and that capacity and `max_per_worker` are kept.

mod common;

use common::slow_pool::{RUN_MS, TASKS, WORKERS, assert_completes, count, duplicable, slow_pool};
use common::{Mode, step};
use flow::{StepSpec, TaskKey};

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
            sim.set_policies(flow::Policies::default());
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
