//! The rows of a flow are deleted from the table after it has ended.

mod common;

use common::{Entry, lease, pause};
use flow::{FlowJob, FlowPhase, FlowSpec, QueueKey, StepSpec};
use flow_entry::PhaseAnswer;
use wire::{CancelOutcome, SubmitOutcome};

/// Time limit of each call, in milliseconds.
const LIMIT_MS: u64 = 2_000;

/// Guards against rows that stay in the table for ever, and against an ended flow whose state can't
/// be queried before its rows are deleted.
#[actix_rt::test]
async fn an_ended_flow_can_be_queried_until_all_its_rows_are_deleted() {
    let table = common::table(5);
    let entry = Entry::start("a", &table).await;
    lease(&table).await;
    let step = StepSpec {
        tasks: 2,
        ..StepSpec::default()
    };
    let job = FlowJob {
        id: "00000000000000aa".into(),
        queue: QueueKey::default(),
        spec: FlowSpec {
            steps: vec![step],
            ..FlowSpec::default()
        },
        accepted_wall_ms: 0,
    };
    let accepted = entry.handle.submit(job.clone(), LIMIT_MS).await;
    assert_eq!(accepted, SubmitOutcome::Accepted);
    assert_eq!(table.rows.rows("flows/").len(), 1);
    let cancelled = entry.handle.cancel(job.id.clone(), LIMIT_MS).await;
    assert_eq!(cancelled, CancelOutcome::Done);
    pause(300).await;
    let phase = entry.handle.phase(job.id.clone(), LIMIT_MS).await;
    assert_eq!(phase, PhaseAnswer::Known(FlowPhase::Cancelled));
    pause(5_000).await;
    for prefix in ["flows/", "progress/"] {
        assert_eq!(table.rows.rows(prefix), [], "{prefix}");
    }
    let phase = entry.handle.phase(job.id, LIMIT_MS).await;
    assert_eq!(phase, PhaseAnswer::Unknown);
}
