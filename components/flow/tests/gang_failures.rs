//! Gangs whose runs fail: a failed run counts once, however many members fail in it.

mod common;

use common::{Mode, Sim, step};
use flow::{FlowPhase, FlowRecord, StepSpec};
use model::JobId;

/// Members of the gang.
const MEMBERS: u32 = 9;
/// Members on each of the three workers.
const PER_WORKER: u32 = 3;
/// Failed runs after which the queue of the simulation gives a gang up.
const MAX_ATTEMPTS: u32 = 3;
/// Time after which the gang must have ended, in milliseconds.
const LIMIT_MS: u64 = 30_000;

/// A gang on three workers that fail all that they start.
fn failing_gang() -> (Sim, JobId) {
    let mut sim = Sim::new(3);
    for worker in sim.workers.values_mut() {
        worker.mode = Mode::FailsAll;
    }
    let gang = StepSpec {
        gang: true,
        max_per_worker: Some(PER_WORKER),
        ..step(MEMBERS, 1_000, 800)
    };
    let job = sim.submit("gang", vec![gang]);
    (sim, job)
}

fn phase(sim: &Sim, job: &JobId) -> Option<FlowPhase> {
    sim.ended_ms.get(job).map(|(_, phase)| *phase)
}

/// Guards against a gang that is given up after one failed run, as each member that failed in it counted.
#[test]
fn a_gang_is_given_up_after_as_many_failed_runs_as_its_queue_allows() {
    let (mut sim, job) = failing_gang();
    assert!(sim.run_until_ended(LIMIT_MS));
    assert_eq!(phase(&sim, &job), Some(FlowPhase::Failed));
    assert_eq!(sim.starts[&job], MAX_ATTEMPTS * MEMBERS);
}

/// Guards against a gang whose failed runs count more or less often after a change of the scheduler, also
/// between the ends of two members in one run.
#[test]
fn a_failed_run_of_a_gang_counts_once_after_a_change_of_the_scheduler() {
    for changed_ms in (0..900).step_by(15) {
        let (mut sim, job) = failing_gang();
        sim.run_for(changed_ms);
        sim.take_over();
        assert!(sim.run_until_ended(LIMIT_MS), "changed at {changed_ms} ms");
        assert_eq!(phase(&sim, &job), Some(FlowPhase::Failed));
        let starts = sim.starts[&job];
        assert_eq!(starts, MAX_ATTEMPTS * MEMBERS, "changed at {changed_ms} ms");
    }
}

/// Guards against a gang that is given up as soon as a new version reads the record of a former one, which
/// holds the failures of each member only.
#[test]
fn failed_runs_of_a_gang_are_read_from_the_record_of_a_former_version() {
    for changed_ms in (0..900).step_by(15) {
        let (mut sim, job) = failing_gang();
        sim.run_for(changed_ms);
        sim.take_over_from_version_without_gangs();
        assert!(sim.run_until_ended(LIMIT_MS), "changed at {changed_ms} ms");
        assert_eq!(phase(&sim, &job), Some(FlowPhase::Failed));
        let starts = sim.starts[&job];
        assert_eq!(starts, MAX_ATTEMPTS * MEMBERS, "changed at {changed_ms} ms");
    }
}

/// Guards against a former version that can't read a record with failed runs of a gang.
#[test]
fn the_record_of_a_gang_is_read_without_its_failed_runs() {
    let (mut sim, job) = failing_gang();
    sim.run_for(400);
    let text = sim.record_text(&job);
    let mut record: serde_json::Value = serde_json::from_str(&text).unwrap();
    let gangs = record.as_object_mut().unwrap().remove("g");
    assert_eq!(gangs, Some(serde_json::json!([[0, 0, 1, 1]])), "{text}");
    serde_json::from_value::<FlowRecord>(record).expect("the record is read");
}
