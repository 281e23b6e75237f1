//! Each check fails on what it is there for.

use platform_standin::worker::Execution;
use soak::{Handed, Promise, Told, check};
use std::time::{Duration, Instant};

/// A run of a task between two times after `base`, in milliseconds.
fn run(base: Instant, task: &str, number: u64, from_ms: u64, to_ms: u64) -> Execution {
    Execution {
        task: task.to_owned(),
        run: number,
        started: base + Duration::from_millis(from_ms),
        ended: Some(base + Duration::from_millis(to_ms)),
        outcome: "done",
        is_acknowledged: false,
    }
}

fn handed(told: Told, cancelled: Option<Instant>) -> Handed {
    Handed {
        id: "j".to_owned(),
        told,
        cancelled,
        asked_to_cancel: cancelled.is_some(),
        slowest_refusal: Duration::ZERO,
    }
}

fn promises(executions: &[Execution], jobs: &[Handed]) -> Vec<Promise> {
    let breaches = check(executions, jobs);
    breaches.into_iter().map(|breach| breach.promise).collect()
}

#[test]
fn two_runs_at_once_are_seen() {
    let base = Instant::now();
    let overlap = [
        run(base, "j.0.0.0", 1, 0, 200),
        run(base, "j.0.0.0", 2, 100, 300),
    ];
    assert_eq!(promises(&overlap, &[]), [Promise::OnceAtATime]);
    let apart = [
        run(base, "j.0.0.0", 1, 0, 100),
        run(base, "j.0.0.0", 2, 100, 300),
    ];
    assert_eq!(promises(&apart, &[]), []);
}

#[test]
fn a_run_without_an_end_overlaps_with_the_next() {
    let base = Instant::now();
    let mut first = run(base, "j.0.0.0", 1, 0, 100);
    first.ended = None;
    let runs = [first, run(base, "j.0.0.0", 2, 500, 600)];
    assert_eq!(promises(&runs, &[]), [Promise::OnceAtATime]);
}

#[test]
fn a_run_after_a_success_that_was_noted_is_seen() {
    let base = Instant::now();
    let mut first = run(base, "j.0.0.0", 1, 0, 100);
    first.is_acknowledged = true;
    let runs = [first, run(base, "j.0.0.0", 2, 500, 600)];
    assert_eq!(promises(&runs, &[]), [Promise::OnceAtATime]);
}

#[test]
fn a_step_before_its_turn_is_seen() {
    let base = Instant::now();
    let first = run(base, "j.0.0.0", 1, 0, 100);
    let second = run(base, "j.0.0.1", 1, 0, 300);
    let early = [
        first.clone(),
        second.clone(),
        run(base, "j.0.1.0", 1, 200, 400),
    ];
    assert_eq!(promises(&early, &[]), [Promise::InOrder]);
    let mut failed = second.clone();
    failed.outcome = "failed";
    let unready = [first.clone(), failed, run(base, "j.0.1.0", 1, 400, 500)];
    assert_eq!(promises(&unready, &[]), [Promise::InOrder]);
    let in_turn = [first, second, run(base, "j.0.1.0", 1, 300, 400)];
    assert_eq!(promises(&in_turn, &[]), []);
}

#[test]
fn a_run_of_a_refused_job_is_seen() {
    let base = Instant::now();
    let runs = [run(base, "j.0.0.0", 1, 0, 100)];
    let refused = [handed(Told::Refused, None)];
    assert_eq!(promises(&runs, &refused), [Promise::RefusedIsNotRun]);
    assert_eq!(promises(&runs, &[handed(Told::Unknown, None)]), []);
}

#[test]
fn a_late_start_of_a_cancelled_job_is_seen() {
    let base = Instant::now();
    let runs = [run(base, "j.0.0.0", 1, 4_000, 4_100)];
    let cancelled = [handed(Told::Accepted, Some(base))];
    assert_eq!(promises(&runs, &cancelled), [Promise::CancelledStops]);
    let in_time = [run(base, "j.0.0.0", 1, 2_900, 4_100)];
    assert_eq!(promises(&in_time, &cancelled), []);
}
