//! Urgent tasks that take the place of less urgent ones, in virtual time.

mod common;

use common::preemptions::{saving, two_queues};
use common::{Sim, step};
use flow::{FlowPhase, Policies, StepSpec, TaskKey};
use model::JobId;

/// Declared run time of the urgent task, in milliseconds.
const URGENT_MS: u64 = 1_000;
/// Objective of its flow, in milliseconds: `stretch` 2 times the run time, and the latency target.
const OBJECTIVE_MS: u64 = 2 * URGENT_MS + 500;
/// Time until the batch tasks run and have made some progress, in milliseconds.
const BEGIN_MS: u64 = 3_000;
/// Longest time in which batch tasks of 20 s that are preempted once end, in milliseconds.
const BATCH_END_MS: u64 = 26_000;

/// An urgent task that needs a whole worker.
fn urgent() -> Vec<StepSpec> {
    vec![step(1, 4_000, URGENT_MS)]
}

/// A pool of one worker that is filled by the `batch` step, which has begun.
fn full_worker(batch: StepSpec, preemption: bool) -> (Sim, JobId) {
    let mut sim = two_queues(1, preemption);
    let job = sim.submit_batch("batch", vec![batch]);
    sim.run_for(BEGIN_MS);
    assert!(sim.running(&job) > 0, "the batch tasks run");
    (sim, job)
}

fn first_task(job: &JobId) -> TaskKey {
    TaskKey {
        job: job.clone(),
        occurrence: 0,
        step: 0,
        index: 0,
    }
}

/// Lets an urgent flow end, and returns the time that it took, in milliseconds.
fn time_of(sim: &mut Sim, id: &str, steps: Vec<StepSpec>) -> u64 {
    let begin_ms = sim.now_ms;
    let job = sim.submit(id, steps);
    while !sim.ended_ms.contains_key(&job) {
        sim.step();
        assert!(sim.now_ms < begin_ms + 60_000, "{id} has not ended");
    }
    sim.ended_ms[&job].0 - begin_ms
}

fn outcome(sim: &Sim, outcome: &str) -> u32 {
    sim.preemption_outcomes.get(outcome).copied().unwrap_or(0)
}

/// Asserts that an urgent flow is late and preempts nothing.
fn assert_waits(mut sim: Sim) {
    let urgent_ms = time_of(&mut sim, "urgent", urgent());
    assert!(urgent_ms > OBJECTIVE_MS, "{urgent_ms} ms");
    assert!(sim.preempted.is_empty(), "{:?}", sim.preempted);
}

/// Guards against urgent tasks that wait for long batch tasks, and against preemptions without the policy.
#[test]
fn an_urgent_task_is_in_time_with_the_policy_and_late_without() {
    let (mut sim, _) = full_worker(saving(1, 4_000, 20_000), true);
    let urgent_ms = time_of(&mut sim, "urgent", urgent());
    assert!(urgent_ms <= OBJECTIVE_MS, "{urgent_ms} ms");
    let (sim, _) = full_worker(saving(1, 4_000, 20_000), false);
    assert_waits(sim);
}

/// Guards against victims that lose their progress, count as failed, or never resume.
#[test]
fn a_victim_resumes_from_its_progress_and_has_not_failed() {
    let (mut sim, batch) = full_worker(saving(2, 2_000, 20_000), true);
    let urgent_ms = time_of(&mut sim, "urgent", urgent());
    assert!(urgent_ms <= OBJECTIVE_MS, "{urgent_ms} ms");
    assert_eq!(sim.preempted.len(), 2);
    let tasks = sim.scheduler.flow(&batch).unwrap().tasks();
    let failures: Vec<u32> = tasks.map(|(_, task)| task.failures).collect();
    assert_eq!(failures, [0, 0]);
    assert!(sim.run_until_ended(60_000));
    let (ended_ms, phase) = sim.ended_ms[&batch];
    assert_eq!(phase, FlowPhase::Completed);
    assert!(ended_ms <= BATCH_END_MS, "ended after {ended_ms} ms");
    assert_eq!(sim.starts[&batch], 4);
    let outcomes = (outcome(&sim, "ordered"), outcome(&sim, "requeued"));
    assert_eq!((outcomes, outcome(&sim, "finished")), ((2, 2), 0));
}

/// Guards against a log line without the reason and the task that a run makes room for.
#[test]
fn each_preemption_is_logged_with_its_reason() {
    let (mut sim, _) = full_worker(saving(1, 4_000, 20_000), true);
    time_of(&mut sim, "urgent", urgent());
    let details: Vec<&str> = (sim.preempted.iter())
        .map(|(_, decision)| decision.detail.as_str())
        .collect();
    insta::assert_debug_snapshot!(details, @r#"
    [
        "wait-too-long for urgent.0.0.0: priority 0 before 2, slack 1480 ms, wait 17100 ms; costs 2000 of 4000 core-ms",
    ]
    "#);
}

/// Guards against a task that is preempted for ever, or again before it can make progress.
#[test]
fn a_task_is_preempted_twice_at_most_with_a_pause() {
    let (mut sim, batch) = full_worker(saving(1, 4_000, 60_000), true);
    let times_ms = [0, 5_000, 11_000, 25_000, 40_000];
    let begin_ms = sim.now_ms;
    let mut in_time = Vec::new();
    for (number, at_ms) in times_ms.into_iter().enumerate() {
        sim.run_for((begin_ms + at_ms).saturating_sub(sim.now_ms));
        let job = sim.submit(&format!("urgent{number}"), urgent());
        sim.run_for(OBJECTIVE_MS);
        in_time.push(sim.ended_ms.contains_key(&job));
        sim.cancel(&job);
    }
    assert_eq!(in_time, [true, false, true, false, false]);
    assert_eq!(sim.preempted.len(), 2);
    assert!(sim.run_until_ended(90_000));
    assert_eq!(sim.ended_ms[&batch].1, FlowPhase::Completed);
}

/// Guards against the preemption of runs that would lose their work, break a gang or an availability
/// promise, or are as urgent themselves.
#[test]
fn protected_runs_are_never_preempted() {
    let saved = saving(1, 4_000, 20_000);
    let unsaved = step(1, 4_000, 20_000);
    let gang = StepSpec {
        gang: true,
        ..saving(2, 2_000, 20_000)
    };
    for batch in [unsaved, gang] {
        assert_waits(full_worker(batch, true).0);
    }
    let long_running = StepSpec {
        long_running: true,
        ..saved.clone()
    };
    let (mut sim, _) = full_worker(long_running, true);
    sim.submit("urgent", urgent());
    sim.run_for(10_000);
    assert!(sim.preempted.is_empty());
    let mut sim = two_queues(1, true);
    sim.submit("equal", vec![saved]);
    sim.run_for(BEGIN_MS);
    assert_waits(sim);
}

/// Guards against the preemption of either run of a task with a duplicate.
#[test]
fn neither_an_original_nor_a_duplicate_is_preempted() {
    let mut sim = two_queues(5, true);
    sim.slow_workers.insert("w0".into(), 9);
    sim.allow_duplicates();
    let batch = StepSpec {
        duplicates_allowed: true,
        max_per_worker: Some(1),
        ..saving(4, 1_000, 10_000)
    };
    let job = sim.submit_batch("batch", vec![batch]);
    while sim.starts.get(&job) != Some(&5) {
        sim.step();
        assert!(sim.now_ms < 30_000, "no duplicate was started");
    }
    while sim.running(&job) > 2 {
        sim.step();
        assert!(sim.now_ms < 30_000, "the other tasks have not ended");
    }
    let filling = vec![step(5, 3_000, 20_000), step(3, 1_000, 20_000)];
    let filling = sim.submit_batch("filling", filling);
    sim.run_for(400);
    assert_eq!((sim.running(&job), sim.running(&filling)), (2, 8));
    // The work of the second step makes a preemption worthwhile in spite of an old checkpoint.
    let second = StepSpec {
        after: vec![0],
        ..step(200, 1_000, 100)
    };
    sim.submit("urgent", vec![step(1, 1_000, URGENT_MS), second]);
    sim.run_for(OBJECTIVE_MS - URGENT_MS);
    assert_eq!((sim.running(&job), sim.preempted.len()), (2, 0));
}

/// Guards against a preemption that spreads a task which may crash its worker.
#[test]
fn a_suspect_is_not_preempted() {
    let mut sim = two_queues(1, true);
    let job = sim.submit_batch("batch", vec![saving(1, 4_000, 20_000)]);
    while sim.running(&job) == 0 {
        sim.step();
    }
    sim.crash(&"w0".into());
    sim.run_for(BEGIN_MS);
    let crashes = sim.scheduler.flow(&job).unwrap().task(&first_task(&job));
    assert!(crashes.unwrap().crashes.is_suspect() && sim.running(&job) == 1);
    assert_waits(sim);
}

/// Guards against the stop of a run that would make room by itself a moment later.
#[test]
fn a_run_that_ends_soon_is_not_preempted() {
    for (left_ms, preempted) in [(1_700, 0), (3_000, 1)] {
        let (mut sim, _) = full_worker(saving(1, 4_000, BEGIN_MS + left_ms), true);
        // The objective leaves 1.5 s.
        time_of(&mut sim, "urgent", urgent());
        assert_eq!(sim.preempted.len(), preempted, "{left_ms} ms left");
    }
}

/// Guards against preemptions where another worker has room, or will have early enough.
#[test]
fn room_elsewhere_is_used_first() {
    let mut sim = two_queues(2, true);
    sim.submit_batch("batch", vec![saving(1, 4_000, 20_000)]);
    sim.run_for(BEGIN_MS);
    let urgent_ms = time_of(&mut sim, "urgent", urgent());
    assert!(urgent_ms <= OBJECTIVE_MS && sim.preempted.is_empty());
    sim.submit_batch("short", vec![step(1, 4_000, 4_000)]);
    sim.run_for(1_000);
    // With 4 s of work the objective leaves 4.5 s, and the short task ends in 3 s.
    let urgent_ms = time_of(&mut sim, "later", vec![step(1, 4_000, 4_000)]);
    assert!(urgent_ms <= 8_500, "{urgent_ms} ms");
    assert!(sim.preempted.is_empty(), "{:?}", sim.preempted);
}

/// Guards against several urgent tasks that all count on one release, and against preemptions for the one
/// that gets it.
#[test]
fn each_release_counts_for_one_urgent_task() {
    let mut sim = two_queues(2, true);
    sim.submit_batch("long", vec![saving(1, 4_000, 20_000)]);
    sim.submit_batch("short", vec![step(1, 4_000, 5_000)]);
    sim.run_for(BEGIN_MS);
    let urgent_ms = time_of(&mut sim, "urgent", vec![step(2, 4_000, 3_000)]);
    assert!(urgent_ms <= 6_500, "{urgent_ms} ms");
    assert_eq!(sim.preempted.len(), 1);
}

/// Guards against preemptions for a task that misses its objective all the same.
#[test]
fn a_task_that_is_late_anyway_preempts_nothing() {
    let (mut sim, _) = full_worker(saving(1, 4_000, 20_000), false);
    sim.submit("urgent", urgent());
    sim.run_for(OBJECTIVE_MS - URGENT_MS - 400);
    sim.set_policies(Policies {
        preemption: true,
        ..Policies::default()
    });
    sim.run_for(10_000);
    assert!(sim.preempted.is_empty(), "{:?}", sim.preempted);
}

/// Guards against preemptions that lose more work than the urgent task has.
#[test]
fn work_that_is_lost_is_weighed() {
    let mut sim = two_queues(1, true);
    sim.writes_checkpoints = false;
    sim.submit_batch("batch", vec![saving(1, 4_000, 20_000)]);
    sim.run_for(BEGIN_MS);
    assert_waits(sim);
}

/// Guards against a flow whose tasks together cost others more than all of its work.
#[test]
fn the_tasks_of_a_flow_share_its_gain() {
    let mut sim = two_queues(4, true);
    sim.submit_batch("batch", vec![saving(4, 4_000, 20_000)]);
    sim.run_for(BEGIN_MS);
    // Each preemption idles a worker for as long as two such tasks work.
    let job = sim.submit(
        "urgent",
        vec![StepSpec {
            max_per_worker: Some(1),
            ..step(4, 1_000, 2_000)
        }],
    );
    sim.run_for(2_000);
    assert_eq!((sim.preempted.len(), sim.starts[&job]), (3, 3));
}

/// Guards against urgent tasks that preempt nothing because another one ahead of them can't: one that needs
/// more, is less urgent, or has less work.
#[test]
fn an_urgent_task_does_not_depend_on_others_that_fail() {
    let pool = || {
        let mut sim = two_queues(1, true);
        sim.submit_batch("saved", vec![saving(1, 2_000, 20_000)]);
        sim.submit_batch("unsaved", vec![step(1, 2_000, 20_000)]);
        sim.run_for(BEGIN_MS);
        sim
    };
    // A task that needs more room than there can be, and one whose work does not pay.
    let failing = [step(1, 4_000, URGENT_MS), step(1, 2_000, 300)];
    for other in failing {
        let mut sim = pool();
        sim.submit("first", vec![other]);
        sim.run_for(100);
        assert!(sim.preempted.is_empty());
        sim.submit("urgent", vec![step(1, 2_000, URGENT_MS)]);
        // Meanwhile the first task could still be in time.
        sim.run_for(160);
        assert_eq!(sim.preempted.len(), 1);
    }
}

/// Guards against the stop of runs on several workers that make no room for the task on either.
#[test]
fn all_victims_of_a_task_are_on_one_worker() {
    let mut sim = two_queues(2, true);
    sim.submit_batch(
        "saved",
        vec![StepSpec {
            max_per_worker: Some(1),
            ..saving(2, 2_000, 20_000)
        }],
    );
    sim.submit_batch(
        "unsaved",
        vec![StepSpec {
            max_per_worker: Some(1),
            ..step(2, 2_000, 20_000)
        }],
    );
    sim.run_for(BEGIN_MS);
    let agents = ["w0", "w1"].map(|agent| sim.run_count(agent));
    assert_eq!(agents, [2, 2]);
    assert_waits(sim);
}

/// Guards against preemptions on a rack where the task takes so long that it is late.
#[test]
fn room_is_made_near_the_data_only() {
    let mut sim = two_queues(2, true);
    sim.workers.get_mut(&"w1".into()).unwrap().labels[1] = "r2".to_owned();
    sim.remote_factor = 3.0;
    sim.set_policies(Policies {
        remote_factor: Some(3.0),
        ..sim.policies.clone()
    });
    let near = |spec: StepSpec, rack: &str| StepSpec {
        data_rack: Some(rack.to_owned()),
        ..spec
    };
    sim.submit_batch("near", vec![near(step(1, 4_000, 20_000), "r1")]);
    sim.submit_batch("far", vec![near(saving(1, 4_000, 20_000), "r2")]);
    sim.run_for(BEGIN_MS);
    assert!(sim.runs_on("w1", &"far".into()));
    time_of(
        &mut sim,
        "urgent",
        vec![near(step(1, 4_000, URGENT_MS), "r1")],
    );
    assert!(sim.preempted.is_empty(), "{:?}", sim.preempted);
}
