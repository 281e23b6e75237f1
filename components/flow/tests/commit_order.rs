//! Order in which the records of flows are committed.

use flow::{CommitLimits, FlowJob, FlowSpec, QueueKey, Scheduler, StepSpec};
use model::JobId;

/// Records in one commit.
const LIMIT: usize = 90;
/// Limits of a commit; each record takes one row.
const LIMITS: CommitLimits = CommitLimits {
    rows: LIMIT,
    bytes: 1 << 20,
    row_bytes: 1 << 16,
};

fn flow(id: &str) -> FlowJob {
    FlowJob {
        id: id.into(),
        queue: QueueKey::default(),
        spec: FlowSpec {
            payload: String::new(),
            steps: vec![StepSpec {
                tasks: 1,
                ..StepSpec::default()
            }],
            schedule: None,
        },
        accepted_wall_ms: 0,
    }
}

/// Guards against a flow whose placements and ends never become durable, because enough flows with
/// lower identifiers change between any two commits (as while the table is slow).
#[test]
fn a_changed_record_is_committed_although_others_change_again() {
    let mut scheduler = Scheduler::default();
    let busy: Vec<JobId> = (0..LIMIT)
        .map(|number| format!("a{number}").into())
        .collect();
    for job in &busy {
        scheduler.add(0, 0, flow(job.as_str()));
    }
    let last: JobId = "b".into();
    scheduler.add(0, 0, flow(last.as_str()));
    scheduler.request_rewrite(&last);
    let is_committed = (0..100).any(|_| {
        for job in &busy {
            scheduler.request_rewrite(job);
        }
        let rows = scheduler.take_commit(0, &LIMITS);
        rows.iter().any(|row| row.job == last)
    });
    assert!(is_committed, "not within 100 commits");
}
