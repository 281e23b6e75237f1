//! Workers that crash and return under their id, before anybody has noticed.

mod common;

use common::flow_fleet::{Fleet, ids};
use common::sleep_ms;
use platform_standin::sized_job;
use standin::RelayMode;

/// Time for which the returned worker sends no heartbeat, in milliseconds.
const BEFORE_HEARTBEAT_MS: u64 = 1_200;
/// Time for which the worker is dark, in milliseconds.
const DARK_MS: u64 = 250;

/// Lets the first worker go dark and return under its id, and submits a job before its first
/// heartbeat. The open connections between agent and worker stay silent.
async fn return_and_submit(fleet: &Fleet, id: &str, tasks: usize) {
    let (worker, relay) = (&fleet.workers[0], &fleet.relays[0]);
    worker.set_muted(true);
    relay.set_mode(RelayMode::SilenceOpen);
    sleep_ms(DARK_MS).await;
    worker.crash();
    sleep_ms(50).await;
    fleet.submit(0, id, &sized_job(tasks, 500, 100)).await;
    sleep_ms(BEFORE_HEARTBEAT_MS).await;
    worker.set_muted(false);
}

/// Guards against tasks that start again after their success, because orders for a worker's former
/// incarnation are carried out by the one that returned under its id, and its ends are acknowledged
/// by numbers of the former one.
#[actix_rt::test]
async fn no_task_runs_again_after_a_worker_returned_under_its_id() {
    let fleet = Fleet::start_behind_relays(1, 2).await;
    let ids = ids(5);
    fleet.submit(0, &ids[0], &sized_job(8, 500, 100)).await;
    fleet.wait_until_completed(&ids[..1]).await;
    // The number of idle connections to the worker differs from round to round.
    for (id, tasks) in ids[1..].iter().zip([12, 24, 48, 96]) {
        return_and_submit(&fleet, id, tasks).await;
        fleet.wait_until_completed(std::slice::from_ref(id)).await;
    }
    fleet.assert_no_duplicate_runs();
}

/// Guards against the same where the agent restarts, and the scheduler changes, before the worker's
/// return is noticed.
#[actix_rt::test]
async fn no_task_runs_again_after_agent_and_scheduler_changed_as_well() {
    let mut fleet = Fleet::start_behind_relays(2, 2).await;
    let ids = ids(4);
    fleet.submit(0, &ids[0], &sized_job(8, 500, 100)).await;
    fleet.wait_until_completed(&ids[..1]).await;
    for round in 1..4 {
        return_and_submit(&fleet, &ids[round], 24).await;
        if round != 2 {
            fleet.agents[0].1.restart();
        }
        if round != 1 {
            let scheduler = fleet.scheduler();
            fleet.entries[scheduler].1.restart();
        }
        fleet.wait_until_ready().await;
        fleet.wait_until_completed(&ids[..=round]).await;
    }
    fleet.assert_no_duplicate_runs();
}
