//! A short seeded soak of the real program, and the seeds that once failed.

use soak::{Options, Spans};
use std::time::Duration;

/// Longest time for a refusal.
const REFUSAL_LIMIT: Duration = Duration::from_secs(3);

async fn soak(seed: u64, agents: usize, faults: usize, load_ms: u64) {
    let folder = tempfile::tempdir().unwrap();
    let options = Options {
        program: env!("CARGO_BIN_EXE_parsleythread").into(),
        folder: folder.path().to_owned(),
        entries: 3,
        agents,
        faults,
        spans: Spans::of(load_ms),
    };
    let outcome = soak::run(seed, &options).await.unwrap();
    assert!(outcome.accepted > 0, "something was accepted");
    assert!(
        outcome.breaches.is_empty(),
        "seed {seed}: {:?} under {:?}",
        outcome.breaches,
        outcome.faults
    );
    let slowest = Duration::from_millis(outcome.slowest_refusal_ms);
    assert!(slowest < REFUSAL_LIMIT, "a refusal took {slowest:?}");
}

#[actix_rt::test]
async fn seeded_faults_break_no_promise() {
    for seed in 1..=3 {
        soak(seed, 3, 4, 4_000).await;
    }
}

/// A worker that began another life got the old life's number of ends as acknowledged, and forgot
/// successes of its new life that nobody had read: two tasks ran again.
#[actix_rt::test]
async fn seed_22_a_worker_that_begins_another_life() {
    soak(22, 4, 7, 10_000).await;
}
