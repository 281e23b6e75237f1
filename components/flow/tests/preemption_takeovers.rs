//! Preemptions and changes of the scheduler, and their part of the records, in virtual time.

mod common;

use common::preemptions::{saving, two_queues};
use common::{STEP_MS, Sim, step};
use flow::{FlowPhase, Policies, RunStage, StepSpec, TaskKey};
use model::JobId;

/// Objective of the urgent flow, in milliseconds: twice the run time, and the latency target.
const OBJECTIVE_MS: u64 = 2_500;
/// Time by which a takeover may delay an urgent task, in milliseconds: its runs are confirmed, and what was
/// stopped is reported.
const TAKEOVER_MS: u64 = 1_000;
/// Time until the batch tasks run and have made some progress, in milliseconds.
const BEGIN_MS: u64 = 3_000;
/// Longest run time of the batch task, in milliseconds.
const BATCH_MS: u64 = 60_000;

/// An urgent task that needs a whole worker.
fn urgent() -> Vec<StepSpec> {
    vec![step(1, 4_000, 1_000)]
}

/// A pool of one worker whose only run is preempted for an urgent task in the last step.
fn preempted(stops_are_lost: bool) -> (Sim, JobId, JobId) {
    let mut sim = two_queues(1, true);
    let batch = sim.submit_batch("batch", vec![saving(1, 4_000, BATCH_MS)]);
    sim.run_for(BEGIN_MS);
    sim.stops_are_lost = stops_are_lost;
    let job = sim.submit("urgent", urgent());
    run_until_preempted(&mut sim, 1);
    (sim, batch, job)
}

/// Advances until this number of runs were preempted.
fn run_until_preempted(sim: &mut Sim, number: usize) {
    let until_ms = sim.now_ms + OBJECTIVE_MS;
    while sim.preempted.len() < number {
        sim.step();
        assert!(sim.now_ms < until_ms, "no run was preempted");
    }
}

/// Stage of the batch task's run; `None` if it is queued.
fn stage(sim: &Sim, batch: &JobId) -> Option<RunStage> {
    let key = TaskKey {
        job: batch.clone(),
        occurrence: 0,
        step: 0,
        index: 0,
    };
    let task = sim.scheduler.flow(batch).unwrap().task(&key);
    let placement = task.and_then(|task| task.placement.clone());
    placement.map(|placement| placement.stage)
}

/// Guards against a victim that a new scheduler loses, restarts from nothing or counts as failed when it
/// takes over at any time between the stop and the restart.
#[test]
fn a_victim_resumes_after_a_takeover_between_stop_and_restart() {
    for delay_steps in [0, 1, 2, 3, 5, 10, 20] {
        let (mut sim, batch, urgent) = preempted(false);
        sim.run_for(delay_steps * STEP_MS);
        let begin_ms = sim.now_ms;
        sim.take_over();
        assert!(
            sim.run_until_ended(2 * BATCH_MS),
            "{delay_steps}: {:?}",
            sim.ended_ms
        );
        let (urgent_ms, phase) = sim.ended_ms[&urgent];
        assert_eq!(phase, FlowPhase::Completed);
        let taken_ms = urgent_ms - begin_ms;
        assert!(
            taken_ms <= OBJECTIVE_MS + TAKEOVER_MS,
            "{delay_steps}: {taken_ms} ms"
        );
        let (batch_ms, phase) = sim.ended_ms[&batch];
        assert_eq!(phase, FlowPhase::Completed);
        // A restart from nothing would add the time until the preemption.
        let most_ms = BATCH_MS + BEGIN_MS + TAKEOVER_MS;
        assert!(
            batch_ms < most_ms,
            "{delay_steps}: ended after {batch_ms} ms"
        );
        assert_eq!(sim.starts[&batch], 2, "{delay_steps}");
    }
}

/// Guards against a victim that is stopped, or thought to be, although its stop was never carried out
/// before the takeover.
#[test]
fn a_victim_whose_stop_was_lost_runs_on_after_a_takeover() {
    let (mut sim, batch, _) = preempted(true);
    sim.set_policies(Policies::default());
    sim.take_over();
    sim.run_for(1_000);
    assert!(matches!(
        stage(&sim, &batch),
        Some(RunStage::Running { .. })
    ));
    assert_eq!(sim.running(&batch), 1);
    sim.stops_are_lost = false;
    assert!(sim.run_until_ended(2 * BATCH_MS));
    assert_eq!(
        (sim.starts[&batch], sim.ended_ms[&batch].1),
        (1, FlowPhase::Completed)
    );
}

/// Guards against tasks that are preempted without end because each new scheduler counts from zero, and
/// against a preemption within the pause, whose begin a new scheduler does not know.
#[test]
fn the_number_of_preemptions_survives_takeovers() {
    let (mut sim, batch, _) = preempted(false);
    sim.run_for(8_000);
    sim.take_over();
    sim.run_for(4_000);
    sim.submit("within-pause", urgent());
    sim.run_for(4_000);
    assert_eq!(sim.preempted.len(), 1);
    sim.cancel(&"within-pause".into());
    sim.run_for(4_000);
    sim.submit("after-pause", urgent());
    run_until_preempted(&mut sim, 2);
    sim.run_for(4_000);
    sim.take_over();
    sim.run_for(12_000);
    assert_eq!(sim.running(&batch), 1);
    sim.submit("spent", urgent());
    sim.run_for(OBJECTIVE_MS);
    assert_eq!(sim.preempted.len(), 2);
    assert!(sim.run_until_ended(2 * BATCH_MS));
}

/// Guards against records that change although nothing was preempted, and against ones that keep the
/// preemptions of tasks that are done.
#[test]
fn records_hold_preemptions_of_open_tasks_only() {
    let field = "\"v\":";
    let (mut sim, batch, urgent) = preempted(false);
    sim.run_for(2_000);
    assert!(sim.record_text(&batch).contains("\"v\":[[0,0,0,1]]"));
    assert!(!sim.record_text(&urgent).contains(field));
    assert!(sim.run_until_ended(2 * BATCH_MS));
    let mut sim = two_queues(2, true);
    let batch = sim.submit_batch(
        "batch",
        vec![saving(1, 4_000, 6_000), saving(1, 4_000, 20_000)],
    );
    sim.run_for(BEGIN_MS);
    assert!(!sim.record_text(&batch).contains(field));
    // Each worker can run two of the tasks in time.
    sim.submit("urgent", vec![step(4, 4_000, 1_000)]);
    run_until_preempted(&mut sim, 2);
    sim.run_for(1_000);
    assert!(
        sim.record_text(&batch)
            .contains("\"v\":[[0,0,0,1],[0,1,0,1]]")
    );
    sim.run_for(9_000);
    assert!(sim.record_text(&batch).contains("\"v\":[[0,1,0,1]]"));
    assert!(sim.run_until_ended(60_000));
}
