//! Workers that can't be reached any more: real processes with stand-ins of the platform.

mod common;

use common::flow_fleet::{Fleet, ids};
use common::sleep_ms;
use platform_standin::job;

/// Run time of a task, in milliseconds; longer than a lease.
const TASK_MS: u64 = 6_000;

/// Submits jobs that outlast a lease until each of two workers has runs, and returns their ids.
async fn occupy_both_workers(fleet: &Fleet) -> Vec<String> {
    let jobs = ids(2);
    for id in &jobs {
        assert_eq!(fleet.submit(0, id, &job(4, TASK_MS)).await, 200);
    }
    for worker in &fleet.workers {
        while worker.executions().is_empty() {
            sleep_ms(20).await;
        }
    }
    jobs
}

/// Guards against tasks that are never started again because each unanswered poll of their worker's
/// agent, whose connections hang, extends the time until its leases count as expired.
#[actix_rt::test]
async fn tasks_of_a_worker_whose_agent_hangs_run_elsewhere() {
    let fleet = Fleet::start(2, 2).await;
    let jobs = occupy_both_workers(&fleet).await;
    fleet.agents[1].1.process.signal("STOP");
    fleet.wait_until_completed(&jobs).await;
    fleet.assert_no_duplicate_runs();
}

/// Guards against the same where connections to the agent are refused, so that no poll can reach it.
#[actix_rt::test]
async fn tasks_of_a_worker_whose_agent_is_gone_run_elsewhere() {
    let mut fleet = Fleet::start(2, 2).await;
    let jobs = occupy_both_workers(&fleet).await;
    fleet.agents[1].1.process.kill();
    fleet.wait_until_completed(&jobs).await;
    fleet.assert_no_duplicate_runs();
}
