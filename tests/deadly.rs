//! Tasks that crash the workers that start them, and workers whose room shrinks: real processes with
//! stand-ins that speak the platform's protocol.

mod common;

use common::flow_fleet::{Fleet, WAIT_LIMIT, ids};
use common::sleep_ms;
use platform_standin::{deadly_job, job};
use std::time::{Duration, Instant};

/// Most starts of a task that crashes its workers, by the platform's pages: after three workers
/// have crashed under it, it must not be started three times more.
const MAX_STARTS: usize = 5;
/// Time after which a smaller room counts, by the platform's pages: `stabilityWindowMs` and one
/// heartbeat.
const SHRUNK_AFTER: Duration = Duration::from_millis(3_200);

/// Waits until the entry shows the job in this state.
async fn wait_for_state(fleet: &Fleet, id: &str, state: &str) {
    let started = Instant::now();
    loop {
        let found = fleet.state(0, id).await;
        if found == state {
            return;
        }
        assert!(started.elapsed() < WAIT_LIMIT, "{id} is {found}");
        sleep_ms(50).await;
    }
}

/// Number of starts of a job's tasks.
fn starts(fleet: &Fleet, id: &str) -> usize {
    let executions = fleet.executions().into_iter();
    executions.filter(|run| run.task.starts_with(id)).count()
}

/// Guards against a task that crashes worker after worker, also when the scheduler that has seen its
/// first crash is killed, and against jobs beside it that are lost or given up.
#[actix_rt::test]
async fn a_deadly_job_is_given_up_while_the_scheduler_changes() {
    let mut fleet = Fleet::start(2, 5).await;
    let ids = ids(9);
    for id in &ids[1..5] {
        assert_eq!(fleet.submit(0, id, &job(2, 500)).await, 200);
    }
    assert_eq!(fleet.submit(0, &ids[0], &deadly_job()).await, 200);
    let started = Instant::now();
    while starts(&fleet, &ids[0]) == 0 {
        assert!(started.elapsed() < WAIT_LIMIT, "it does not start");
        sleep_ms(5).await;
    }
    sleep_ms(100).await;
    let scheduler = fleet.scheduler();
    fleet.entries[scheduler].1.restart();
    fleet.wait_until_ready().await;
    for id in &ids[5..] {
        assert_eq!(fleet.submit(1, id, &job(2, 500)).await, 200);
    }
    wait_for_state(&fleet, &ids[0], "failed").await;
    let starts = starts(&fleet, &ids[0]);
    assert!(starts <= MAX_STARTS, "{starts} starts");
    fleet.wait_until_completed(&ids[1..]).await;
    fleet.assert_no_duplicate_runs();
}

/// Guards against starts that bring a worker over its room after the room has shrunk, and against a
/// room that has grown again and is not used.
#[actix_rt::test]
async fn a_room_that_shrinks_and_grows_again_is_not_exceeded() {
    let fleet = Fleet::start(1, 1).await;
    let worker = &fleet.workers[0];
    worker.set_processors(1_000);
    tokio::time::sleep(SHRUNK_AFTER).await;
    let ids = ids(2);
    fleet.submit(0, &ids[0], &job(6, 400)).await;
    fleet.wait_until_completed(&ids[..1]).await;
    assert_eq!(most_at_once(&fleet, &ids[0]), 2);
    worker.set_processors(16_000);
    fleet.submit(0, &ids[1], &job(6, 1_500)).await;
    fleet.wait_until_completed(&ids[1..]).await;
    assert_eq!(most_at_once(&fleet, &ids[1]), 6);
}

/// Largest number of a job's runs that ran at once.
fn most_at_once(fleet: &Fleet, id: &str) -> usize {
    let executions = fleet.executions().into_iter();
    let runs: Vec<_> = executions.filter(|run| run.task.starts_with(id)).collect();
    let at_once = runs.iter().map(|run| {
        let overlaps = |other: &&_| {
            let other: &platform_standin::worker::Execution = other;
            other.started <= run.started && other.ended.is_none_or(|ended| ended > run.started)
        };
        runs.iter().filter(overlaps).count()
    });
    at_once.max().unwrap_or(0)
}
