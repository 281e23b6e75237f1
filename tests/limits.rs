//! Jobs that ask for more than a limit allows: real processes with stand-ins for the platform.

mod common;

use common::flow_fleet::{Fleet, WAIT_LIMIT, ids};
use common::sleep_ms;
use platform_standin::{job, one_step_job as one_step, refused_bodies};
use serde_json::Value;
use std::time::{Duration, Instant};

/// Most memory that an entry of a debug build may have used, in kibibytes.
const MAX_PEAK_KIB: u64 = 64 * 1_024;

/// Field of the status of an entry's process, in kibibytes; the entry must not have ended.
fn status_kib(fleet: &mut Fleet, entry: usize, field: &str) -> u64 {
    let child = &mut fleet.entries[entry].1.process.child;
    assert!(child.try_wait().unwrap().is_none(), "an entry has ended");
    let status = std::fs::read_to_string(format!("/proc/{}/status", child.id())).unwrap();
    let value = status.lines().find_map(|line| line.strip_prefix(field));
    let value = value.and_then(|value| value.split_whitespace().nth(1)?.parse().ok());
    value.expect("the memory of the process is known")
}

/// Asserts that no entry has ended or has used much memory.
fn assert_entries_are_small(fleet: &mut Fleet) {
    for entry in 0..fleet.entries.len() {
        let peak_kib = status_kib(fleet, entry, "VmHWM");
        assert!(peak_kib < MAX_PEAK_KIB, "an entry used {peak_kib} KiB");
    }
}

/// Waits until an entry shows a job in this state.
async fn wait_for_state(fleet: &Fleet, id: &str, state: &str) {
    let started = Instant::now();
    while fleet.state(0, id).await != state {
        assert!(
            started.elapsed() < WAIT_LIMIT,
            "{id} is {}",
            fleet.state(0, id).await
        );
        sleep_ms(50).await;
    }
}

/// Guards against a step of two million tasks that is accepted, after which each scheduler exceeds
/// its memory, and all jobs of all callers stop.
#[actix_rt::test]
async fn a_job_beyond_a_limit_is_refused_at_once_and_others_complete() {
    let mut fleet = Fleet::start(2, 2).await;
    let ids = ids(3);
    assert_eq!(fleet.submit(0, &ids[0], &job(3, 300)).await, 200);
    let began = Instant::now();
    let (status, refusal) = fleet
        .call("POST", 0, &ids[1], &one_step(2_000_000, ""))
        .await;
    assert!(began.elapsed() < Duration::from_millis(400));
    assert_eq!(
        (status, refusal["text"].as_str()),
        (
            400,
            Some("steps[0].count: 2000000 exceeds the limit of 10000")
        )
    );
    assert_eq!(
        fleet.call("GET", 1, &ids[1], &Value::Null).await.0,
        410,
        "a refused job is stored nowhere"
    );
    assert_eq!(fleet.submit(1, &ids[2], &job(3, 300)).await, 200);
    fleet
        .wait_until_completed(&[ids[0].clone(), ids[2].clone()])
        .await;
    assert_entries_are_small(&mut fleet);
}

/// Guards against a job of two million tasks, accepted by an earlier version, that ends each
/// scheduler that loads it.
#[actix_rt::test]
async fn a_stored_job_beyond_the_limits_fails_and_no_scheduler_ends() {
    let mut fleet = Fleet::start(2, 2).await;
    let ids = ids(3);
    // No worker has this label, so that the job waits.
    for id in &ids[..2] {
        assert_eq!(fleet.submit(0, id, &one_step(3, "nowhere")).await, 200);
    }
    for (_, node) in &mut fleet.entries {
        node.process.kill();
    }
    for (id, value) in fleet.store.values("flows") {
        let part = fleet.store.part_of("flows", &id);
        let grown = value.replace("\"tasks\":3,", "\"tasks\":2000000,");
        assert_ne!(grown, value);
        fleet.store.put("flows", &part, &id, &grown);
    }
    for (_, node) in &mut fleet.entries {
        node.restart();
    }
    fleet.wait_until_ready().await;
    assert_eq!(fleet.submit(1, &ids[2], &job(3, 300)).await, 200);
    fleet
        .wait_until_completed(std::slice::from_ref(&ids[2]))
        .await;
    wait_for_state(&fleet, &ids[0], "failed").await;
    assert_eq!(fleet.call("DELETE", 1, &ids[1], &Value::Null).await.0, 200);
    assert_entries_are_small(&mut fleet);
}

/// Guards against bodies and headers with huge numbers, deep nesting or many bytes that end an
/// entry, overflow its sums, or get another answer than a refusal.
#[actix_rt::test]
async fn bodies_that_ask_for_too_much_are_refused_and_end_no_entry() {
    let mut fleet = Fleet::start(1, 1).await;
    let front = fleet.entries[0].0.front;
    let bodies = refused_bodies();
    let ids = ids(bodies.len() + 1);
    for (id, body) in ids.iter().zip(bodies) {
        let start: String = body.chars().take(60).collect();
        let status = fleet.caller.submit_text(front, id, body, 3_000).await;
        assert_eq!(status, 400, "{start}");
    }
    let body = job(1, 100).to_string();
    let id = &ids[ids.len() - 1];
    let status = fleet.caller.submit_text(front, id, body, u64::MAX).await;
    assert_eq!(status, 200);
    fleet.wait_until_completed(std::slice::from_ref(id)).await;
    assert_entries_are_small(&mut fleet);
}

/// Guards against memory of the scheduler that grows with the tasks that jobs declare. Prints the
/// figures of docs/CAPACITY.md; run it with `--release -- --nocapture` for these.
#[actix_rt::test]
async fn the_memory_of_an_entry_does_not_grow_with_the_tasks_declared() {
    const JOBS: usize = 40;
    let mut resident_kib = Vec::new();
    for count in [36, 4_000, 10_000] {
        let mut fleet = Fleet::start(1, 1).await;
        let before_kib = status_kib(&mut fleet, 0, "VmRSS");
        for id in &ids(JOBS) {
            assert_eq!(fleet.submit(0, id, &one_step(count, "nowhere")).await, 200);
        }
        sleep_ms(1_000).await;
        let after_kib = status_kib(&mut fleet, 0, "VmRSS");
        let peak_kib = status_kib(&mut fleet, 0, "VmHWM");
        println!("{JOBS} jobs of {count} tasks: {before_kib} to {after_kib} KiB, peak {peak_kib}");
        resident_kib.push(after_kib);
        assert_entries_are_small(&mut fleet);
    }
    let growth_kib = resident_kib[2].saturating_sub(resident_kib[0]);
    assert!(growth_kib < 4_096, "{resident_kib:?} KiB");
}
