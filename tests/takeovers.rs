//! Workers that are lost together with the scheduler: real processes with stand-ins of the platform.

mod common;

use common::flow_fleet::{Fleet, ids};
use common::sleep_ms;
use platform_standin::job;
use std::time::{Duration, Instant};

/// Longest lease that the workers grant, in milliseconds.
const LONGEST_LEASE_MS: u64 = 10_000;
/// Run time of a task, in milliseconds; longer than the tests take.
const TASK_MS: u64 = 60_000;
/// Most jobs that are submitted until both workers have runs.
const MAX_JOBS: usize = 20;
/// Time from the loss of a worker until its tasks have to run again, by the platform's pages.
const AGAIN_AFTER_WORKER: Duration = Duration::from_secs(9);
/// The same from the loss of another process: four calm seconds, and three without a run.
const AGAIN_AFTER_SCHEDULER: Duration = Duration::from_secs(7);

/// Starts three entries and two workers, and submits jobs until both workers have runs.
async fn start_busy() -> Fleet {
    let fleet = Fleet::start_with_longest_lease(3, 2, LONGEST_LEASE_MS).await;
    for id in &ids(MAX_JOBS) {
        if fleet
            .workers
            .iter()
            .all(|worker| !worker.executions().is_empty())
        {
            break;
        }
        assert_eq!(fleet.submit(0, id, &job(2, TASK_MS)).await, 200);
        sleep_ms(200).await;
    }
    // The first scheduler waits for leases that others may have granted before it.
    sleep_ms(LONGEST_LEASE_MS).await;
    fleet
}

/// Loses the second worker with its agent, and the scheduler's process after `delay_ms`. Asserts that
/// all tasks of that worker run on the other one in time.
async fn assert_tasks_run_in_time(delay_ms: u64) {
    let mut fleet = start_busy().await;
    let lost: Vec<String> = fleet.workers[1]
        .executions()
        .into_iter()
        .map(|run| run.task)
        .collect();
    assert!(!lost.is_empty(), "the second worker has runs");
    fleet.agents[1].1.process.kill();
    fleet.workers[1].crash();
    let worker_lost = Instant::now();
    sleep_ms(delay_ms).await;
    let scheduler = fleet.scheduler();
    fleet.entries[scheduler].1.process.kill();
    let until = (worker_lost + AGAIN_AFTER_WORKER).max(Instant::now() + AGAIN_AFTER_SCHEDULER);
    let is_back = |task: &String| {
        fleet.workers[0]
            .executions()
            .iter()
            .any(|run| run.task == *task)
    };
    while !lost.iter().all(is_back) {
        assert!(Instant::now() < until, "{lost:?} don't run");
        sleep_ms(20).await;
    }
    fleet.assert_no_duplicate_runs();
}

/// Guards against tasks of a lost worker that wait for the longest lease that any worker may hold,
/// because the scheduler was lost in the same moment.
#[actix_rt::test]
async fn tasks_run_in_time_when_a_worker_and_the_scheduler_are_lost_at_once() {
    assert_tasks_run_in_time(0).await;
}

/// Guards against the same where the scheduler is lost after it has noticed the loss of the worker,
/// whose leases then end as if it had stayed.
#[actix_rt::test]
async fn tasks_run_in_time_when_the_scheduler_is_lost_after_a_worker() {
    assert_tasks_run_in_time(3_000).await;
}
