//! Return to service of a failure domain with a worker that is slow after a restart: real processes with
//! stand-ins of the platform.

mod common;

use common::flow_fleet::{Fleet, ids};
use common::{sleep_ms, wait_until};
use platform_standin::sized_job;
use std::time::{Duration, Instant};

/// Time after the request from which nothing may start in the domain, in milliseconds.
const BOUND_MS: u64 = 2_500;
/// For how long the worker is slow, in milliseconds.
const COLD_MS: u64 = 8_000;
/// Tasks that a worker has room for.
const WORKER_TASKS: usize = 16;

/// Guards against a scheduler that does not ask how long the workers of a domain that returns are slow, so that
/// they take a long queue at once, and against one that holds them back for longer.
#[actix_rt::test]
async fn a_cold_worker_takes_a_queue_by_and_by_and_a_warm_one_at_once() {
    let fleet = Fleet::start_in_zones(1, 2, &["d1", "d2"], BOUND_MS).await;
    let (cold, warm) = (&fleet.workers[0], &fleet.workers[1]);
    let is_evacuated = async |evacuations: u32| {
        let line = format!("parsleythread_flow_evacuations {evacuations}\n");
        fleet.metrics(0).await.contains(&line)
    };
    fleet.store.evacuate("d1");
    wait_until("the request is read", async || is_evacuated(1).await).await;
    let warm_at = Instant::now() + Duration::from_millis(COLD_MS);
    cold.set_cold_until(warm_at);
    // A heartbeat reports it.
    sleep_ms(1_500).await;
    let returned = Instant::now();
    fleet.store.end_evacuation("d1");
    wait_until("its end is read", async || is_evacuated(0).await).await;
    let job = sized_job(3 * WORKER_TASKS, 1_000, 30_000);
    assert_eq!(fleet.submit(0, &ids(1)[0], &job).await, 200);
    wait_until("the warm worker is full", async || {
        warm.executions().len() == WORKER_TASKS
    })
    .await;
    while Instant::now() < warm_at {
        let started = cold.executions().len();
        let share = returned.elapsed().as_secs_f64() / (warm_at - returned).as_secs_f64();
        let most = (share * WORKER_TASKS as f64).max(1.0);
        assert!(
            started as f64 <= most,
            "{started} tasks start at a share of {share:.2}"
        );
        sleep_ms(100).await;
    }
    wait_until("the worker that was cold is full", async || {
        cold.executions().len() == WORKER_TASKS
    })
    .await;
}
