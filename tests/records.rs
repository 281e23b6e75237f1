//! Jobs whose progress takes much room in the store, beside others: real processes with stand-ins
//! that speak the platform's protocol and keep its limits.

mod common;

use common::flow_fleet::{Fleet, ids};
use common::sleep_ms;
use platform_standin::job;
use serde_json::{Value, json};
use utils::wall_ms;

/// A job that runs the same step of three tasks again and again.
fn recurring_job(occurrences: u32, interval_ms: u64) -> Value {
    json!({
        "taskSpec": "60",
        "steps": [{ "count": 3, "cpu": 2000, "requestedMemoryMb": 64, "estimatedMs": 60 }],
        "firstRunMs": wall_ms(), "intervalMs": interval_ms, "repetitions": occurrences
    })
}

/// Guards against a scheduling that stops for every job, under this scheduler and the next, once
/// the finished occurrences of one job fill a row of the store.
#[actix_rt::test]
async fn a_job_with_many_finished_occurrences_stops_no_other_job() {
    let mut fleet = Fleet::start(2, 2).await;
    fleet.store.set_row_bytes(1_500);
    let ids = ids(3);
    assert_eq!(fleet.submit(0, &ids[0], &recurring_job(60, 60)).await, 200);
    sleep_ms(2_500).await;
    fleet.submit(0, &ids[1], &job(3, 100)).await;
    let scheduler = fleet.scheduler();
    fleet.entries[scheduler].1.restart();
    fleet.wait_until_ready().await;
    fleet.submit(1, &ids[2], &job(3, 100)).await;
    fleet.wait_until_completed(&ids).await;
    assert_eq!(fleet.executions().len(), 3 * 60 + 2 * 6);
    assert_eq!(fleet.store.refused(), Vec::<String>::new());
    fleet.assert_no_duplicate_runs();
}
