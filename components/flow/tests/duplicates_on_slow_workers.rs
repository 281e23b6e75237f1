//! Duplicates of runs that are slow because of their workers, whose speeds are learned.

mod common;

use common::slow_pool::{RUN_MS, count};
use common::{Sim, step};
use flow::{Policies, StepSpec, TaskKey};
use model::JobId;

/// Number of workers.
const WORKERS: u32 = 5;
/// Speed of a slow worker, in percent.
const SLOW_PERCENT: u64 = 20;
/// Run time of a long task on a worker of normal speed, in milliseconds.
const LONG_MS: u64 = 4 * RUN_MS;

const LEARNING: Policies = Policies {
    evacuation_bound_ms: None,
    learned_run_times: true,
    overload_order: false,
    duplicates: true,
    remote_factor: None,
    fair_shares: None,
    preemption: false,
    damped_pacing: false,
};

/// A pool with these slow workers, on which runs of several jobs have shown their speeds; without the
/// policy nothing is learned of them.
fn pool_with_slow(slow: &[&str], policies: Policies) -> Sim {
    let mut sim = Sim::new(WORKERS as usize);
    let is_learned = policies.learned_run_times;
    sim.set_policies(policies);
    submit_short(&mut sim, "usual", 20);
    for (agent, worker) in &mut sim.workers {
        match slow.contains(&agent.as_str()) {
            true => worker.speed_percent = SLOW_PERCENT,
            false => {
                worker.labels[0] = "usual".to_owned();
                worker.domain = "usual".into();
            }
        }
    }
    submit_short(&mut sim, "shown", 30);
    assert!(sim.run_until_ended(30_000));
    let known = match is_learned {
        true => slow.len(),
        false => 0,
    };
    assert_eq!(sim.scheduler.learned().slow_workers, known);
    sim
}

fn submit_short(sim: &mut Sim, prefix: &str, flows: u32) {
    for number in 0..flows {
        sim.submit(&format!("{prefix}{number:02}"), vec![step(10, 1_000, 800)]);
        sim.run_for(300);
    }
}

/// Submits a flow of long tasks while all workers but the first `slow` ones are full for `full_ms`, so that
/// its runs start on these.
fn submit_on_slow(sim: &mut Sim, slow: u32, tasks: u32, full_ms: u64) -> JobId {
    let filling = StepSpec {
        label: Some("usual".to_owned()),
        ..step(WORKERS - slow, 15_000, full_ms)
    };
    sim.submit("filling", vec![filling]);
    sim.run_for(60);
    let spec = StepSpec {
        duplicates_allowed: true,
        ..step(tasks, 2_000, LONG_MS)
    };
    let job = sim.submit("long", vec![spec]);
    sim.run_for(100);
    let flow = sim.scheduler.flow(&job).unwrap();
    for (_, task) in flow.tasks() {
        let agent = &task.placement.as_ref().unwrap().agent;
        let number: u32 = agent.as_str()[1..].parse().unwrap();
        assert!(number < slow, "a task started on {agent}");
    }
    job
}

fn task_key(job: &JobId, index: u32) -> TaskKey {
    TaskKey {
        job: job.clone(),
        occurrence: 0,
        step: 0,
        index,
    }
}

/// Lets time pass until a task of a flow has a duplicate, and returns how long it took.
fn wait_for_duplicate(sim: &mut Sim, job: &JobId, index: u32) -> u64 {
    let key = task_key(job, index);
    let began_ms = sim.now_ms;
    loop {
        let flow = sim.scheduler.flow(job).expect("the flow has not ended");
        if flow.task(&key).is_some_and(|task| task.duplicate.is_some()) {
            return sim.now_ms - began_ms;
        }
        sim.step();
    }
}

/// Guards against a run that has to show once more that its worker is slow before it gets a duplicate, and against
/// learned speeds that count although the policy is off.
#[test]
fn a_run_on_a_worker_that_is_known_as_slow_gets_a_duplicate_sooner() {
    let not_learning = Policies {
        learned_run_times: false,
        ..LEARNING
    };
    let took_ms = |policies, switched_to| {
        let mut sim = pool_with_slow(&["w0"], policies);
        sim.set_policies(switched_to);
        let job = submit_on_slow(&mut sim, 1, 1, 200);
        wait_for_duplicate(&mut sim, &job, 0)
    };
    let learned_ms = took_ms(LEARNING, LEARNING);
    let unknown_ms = took_ms(not_learning.clone(), not_learning.clone());
    let switched_off_ms = took_ms(LEARNING, not_learning);
    assert!(learned_ms <= 500, "{learned_ms} ms");
    assert!(learned_ms + 500 <= switched_off_ms, "{switched_off_ms} ms");
    assert!(
        learned_ms + 500 <= unknown_ms,
        "{learned_ms}, {unknown_ms} ms"
    );
}

/// Guards against a usual run time that is that of slow workers, so that no run there counts as slow.
#[test]
fn runs_of_a_step_that_are_all_on_slow_workers_get_duplicates() {
    let mut sim = pool_with_slow(&["w0", "w1"], LEARNING);
    let job = submit_on_slow(&mut sim, 2, 6, 200);
    let took_ms = wait_for_duplicate(&mut sim, &job, 0);
    assert!(took_ms <= LONG_MS, "{took_ms} ms");
    assert!(sim.run_until_ended(30_000));
    assert!(count(&sim, "won") >= 4, "{:?}", sim.duplicate_outcomes);
}

/// Guards against a duplicate on another slow worker, which would not end earlier.
#[test]
fn no_duplicate_starts_on_a_slow_worker() {
    let mut sim = pool_with_slow(&["w0", "w1"], LEARNING);
    let job = submit_on_slow(&mut sim, 2, 1, 3 * RUN_MS);
    sim.run_for(2 * RUN_MS);
    assert_eq!(count(&sim, "started"), 0);
    let took_ms = wait_for_duplicate(&mut sim, &job, 0);
    assert!(took_ms <= 2 * RUN_MS, "{took_ms} ms");
    let flow = sim.scheduler.flow(&job).unwrap();
    let (_, task) = flow.tasks().next().unwrap();
    let agent = task.duplicate.as_ref().unwrap().agent.as_str().to_owned();
    assert!(!["w0", "w1"].contains(&agent.as_str()), "on {agent}");
}

/// Guards against a usual run time that is that of a slow worker, so that a run that is slow by nature on another one
/// does not stand out.
#[test]
fn a_slow_run_stands_out_beside_runs_on_a_slow_worker() {
    let mut sim = pool_with_slow(&["w0"], LEARNING);
    let filling = |tasks, milli| StepSpec {
        label: Some("usual".to_owned()),
        ..step(tasks, milli, 10 * LONG_MS)
    };
    sim.submit("full", vec![filling(WORKERS - 2, 16_000)]);
    sim.submit("room", vec![filling(1, 14_000)]);
    sim.run_for(60);
    sim.slow_tasks.insert(task_key(&"long".into(), 0), 7);
    let spec = StepSpec {
        duplicates_allowed: true,
        ..step(8, 1_000, LONG_MS)
    };
    let job = sim.submit("long", vec![spec]);
    sim.run_for(100);
    let flow = sim.scheduler.flow(&job).unwrap();
    let placements = flow.tasks().filter_map(|(_, task)| task.placement.as_ref());
    let on_slow = placements.filter(|placement| placement.agent.as_str() == "w0");
    assert_eq!(on_slow.count(), 6, "two tasks are on the worker with room");
    // The duplicate needs room, too.
    sim.run_for(2 * RUN_MS);
    for worker in sim.workers.values_mut() {
        worker.capacity.processors_milli += 4_000;
    }
    let took_ms = wait_for_duplicate(&mut sim, &job, 0);
    assert!(took_ms <= RUN_MS, "{took_ms} ms");
}

/// Guards against the same by runs that have ended on a slow worker.
#[test]
fn a_slow_run_stands_out_after_runs_on_a_slow_worker() {
    let mut sim = pool_with_slow(&["w0"], LEARNING);
    let filling = StepSpec {
        label: Some("usual".to_owned()),
        ..step(WORKERS - 1, 16_000, 5_700)
    };
    sim.submit("filling", vec![filling]);
    sim.run_for(60);
    sim.slow_tasks.insert(task_key(&"many".into(), 16), 7);
    let spec = StepSpec {
        duplicates_allowed: true,
        need: model::Resources::new(1_000, 100, 0),
        ..step(17, 1_000, RUN_MS)
    };
    let job = sim.submit("many", vec![spec]);
    sim.run_for(1_000);
    // It gets no further tasks.
    let worker = sim.workers.get_mut(&"w0".into()).unwrap();
    worker.capacity.processors_milli = 0;
    sim.run_for(4_900);
    let flow = sim.scheduler.flow(&job).unwrap();
    let last = flow.task(&task_key(&job, 16)).unwrap();
    let agent = last.placement.as_ref().unwrap().agent.as_str();
    assert_ne!(agent, "w0");
    let took_ms = wait_for_duplicate(&mut sim, &job, 16);
    assert!(took_ms <= RUN_MS, "{took_ms} ms");
}

/// Guards against duplicates by the speeds of workers where most are slow: then it is the tasks that take longer, and
/// a second run would, too.
#[test]
fn speeds_do_not_count_where_most_workers_are_slow() {
    let mut sim = pool_with_slow(&["w0", "w1", "w2"], LEARNING);
    submit_on_slow(&mut sim, 3, 6, 200);
    assert!(sim.run_until_ended(30_000));
    assert_eq!(count(&sim, "started"), 0);
}
