//! Flows on the platform: real processes with stand-ins that speak the platform's protocol.

mod common;

use common::flow_fleet::{Fleet, WAIT_LIMIT, ids};
use common::sleep_ms;
use platform_standin::job;
use platform_standin::store::StoreMode;
use serde_json::{Value, json};
use std::time::{Duration, Instant};

/// Guards against a repeated submission that runs twice, a step that starts before the previous one
/// has ended, and entries that report different states.
#[actix_rt::test]
async fn a_job_is_accepted_once_runs_in_order_and_is_shown_at_every_entry() {
    let fleet = Fleet::start(2, 2).await;
    let id = &ids(1)[0];
    assert_eq!(fleet.submit(0, id, &job(3, 200)).await, 200);
    assert_eq!(
        fleet.submit(1, id, &job(3, 200)).await,
        200,
        "a repeat is the same job"
    );
    fleet.wait_until_completed(std::slice::from_ref(id)).await;
    assert_eq!(fleet.state(1, id).await, "completed");
    assert_eq!(fleet.executions().len(), 6);
    let run_times = |step: &str| {
        let runs = fleet.executions().into_iter();
        let runs = runs.filter(|run| run.task.split('.').nth(2) == Some(step));
        runs.map(|run| (run.started, run.ended.unwrap()))
            .collect::<Vec<_>>()
    };
    let first_ended = run_times("0")
        .into_iter()
        .map(|(_, ended)| ended)
        .max()
        .unwrap();
    assert!(
        run_times("1")
            .iter()
            .all(|(started, _)| *started >= first_ended)
    );
    fleet.assert_no_duplicate_runs();
}

/// Guards against calls with an unknown job, an invalid id or a job without steps that get the wrong
/// status, and against a wrong length of an empty queue.
#[actix_rt::test]
async fn wrong_calls_get_the_matching_status() {
    let fleet = Fleet::start(1, 1).await;
    let id = &ids(1)[0];
    let unknown = fleet.call("GET", 0, id, &Value::Null).await;
    assert_eq!(unknown.0, 410);
    assert_eq!(fleet.call("DELETE", 0, id, &Value::Null).await.0, 410);
    assert_eq!(
        fleet.call("POST", 0, id, &json!({ "steps": [] })).await.0,
        400
    );
    assert_eq!(
        fleet.call("POST", 0, "not-an-id", &job(1, 100)).await.0,
        404
    );
    let waiting = fleet.call("GET", 0, "", &Value::Null).await;
    assert_eq!(waiting, (200, json!({ "waiting": 0 })));
}

/// Guards against tasks that still run 700 ms after their job was cancelled through another entry.
#[actix_rt::test]
async fn a_cancelled_job_stops_at_once() {
    let fleet = Fleet::start(2, 2).await;
    let id = &ids(1)[0];
    fleet.submit(0, id, &job(2, 20_000)).await;
    let started = Instant::now();
    while fleet.executions().len() < 2 {
        assert!(started.elapsed() < WAIT_LIMIT);
        sleep_ms(20).await;
    }
    assert_eq!(fleet.call("DELETE", 1, id, &Value::Null).await.0, 200);
    sleep_ms(700).await;
    assert_eq!(fleet.state(0, id).await, "cancelled");
    let executions = fleet.executions();
    assert!(
        executions.iter().all(|run| run.outcome == "stopped"),
        "{executions:?}"
    );
}

/// Guards against SIGHUP, which by default ends a process, ending an entry or an agent.
#[actix_rt::test]
async fn a_hangup_signal_ends_no_process() {
    let mut fleet = Fleet::start(1, 1).await;
    fleet.entries[0].1.process.signal("HUP");
    fleet.agents[0].1.process.signal("HUP");
    sleep_ms(500).await;
    let (entry, agent) = (&mut fleet.entries[0].1, &mut fleet.agents[0].1);
    assert!(
        entry.process.child.try_wait().unwrap().is_none(),
        "the entry still runs"
    );
    assert!(
        agent.process.child.try_wait().unwrap().is_none(),
        "the agent still runs"
    );
    let id = &ids(1)[0];
    fleet.submit(0, id, &job(1, 100)).await;
    fleet.wait_until_completed(std::slice::from_ref(id)).await;
}

/// Guards against accepted jobs that are lost or run twice when the scheduler is killed.
#[actix_rt::test]
async fn a_killed_scheduler_is_replaced_without_lost_or_duplicate_runs() {
    let mut fleet = Fleet::start(3, 3).await;
    let ids = ids(12);
    for (number, id) in ids.iter().enumerate() {
        assert_eq!(fleet.submit(number % 3, id, &job(3, 400)).await, 200);
    }
    let scheduler = fleet.scheduler();
    fleet.entries[scheduler].1.process.kill();
    sleep_ms(300).await;
    fleet.entries[scheduler].1.restart();
    fleet.wait_until_ready().await;
    fleet.wait_until_completed(&ids).await;
    fleet.assert_no_duplicate_runs();
}

/// Guards against accepted jobs that are lost or run twice when all entries and agents are killed
/// at once while the workers keep running.
#[actix_rt::test]
async fn everything_killed_at_once_recovers_and_finishes() {
    let mut fleet = Fleet::start(2, 3).await;
    let ids = ids(8);
    for id in &ids {
        fleet.submit(0, id, &job(3, 500)).await;
    }
    for (_, node) in &mut fleet.entries {
        node.process.kill();
    }
    for (_, node) in &mut fleet.agents {
        node.process.kill();
    }
    sleep_ms(500).await;
    for (_, node) in &mut fleet.entries {
        node.restart();
    }
    for (_, node) in &mut fleet.agents {
        node.restart();
    }
    fleet.wait_until_ready().await;
    fleet.wait_until_completed(&ids).await;
    fleet.assert_no_duplicate_runs();
}

/// Guards against a submission that hangs while the store is unavailable, and against a refused job
/// that runs later.
#[actix_rt::test]
async fn without_the_store_a_job_is_refused_at_once_with_a_retry_after() {
    let fleet = Fleet::start(2, 2).await;
    let ids = ids(3);
    fleet.submit(0, &ids[0], &job(2, 1_500)).await;
    sleep_ms(300).await;
    fleet.store.set_mode(StoreMode::Busy);
    sleep_ms(900).await;
    let began = Instant::now();
    let (status, refusal) = fleet.call("POST", 0, &ids[1], &job(1, 100)).await;
    assert_eq!(
        (status, refusal["retry_after_s"].as_str()),
        (503, Some("1"))
    );
    assert!(
        began.elapsed() < Duration::from_millis(400),
        "{:?}",
        began.elapsed()
    );
    sleep_ms(2_000).await;
    fleet.store.set_mode(StoreMode::Up);
    fleet.submit(1, &ids[2], &job(1, 100)).await;
    fleet
        .wait_until_completed(&[ids[0].clone(), ids[2].clone()])
        .await;
    sleep_ms(300).await;
    let refused = fleet
        .executions()
        .into_iter()
        .any(|run| run.task.starts_with(&ids[1]));
    assert!(!refused, "a refused job never runs");
    fleet.assert_no_duplicate_runs();
}

/// Guards against jobs that are lost or run twice when the store carries out writes but never
/// answers.
#[actix_rt::test]
async fn a_store_that_loses_answers_neither_loses_nor_duplicates_a_job() {
    let fleet = Fleet::start(2, 2).await;
    let ids = ids(4);
    fleet.store.set_mode(StoreMode::LosesAnswers);
    let calls = ids.iter().map(|id| async {
        let (status, _) = fleet.call("POST", 0, id, &job(1, 200)).await;
        status
    });
    let statuses = futures::future::join_all(calls);
    let up = async {
        sleep_ms(1_500).await;
        fleet.store.set_mode(StoreMode::Up);
    };
    let (statuses, ()) = futures::join!(statuses, up);
    assert!(
        statuses.iter().all(|status| matches!(status, 200 | 504)),
        "{statuses:?}"
    );
    for id in &ids {
        assert_eq!(fleet.submit(1, id, &job(1, 200)).await, 200);
    }
    fleet.wait_until_completed(&ids).await;
    assert_eq!(fleet.executions().len(), 8);
    fleet.assert_no_duplicate_runs();
}

/// Guards against a second run of a task whose start a worker carried out without an answer.
#[actix_rt::test]
async fn a_start_that_is_carried_out_without_an_answer_runs_once() {
    let fleet = Fleet::start(1, 2).await;
    for worker in &fleet.workers {
        worker.lose_next_start();
    }
    let ids = ids(3);
    for id in &ids {
        fleet.submit(0, id, &job(2, 300)).await;
    }
    fleet.wait_until_completed(&ids).await;
    fleet.assert_no_duplicate_runs();
}

/// Guards against run ends of a restarted worker that are removed before they are read, because the
/// old incarnation's number of acknowledged ends is applied to the new one; the tasks then run
/// again.
#[actix_rt::test]
async fn an_unread_end_of_a_new_worker_incarnation_is_retained() {
    let fleet = Fleet::start(1, 1).await;
    let ids = ids(2);
    fleet.submit(0, &ids[0], &job(2, 100)).await;
    fleet.wait_until_completed(&ids[..1]).await;
    // Without heartbeats the agent learns of the new incarnation only from the worker's lists.
    fleet.workers[0].set_muted(true);
    sleep_ms(300).await;
    fleet.workers[0].crash();
    fleet.submit(0, &ids[1], &job(2, 100)).await;
    sleep_ms(1_500).await;
    fleet.workers[0].set_muted(false);
    fleet.wait_until_completed(&ids).await;
    let acknowledged = fleet
        .executions()
        .into_iter()
        .filter(|run| run.is_acknowledged);
    let mut done: Vec<String> = acknowledged.map(|run| run.task).collect();
    let count = done.len();
    done.sort();
    done.dedup();
    assert_eq!(
        done.len(),
        count,
        "no task ran again after an acknowledged success"
    );
}

/// Guards against new runs on a worker that announces that it is draining.
#[actix_rt::test]
async fn a_draining_worker_gets_no_new_run() {
    let fleet = Fleet::start(1, 2).await;
    fleet.workers[0].drain();
    sleep_ms(600).await;
    let ids = ids(4);
    for id in &ids {
        fleet.submit(0, id, &job(2, 100)).await;
    }
    fleet.wait_until_completed(&ids).await;
    assert_eq!(fleet.workers[0].executions().len(), 0);
    assert_eq!(fleet.workers[1].executions().len(), 16);
}
