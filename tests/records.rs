//! Jobs whose progress takes much room in the store, beside others: real processes with stand-ins
//! that speak the platform's protocol and keep its limits.

mod common;

use common::flow_fleet::{Fleet, WAIT_LIMIT, ids};
use common::sleep_ms;
use platform_standin::{job, large_job, recurring_job};
use std::time::Instant;
use utils::wall_ms;

/// Guards against a scheduling that stops for every job, under this scheduler and the next, once
/// the finished occurrences of one job fill a row of the store.
#[actix_rt::test]
async fn a_job_with_many_finished_occurrences_stops_no_other_job() {
    let mut fleet = Fleet::start(2, 2).await;
    fleet.store.set_row_bytes(1_500);
    let ids = ids(3);
    assert_eq!(
        fleet
            .submit(0, &ids[0], &recurring_job(60, 60, wall_ms()))
            .await,
        200
    );
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

/// Guards against a large job that stops every job, or is lost or run twice at a takeover, because
/// its progress takes more than one row of the store.
#[actix_rt::test]
async fn a_large_job_takes_several_rows_and_stops_no_other_job() {
    let mut fleet = Fleet::start_with_row_bytes(2, 2, 1_024).await;
    let ids = ids(3);
    fleet.submit(0, &ids[0], &large_job(400, 2_500)).await;
    fleet.submit(0, &ids[1], &job(3, 100)).await;
    fleet.wait_until_completed(&ids[1..2]).await;
    let scheduler = fleet.scheduler();
    let rows = fleet.store.values("progress");
    let of_large = rows.iter().filter(|(key, _)| key.starts_with(&ids[0]));
    assert!(of_large.count() > 1, "the record takes several rows");
    fleet.entries[scheduler].1.restart();
    fleet.wait_until_ready().await;
    fleet.submit(1, &ids[2], &job(3, 100)).await;
    fleet.wait_until_completed(&ids).await;
    assert_eq!(fleet.executions().len(), 400 + 2 * 6);
    assert_eq!(fleet.store.refused(), Vec::<String>::new());
    fleet.assert_no_duplicate_runs();
    let started = Instant::now();
    while !fleet.store.values("progress").is_empty() {
        assert!(started.elapsed() < WAIT_LIMIT, "rows of ended jobs stay");
        sleep_ms(100).await;
    }
}

/// Guards against a job whose progress the store refuses, and that thereby stops every other job,
/// under this scheduler and the next. The entries' settings state a limit that is too high.
#[actix_rt::test]
async fn a_job_whose_progress_the_store_refuses_fails_and_stops_no_other_job() {
    let mut fleet = Fleet::start(2, 2).await;
    fleet.store.set_row_bytes(1_500);
    let ids = ids(3);
    fleet.submit(0, &ids[0], &large_job(200, 1_500)).await;
    fleet.submit(1, &ids[1], &job(3, 100)).await;
    fleet.wait_until_completed(&ids[1..2]).await;
    let scheduler = fleet.scheduler();
    fleet.entries[scheduler].1.restart();
    fleet.wait_until_ready().await;
    fleet.submit(1, &ids[2], &job(3, 100)).await;
    fleet.wait_until_completed(&ids[2..]).await;
    for entry in 0..2 {
        assert_eq!(fleet.state(entry, &ids[0]).await, "failed");
    }
    sleep_ms(1_000).await;
    let executions = fleet.executions();
    assert!(executions.iter().all(|run| run.ended.is_some()));
    fleet.assert_no_duplicate_runs();
}

/// Guards against a job whose specification no row can hold and that is answered as if a repetition
/// could help.
#[actix_rt::test]
async fn a_job_that_no_row_can_hold_is_refused_at_once() {
    let fleet = Fleet::start_with_row_bytes(1, 1, 1_024).await;
    let id = &ids(1)[0];
    let mut large = job(1, 100);
    let step = large["steps"][0].clone();
    large["steps"]
        .as_array_mut()
        .unwrap()
        .extend(vec![step; 20]);
    assert_eq!(fleet.call("POST", 0, id, &large).await.0, 400);
    assert_eq!(fleet.state(0, id).await, "", "the job is not known");
    assert_eq!(fleet.submit(0, id, &job(1, 100)).await, 200);
    fleet.wait_until_completed(std::slice::from_ref(id)).await;
}
