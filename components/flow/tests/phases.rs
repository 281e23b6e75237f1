//! Phases of flows as a new scheduler reports them.

mod common;

use common::{config, queue, step};
use flow::{FlowJob, FlowPhase, FlowRecord, FlowSpec, Scheduler};

/// Scheduler that has just read a flow of one task and its record, and has committed nothing.
fn restored(record: &str) -> Scheduler {
    let mut scheduler = Scheduler::default();
    scheduler.set_config(config());
    let job = FlowJob {
        id: "j".into(),
        queue: queue(),
        spec: FlowSpec {
            steps: vec![step(1, 100, 100)],
            ..FlowSpec::default()
        },
        accepted_wall_ms: 0,
    };
    scheduler.add(1_000, 0, job);
    let record: FlowRecord = serde_json::from_str(record).expect("it is a record");
    scheduler.restore(1_000, &"j".into(), &record);
    // The caller of the scheduler has the record of an ended flow written once more.
    scheduler.request_rewrite(&"j".into());
    scheduler
}

/// Guards against a flow that has ended, but whose rows are not collected yet, and that a new
/// scheduler shows as running until its first commit.
#[test]
fn a_new_scheduler_shows_a_recorded_end_before_its_first_commit() {
    let done = r#"{"o":[[[[1,0,true,null,null]]]]}"#;
    let failed = r#"{"f":true,"o":[[[[3,3,false,null,null]]]]}"#;
    let open = r#"{"o":[[[[1,0,false,null,null]]]]}"#;
    let expected = [
        (done, FlowPhase::Completed),
        (failed, FlowPhase::Failed),
        (open, FlowPhase::Running),
    ];
    for (record, phase) in expected {
        let mut scheduler = restored(record);
        assert_eq!(scheduler.phase(&"j".into()), Some(phase), "{record}");
        let rows = scheduler.take_commit(1_000, &common::LIMITS);
        scheduler.on_committed(&rows);
        assert_eq!(scheduler.phase(&"j".into()), Some(phase), "{record}");
    }
}
