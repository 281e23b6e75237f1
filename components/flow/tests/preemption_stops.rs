//! Stops of preempted runs that are not carried out at once, in virtual time.

mod common;

use common::preemptions::{saving, two_queues};
use common::{Sim, step};
use flow::FlowPhase;
use model::AgentId;

/// Time until the batch tasks run and have made some progress, in milliseconds.
const BEGIN_MS: u64 = 3_000;

fn outcome(sim: &Sim, outcome: &str) -> u32 {
    sim.preemption_outcomes.get(outcome).copied().unwrap_or(0)
}

/// Guards against more stops at a time than the workers' reports can follow.
#[test]
fn four_tasks_are_preempted_at_a_time() {
    let mut sim = two_queues(7, true);
    sim.submit_batch("batch", vec![saving(7, 4_000, 20_000)]);
    sim.run_for(BEGIN_MS);
    sim.stops_are_lost = true;
    sim.submit("urgent", vec![step(7, 4_000, 3_000)]);
    sim.run_for(1_500);
    assert_eq!((sim.preempted.len(), sim.preempting()), (4, 4));
    sim.stops_are_lost = false;
    sim.run_for(1_500);
    assert_eq!(sim.preempted.len(), 7);
    assert!(sim.run_until_ended(90_000));
}

/// Guards against a second run of a victim, and against an urgent task that starts beside it, while the
/// worker does not carry out the stop; and against further preemptions there.
#[test]
fn a_worker_that_is_late_to_stop_gets_no_further_preemptions() {
    let mut sim = two_queues(2, true);
    sim.submit_batch("batch", vec![saving(4, 2_000, 30_000)]);
    sim.run_for(BEGIN_MS);
    sim.stops_are_lost = true;
    // The objective leaves 5.5 s, and room on either worker is enough.
    let job = sim.submit("urgent", vec![step(1, 2_000, 5_000)]);
    sim.run_for(1_900);
    assert_eq!((sim.preempted.len(), sim.running(&job)), (1, 0));
    assert!(sim.late_preemptions.is_empty());
    sim.run_for(1_000);
    let agents: Vec<&AgentId> = sim.preempted.iter().map(|(_, one)| &one.agent).collect();
    assert_eq!(agents.len(), 2, "{agents:?}");
    assert_ne!(agents[0], agents[1]);
    assert_eq!((sim.late_preemptions.len(), sim.running(&job)), (1, 0));
    sim.stops_are_lost = false;
    assert!(sim.run_until_ended(60_000));
    assert!(
        sim.ended_ms
            .values()
            .all(|(_, phase)| *phase == FlowPhase::Completed)
    );
    assert_eq!(outcome(&sim, "requeued"), 2);
}

/// Guards against a preemption that is counted as a stop although its task succeeded meanwhile.
#[test]
fn a_victim_that_ends_before_its_stop_is_done() {
    let mut sim = two_queues(1, true);
    let batch = sim.submit_batch("batch", vec![saving(1, 4_000, BEGIN_MS + 2_500)]);
    sim.run_for(BEGIN_MS);
    sim.stops_are_lost = true;
    sim.submit("urgent", vec![step(1, 4_000, 1_000)]);
    assert!(sim.run_until_ended(30_000));
    assert_eq!(sim.ended_ms[&batch].1, FlowPhase::Completed);
    assert_eq!(sim.starts[&batch], 1);
    let outcomes = (outcome(&sim, "ordered"), outcome(&sim, "finished"));
    assert_eq!((outcomes, outcome(&sim, "requeued")), ((1, 1), 0));
}

/// Guards against a task that counts on room that is made for another one, and so is served later.
#[test]
fn room_is_made_for_each_task_at_once() {
    let mut sim = two_queues(2, true);
    sim.submit_batch("batch", vec![saving(2, 4_000, 20_000)]);
    sim.run_for(BEGIN_MS);
    // Only one of the tasks can wait until another has ended.
    sim.submit("urgent", vec![step(3, 4_000, 3_000)]);
    sim.run_for(1_000);
    let times_ms: Vec<u64> = sim.preempted.iter().map(|(ms, _)| *ms).collect();
    assert_eq!(times_ms.len(), 2);
    assert_eq!(times_ms[0], times_ms[1]);
}

/// Guards against a task that may crash its worker and is given the place of others.
#[test]
fn a_suspect_preempts_nothing() {
    let mut sim = two_queues(2, true);
    sim.submit_batch("batch", vec![saving(1, 4_000, 20_000)]);
    sim.run_for(BEGIN_MS);
    let free = match sim.run_count("w0") {
        0 => "w0",
        _ => "w1",
    };
    let job = sim.submit("urgent", vec![step(1, 4_000, 3_000)]);
    while sim.running(&job) == 0 {
        sim.step();
    }
    sim.crash_for_a_while(&free.into());
    sim.run_for(2_000);
    assert_eq!((sim.running(&job), sim.preempted.len()), (0, 0));
}

/// Guards against stops on workers that are slow for a while after their start.
#[test]
fn no_room_is_made_on_a_cold_worker() {
    let mut sim = two_queues(1, true);
    sim.submit_batch("batch", vec![saving(1, 4_000, 20_000)]);
    sim.run_for(BEGIN_MS);
    let until_ms = sim.now_ms + 30_000;
    let cold = flow::ColdTime {
        returned_ms: sim.now_ms,
        until_ms,
        is_reported: true,
    };
    sim.scheduler.set_cold(&"w0".into(), cold);
    sim.submit("urgent", vec![step(1, 4_000, 1_000)]);
    sim.run_for(2_000);
    assert!(sim.preempted.is_empty());
}

/// Guards against stops on slow workers, on which the task would be late all the same.
#[test]
fn no_room_is_made_on_a_slow_worker() {
    let mut sim = two_queues(3, true);
    sim.set_policies(flow::Policies {
        learned_run_times: true,
        ..sim.policies.clone()
    });
    sim.workers.get_mut(&"w0".into()).unwrap().speed_percent = 20;
    for number in 0..100 {
        sim.submit(&format!("short{number:02}"), vec![step(4, 1_000, 1_000)]);
        sim.run_for(300);
        if !sim.speed_changes.is_empty() {
            break;
        }
    }
    assert_eq!(sim.speed_changes[0].0, "w0".into());
    assert!(sim.run_until_ended(30_000));
    let unsaved = sim.submit_batch("unsaved", vec![step(2, 4_000, 30_000)]);
    sim.run_for(200);
    let saved = sim.submit_batch("saved", vec![saving(1, 4_000, 30_000)]);
    sim.run_for(1_000);
    assert_eq!((sim.running(&unsaved), sim.running(&saved)), (2, 1));
    assert!(sim.runs_on("w0", &saved));
    sim.submit("urgent", vec![step(1, 4_000, 1_000)]);
    sim.run_for(1_500);
    assert!(sim.preempted.is_empty(), "{:?}", sim.preempted);
}
