//! The row of learned run times, as a new scheduler finds it.

mod common;

use backing::Transaction;
use common::{Entry, SlowTable, lease, pause};
use estimates::{RunTimes, TaskClass};
use flow::{FlowJob, FlowSpec, QueueKey, StepSpec};
use utils::wall_ms;
use wire::SubmitOutcome;

/// Key of the row.
const RUN_TIMES_KEY: &str = "learnt/scheduler/run-times";
/// Time limit of each call, in milliseconds.
const LIMIT_MS: u64 = 2_000;
/// Time within which a new scheduler has loaded its state, in milliseconds.
const LOAD_MS: u64 = 1_000;

/// Run times of two classes, as stored at this time of day.
fn stored(wall_ms: u64) -> String {
    let mut times = RunTimes::default();
    for image in ["resize", "index"] {
        let class = TaskClass {
            queue: "q",
            image: Some(image),
            step: 0,
        };
        times.observe(0, class, 1_000, 3_000);
    }
    times.to_json(wall_ms, common::ROW_BYTES)
}

fn put(table: &SlowTable, value: &str) {
    let txn = Transaction::default().put(RUN_TIMES_KEY, value.to_owned());
    table.rows.commit_now(&txn).unwrap();
}

/// Asserts that an entry is the scheduler with this number of classes and accepts flows.
async fn assert_serves_with_classes(entry: &Entry, table: &SlowTable, classes: u64) {
    lease(table).await;
    pause(LOAD_MS).await;
    let metrics = entry.handle.metrics();
    let line = format!("parsleythread_flow_estimate_classes {classes}\n");
    assert!(metrics.contains(&line), "{metrics}");
    let step = StepSpec {
        tasks: 1,
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
    let accepted = entry.handle.submit(job, LIMIT_MS).await;
    assert_eq!(accepted, SubmitOutcome::Accepted);
}

/// Guards against run times that are lost when the scheduler changes.
#[actix_rt::test]
async fn a_new_scheduler_restores_the_run_times() {
    let table = common::table(5);
    put(&table, &stored(wall_ms()));
    let entry = Entry::start_learning("a", &table).await;
    assert_serves_with_classes(&entry, &table, 2).await;
}

/// Guards against a scheduler that can't start, or serves nothing, because of a row that is damaged or too old.
#[actix_rt::test]
async fn a_row_that_is_damaged_or_old_does_no_harm() {
    let whole = stored(wall_ms());
    let old = stored(wall_ms() - 7_200_000);
    for value in ["", "[1,2", &whole[..whole.len() / 2], &old] {
        let table = common::table(5);
        put(&table, value);
        let entry = Entry::start_learning("a", &table).await;
        assert_serves_with_classes(&entry, &table, 0).await;
    }
}

/// Guards against a deployment without learned run times that reads or changes the row.
#[actix_rt::test]
async fn the_row_is_left_alone_while_the_policy_is_off() {
    let table = common::table(5);
    let value = stored(wall_ms());
    put(&table, &value);
    let entry = Entry::start("a", &table).await;
    assert_serves_with_classes(&entry, &table, 0).await;
    pause(1_500).await;
    let rows = table.rows.rows(RUN_TIMES_KEY);
    assert_eq!(rows[0].value, value);
}
