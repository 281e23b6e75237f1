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
