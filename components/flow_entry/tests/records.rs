//! A record that the table refuses concerns its flow alone.

mod common;

use common::{Entry, SlowTable, lease, pause};
use flow::{FlowJob, FlowPhase, FlowSpec, QueueKey, StepSpec};
use flow_entry::PhaseAnswer;
use wire::SubmitOutcome;

/// Time limit of each call, in milliseconds.
const LIMIT_MS: u64 = 2_000;
/// The flow whose records are refused.
const REFUSED: &str = "00000000000000aa";
/// Another flow.
const OTHER: &str = "00000000000000bb";

/// A flow of one step.
fn flow(id: &str) -> FlowJob {
    let step = StepSpec {
        tasks: 2,
        ..StepSpec::default()
    };
    FlowJob {
        id: id.into(),
        queue: QueueKey::default(),
        spec: FlowSpec {
            steps: vec![step],
            ..FlowSpec::default()
        },
        accepted_wall_ms: 0,
    }
}

/// Submits and cancels a flow, which makes the scheduler write its record.
async fn submit_and_cancel(entry: &Entry, id: &str) {
    let accepted = entry.handle.submit(flow(id), LIMIT_MS).await;
    assert_eq!(accepted, SubmitOutcome::Accepted);
    entry.handle.cancel(id.into(), LIMIT_MS).await;
}

/// Whether the table holds a flow as ended.
fn is_ended(table: &SlowTable, id: &str) -> bool {
    let rows = table.rows.rows("flows/");
    let row = rows.iter().find(|row| row.key.ends_with(id));
    row.is_some_and(|row| row.value.contains("ended"))
}

/// Guards against a refused record that ends the term of each scheduler, so that no record is
/// written any more. Also what states the failure alone is refused here.
#[actix_rt::test]
async fn a_refused_record_ends_its_flow_and_neither_the_term_nor_other_flows() {
    let table = common::table(5);
    table.refuse_values_of(&format!("progress/scheduler/{REFUSED}"));
    let entry = Entry::start("a", &table).await;
    lease(&table).await;
    submit_and_cancel(&entry, REFUSED).await;
    submit_and_cancel(&entry, OTHER).await;
    pause(2_500).await;
    assert!(is_ended(&table, OTHER), "the other flow is recorded");
    assert!(is_ended(&table, REFUSED), "the refused flow is set aside");
    assert_eq!(lease(&table).await.epoch, 1, "the term goes on");
}

/// Guards against flows that fail because the table refuses whatever this entry writes.
#[actix_rt::test]
async fn an_entry_whose_every_commit_is_refused_steps_down_and_fails_no_flow() {
    let table = common::table(5);
    let entry = Entry::start("a", &table).await;
    lease(&table).await;
    table.refuse_values_of("lease/scheduler/owner");
    submit_and_cancel(&entry, OTHER).await;
    pause(500).await;
    let text = entry.handle.metrics();
    assert!(text.contains("flow_is_scheduler 0"), "{text}");
    let phase = entry.handle.phase(OTHER.into(), LIMIT_MS).await;
    assert_eq!(phase, PhaseAnswer::Known(FlowPhase::Cancelled));
    assert!(!is_ended(&table, OTHER));
}

/// Guards against a refusal that does not say what may be asked for.
#[actix_rt::test]
async fn a_flow_over_the_size_of_a_row_is_refused_with_the_limit_and_its_size() {
    let table = common::table(5);
    let entry = Entry::start("a", &table).await;
    let mut job = flow(OTHER);
    assert_eq!(entry.handle.check_size(&job), Ok(()));
    job.spec.payload = "x".repeat(common::ROW_BYTES);
    let fault = entry.handle.check_size(&job).unwrap_err();
    assert_eq!(fault.limit_bytes, common::ROW_BYTES);
    assert_eq!(
        fault.to_string(),
        format!(
            "the job takes {} bytes in the store, at most 1024",
            fault.bytes
        )
    );
}
