//! Jobs that can't end in time are refused: real processes with stand-ins for the platform.

mod common;

use common::flow_fleet::{Fleet, WAIT_LIMIT};
use common::sleep_ms;
use platform_standin::{job, one_step_job};
use serde_json::Value;
use std::time::Instant;

/// Time after which an entry no longer uses what a scheduler said, with room for a busy machine, in
/// milliseconds.
const FORGOTTEN_MS: u64 = 2_300;

/// A job that fills a worker of 16 processors for a minute, with as many tasks left over.
fn filling_job() -> Value {
    job(64, 60_000)
}

/// Starts two entries and a worker, fills the worker, and submits small jobs to the entry that is not the
/// scheduler until one is refused. Returns this entry and the job's identifier.
async fn start_full() -> (Fleet, usize, String) {
    let fleet = Fleet::start_with_admission(2, 1).await;
    let filling = fleet.submit(0, "00000000000000ff", &filling_job()).await;
    assert_eq!(filling, 200);
    let entry = 1 - fleet.scheduler();
    let started = Instant::now();
    for number in 0.. {
        let id = format!("{number:016x}");
        let (status, answer) = fleet.call("POST", entry, &id, &one_step_job(1, "")).await;
        if status == 429 {
            let retry_after_s: u32 = answer["retry_after_s"].as_str().unwrap().parse().unwrap();
            assert!((1..=30).contains(&retry_after_s), "{answer}");
            return (fleet, entry, id);
        }
        assert_eq!(status, 200, "{answer}");
        assert!(started.elapsed() < WAIT_LIMIT, "nothing is refused");
        sleep_ms(100).await;
    }
    unreachable!("the loop ends by a refusal or by the limit");
}

/// Guards against a refused job that runs after all, and a stored one that is refused.
#[actix_rt::test]
async fn a_job_that_is_refused_is_not_in_the_store() {
    let (fleet, entry, refused) = start_full().await;
    let rows = fleet.store.values("flows");
    let is_stored = |id: &str| rows.iter().any(|(key, _)| key.ends_with(id));
    assert!(!is_stored(&refused) && is_stored("00000000000000ff"));
    for other in 0..2 {
        let (status, _) = fleet.call("GET", other, &refused, &Value::Null).await;
        assert_eq!(status, 410, "a refused job is not known");
        let again = fleet
            .call("POST", other, "00000000000000ff", &filling_job())
            .await;
        assert_eq!(again.0, 200, "a stored job is accepted again: {again:?}");
    }
    let own = fleet
        .call("POST", 1 - entry, "00000000000000ee", &one_step_job(1, ""))
        .await;
    assert_eq!(own.0, 429, "the scheduler refuses too: {own:?}");
    sleep_ms(1_000).await;
    let runs = fleet.executions();
    assert!(runs.iter().all(|run| !run.task.starts_with(&refused)));
}

/// Guards against refusals by what a scheduler said before it was paused.
#[actix_rt::test]
async fn a_paused_scheduler_means_that_jobs_are_accepted() {
    let (fleet, entry, refused) = start_full().await;
    let scheduler = &fleet.entries[1 - entry].1.process;
    scheduler.signal("STOP");
    sleep_ms(FORGOTTEN_MS).await;
    let (status, answer) = fleet
        .call("POST", entry, &refused, &one_step_job(1, ""))
        .await;
    scheduler.signal("CONT");
    assert_eq!(status, 200, "{answer}");
}

/// Guards against refusals by what a scheduler said before it was killed.
#[actix_rt::test]
async fn a_lost_scheduler_means_that_jobs_are_accepted() {
    let (mut fleet, entry, refused) = start_full().await;
    fleet.entries[1 - entry].1.process.kill();
    sleep_ms(FORGOTTEN_MS).await;
    let (status, answer) = fleet
        .call("POST", entry, &refused, &one_step_job(1, ""))
        .await;
    assert_eq!(status, 200, "{answer}");
}
