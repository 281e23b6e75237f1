//! A short seeded soak of the real program, and seeds that failed before as regression tests.

use soak::{Options, PhaseDurations};
use std::path::PathBuf;
use std::time::Duration;

/// Longest time that a refusal may take.
const REFUSAL_LIMIT: Duration = Duration::from_secs(3);

/// Runs one seed with three entries and asserts that no promise was broken.
async fn soak(seed: u64, agents: usize, faults: usize, load_ms: u64, deadly_percent: u64) {
    let options = Options {
        program: env!("CARGO_BIN_EXE_parsleythread").into(),
        folder: PathBuf::new(),
        entries: 3,
        agents,
        faults,
        deadly_percent,
        limit_percent: 0,
        lost_agents: 0,
        evacuations: 0,
        large_tasks: 0,
        durations: PhaseDurations::for_load(load_ms),
    };
    soak_with(seed, options).await;
}

/// Runs one seed in a folder of its own and asserts that no promise was broken.
async fn soak_with(seed: u64, mut options: Options) {
    let folder = tempfile::tempdir().unwrap();
    options.folder = folder.path().to_owned();
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

/// Guards against a fault of a process, a worker or the store, or several at once, that breaks a
/// promise of the system.
#[actix_rt::test]
async fn seeded_faults_break_no_promise() {
    for seed in 1..=3 {
        soak(seed, 3, 4, 4_000, 0).await;
    }
}

/// Guards against run ends of a restarted worker being lost: the new incarnation received the
/// number of acknowledged ends of the old one, removed successes that no scheduler had read, and
/// two tasks ran again.
#[actix_rt::test]
async fn seed_22_a_worker_that_starts_a_new_incarnation() {
    soak(22, 4, 7, 10_000, 0).await;
}

/// Guards against jobs that crash worker after worker, or that are lost beside them, while processes,
/// workers and the store fail.
#[actix_rt::test]
async fn deadly_jobs_beside_seeded_faults_are_given_up() {
    for seed in 51..=52 {
        soak(seed, 5, 4, 4_000, 3).await;
    }
}

/// Guards against jobs that wait for ever for an agent that is lost for good, and against tasks that
/// start twice when the scheduler changes while a worker has more ends than one report holds.
#[actix_rt::test]
async fn lost_agents_and_long_reports_break_no_promise() {
    for seed in [71, 72] {
        let options = Options {
            program: env!("CARGO_BIN_EXE_parsleythread").into(),
            folder: PathBuf::new(),
            entries: 2,
            agents: 2,
            faults: 1,
            deadly_percent: 0,
            limit_percent: 10,
            lost_agents: 1,
            evacuations: 0,
            large_tasks: 620,
            durations: PhaseDurations::for_load(6_000),
        };
        soak_with(seed, options).await;
    }
}

/// Guards against tasks that start in an evacuated failure domain after the bound, and against jobs
/// that wait for ever after an evacuation, while processes, workers and the store fail.
#[actix_rt::test]
async fn evacuations_beside_seeded_faults_break_no_promise() {
    for seed in [81, 82] {
        let options = Options {
            program: env!("CARGO_BIN_EXE_parsleythread").into(),
            folder: PathBuf::new(),
            entries: 3,
            agents: 4,
            faults: 4,
            deadly_percent: 0,
            limit_percent: 0,
            lost_agents: 0,
            evacuations: 2,
            large_tasks: 0,
            durations: PhaseDurations::for_load(10_000),
        };
        soak_with(seed, options).await;
    }
}
