//! What stays in the table.

mod common;

use common::{Entry, lease, pause};
use flow::{FlowJob, FlowPhase, FlowSpec, QueueKey, StepSpec};
use flow_entry::PhaseAnswer;
use wire::{CancelOutcome, SubmitOutcome};

/// Longest time for a call.
const LIMIT_MS: u64 = 2_000;

#[actix_rt::test]
async fn an_ended_flow_can_be_asked_for_and_leaves_nothing_behind_later() {
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
    let accepted = entry.gate.submit(job.clone(), LIMIT_MS).await;
    assert_eq!(accepted, SubmitOutcome::Accepted);
    assert_eq!(table.rows.rows("flows/").len(), 1);
    let cancelled = entry.gate.cancel(job.id.clone(), LIMIT_MS).await;
    assert_eq!(cancelled, CancelOutcome::Done);
    pause(300).await;
    let phase = entry.gate.phase(job.id.clone(), LIMIT_MS).await;
    assert_eq!(phase, PhaseAnswer::Known(FlowPhase::Cancelled));
    pause(5_000).await;
    for prefix in ["flows/", "progress/"] {
        assert_eq!(table.rows.rows(prefix), [], "{prefix}");
    }
    let phase = entry.gate.phase(job.id, LIMIT_MS).await;
    assert_eq!(phase, PhaseAnswer::Unknown);
}
