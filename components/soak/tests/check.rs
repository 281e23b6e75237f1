//! Each check of the soak detects the broken promise that it is written for, and no other.

use platform_standin::worker::Execution;
use soak::{Evacuation, Promise, SubmitOutcome, SubmittedJob, check, check_evacuation};
use std::time::{Duration, Instant};

/// A successful run of a task whose end is not acknowledged; its times are relative to `base`.
fn run(base: Instant, task: &str, number: u64, from_ms: u64, to_ms: u64) -> Execution {
    Execution {
        task: task.to_owned(),
        run: number,
        started: base + Duration::from_millis(from_ms),
        ended: Some(base + Duration::from_millis(to_ms)),
        outcome: "done",
        is_acknowledged: false,
        is_end_lost: false,
    }
}

fn submitted(outcome: SubmitOutcome, cancelled_at: Option<Instant>) -> SubmittedJob {
    SubmittedJob {
        id: "j".to_owned(),
        outcome,
        cancelled_at,
        is_deadly: false,
        is_cancel_requested: cancelled_at.is_some(),
        slowest_refusal: Duration::ZERO,
    }
}

fn broken_promises(executions: &[Execution], jobs: &[SubmittedJob]) -> Vec<Promise> {
    let breaches = check(executions, jobs);
    breaches.into_iter().map(|breach| breach.promise).collect()
}

/// Guards against a check that misses two runs of a task whose times overlap.
#[test]
fn overlapping_runs_are_detected() {
    let base = Instant::now();
    let overlap = [
        run(base, "j.0.0.0", 1, 0, 200),
        run(base, "j.0.0.0", 2, 100, 300),
    ];
    assert_eq!(broken_promises(&overlap, &[]), [Promise::OnceAtATime]);
    let apart = [
        run(base, "j.0.0.0", 1, 0, 100),
        run(base, "j.0.0.0", 2, 100, 300),
    ];
    assert_eq!(broken_promises(&apart, &[]), []);
}

/// Guards against a check that treats a run without a recorded end as ended.
#[test]
fn a_run_without_an_end_overlaps_with_the_next() {
    let base = Instant::now();
    let mut first = run(base, "j.0.0.0", 1, 0, 100);
    first.ended = None;
    let runs = [first, run(base, "j.0.0.0", 2, 500, 600)];
    assert_eq!(broken_promises(&runs, &[]), [Promise::OnceAtATime]);
}

/// Guards against a check that misses a task started again after its success was acknowledged, with
/// no overlap between the runs.
#[test]
fn a_run_after_an_acknowledged_success_is_detected() {
    let base = Instant::now();
    let mut first = run(base, "j.0.0.0", 1, 0, 100);
    first.is_acknowledged = true;
    let runs = [first, run(base, "j.0.0.0", 2, 500, 600)];
    assert_eq!(broken_promises(&runs, &[]), [Promise::OnceAtATime]);
}

/// Guards against a check that misses a step which starts while a task of the previous step still
/// runs, or after one has failed.
#[test]
fn a_step_that_starts_before_the_previous_one_succeeded_is_detected() {
    let base = Instant::now();
    let first = run(base, "j.0.0.0", 1, 0, 100);
    let second = run(base, "j.0.0.1", 1, 0, 300);
    let early = [
        first.clone(),
        second.clone(),
        run(base, "j.0.1.0", 1, 200, 400),
    ];
    assert_eq!(broken_promises(&early, &[]), [Promise::InOrder]);
    let mut failed = second.clone();
    failed.outcome = "failed";
    let after_failure = [first.clone(), failed, run(base, "j.0.1.0", 1, 400, 500)];
    assert_eq!(broken_promises(&after_failure, &[]), [Promise::InOrder]);
    let in_order = [first, second, run(base, "j.0.1.0", 1, 300, 400)];
    assert_eq!(broken_promises(&in_order, &[]), []);
}

/// Guards against a check that misses a run of a refused job, or that counts a run of a job with an
/// unknown outcome as a breach.
#[test]
fn a_run_of_a_refused_job_is_detected() {
    let base = Instant::now();
    let runs = [run(base, "j.0.0.0", 1, 0, 100)];
    let refused = [submitted(SubmitOutcome::Refused, None)];
    assert_eq!(broken_promises(&runs, &refused), [Promise::RefusedIsNotRun]);
    assert_eq!(
        broken_promises(&runs, &[submitted(SubmitOutcome::Unknown, None)]),
        []
    );
}

/// Guards against a check that misses a start more than 3 s after the acknowledged cancellation, or
/// that reports an earlier one.
#[test]
fn a_late_start_of_a_cancelled_job_is_detected() {
    let base = Instant::now();
    let runs = [run(base, "j.0.0.0", 1, 4_000, 4_100)];
    let cancelled = [submitted(SubmitOutcome::Accepted, Some(base))];
    assert_eq!(
        broken_promises(&runs, &cancelled),
        [Promise::CancelledStops]
    );
    let in_time = [run(base, "j.0.0.0", 1, 2_900, 4_100)];
    assert_eq!(broken_promises(&in_time, &cancelled), []);
}

/// Guards against a check that misses a deadly job which is started once more than the pages allow,
/// or that counts the starts of other jobs.
#[test]
fn a_sixth_start_of_a_deadly_job_is_detected() {
    let base = Instant::now();
    let broken = (0..6).map(|number| Execution {
        outcome: "broken",
        ..run(base, "j.0.0.0", number + 1, number * 100, number * 100 + 10)
    });
    let broken: Vec<Execution> = broken.collect();
    let deadly = SubmittedJob {
        is_deadly: true,
        ..submitted(SubmitOutcome::Accepted, None)
    };
    let jobs = [deadly];
    assert_eq!(broken_promises(&broken, &jobs), [Promise::DeadlyIsGivenUp]);
    assert_eq!(broken_promises(&broken[..5], &jobs), []);
    let other = [submitted(SubmitOutcome::Accepted, None)];
    assert_eq!(broken_promises(&broken, &other), []);
}

/// Guards against a check that misses a start in an evacuated failure domain after the bound, or that
/// reports one before the bound or after the end of the evacuation.
#[test]
fn a_late_start_in_an_evacuated_domain_is_detected() {
    let base = Instant::now();
    let evacuation = |ended_ms: Option<u64>| Evacuation {
        domain: "d1",
        stored: base + Duration::from_millis(1_000),
        ended: ended_ms.map(|ended_ms| base + Duration::from_millis(ended_ms)),
    };
    let runs = [
        run(base, "j.0.0.0", 1, 900, 7_000),
        run(base, "j.0.0.1", 1, 6_000, 7_000),
        run(base, "j.0.0.2", 1, 6_001, 7_000),
        run(base, "j.0.0.3", 1, 9_001, 9_100),
    ];
    let late = |ended_ms: Option<u64>| -> Vec<(Promise, bool)> {
        let breaches = check_evacuation(&evacuation(ended_ms), &runs).into_iter();
        let found = breaches.map(|breach| (breach.promise, breach.detail.contains("j.0.0.2")));
        found.collect()
    };
    let promise = Promise::EvacuatedStartsNothing;
    assert_eq!(late(Some(9_000)), [(promise, true)]);
    assert_eq!(late(None), [(promise, true), (promise, false)]);
    assert_eq!(late(Some(5_000)), []);
}
