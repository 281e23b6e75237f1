//! Estimates under load: declared run times that are far off, long tasks, and classes that change.

use estimates::{RunTimes, Siblings, TaskClass};
use proptest::prelude::*;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

const CLASS: TaskClass<'static> = TaskClass {
    queue: "q",
    image: Some("resize"),
    step: 0,
};

/// Mean error of estimates and of declared times, in percent of the true median.
struct Errors {
    learned: f64,
    declared: f64,
}

/// Observes jobs of ten tasks, and measures the errors of the estimates for the later half of the jobs. `of_job`
/// gives a job's true median and its declared time.
fn measure(seed: u64, jobs: u64, mut of_job: impl FnMut(&mut StdRng) -> (f64, f64)) -> Errors {
    let mut random = StdRng::seed_from_u64(seed);
    let mut times = RunTimes::default();
    let (mut learned, mut declared_error, mut measured) = (0.0, 0.0, 0.0);
    for number in 0..jobs {
        let now_ms = number * 500;
        let (median_ms, declared_ms) = of_job(&mut random);
        let estimate = times.estimate(now_ms, CLASS, declared_ms as u64);
        if number >= jobs / 2 {
            learned += (estimate.median_ms as f64 - median_ms).abs() / median_ms;
            declared_error += (declared_ms - median_ms).abs() / median_ms;
            measured += 1.0;
        }
        for _ in 0..10 {
            let is_long = random.random_range(0..100) < 3;
            let factor = if is_long {
                7.0
            } else {
                random.random_range(0.9..1.1)
            };
            times.observe(
                now_ms,
                CLASS,
                declared_ms as u64,
                (median_ms * factor) as u64,
            );
        }
    }
    Errors {
        learned: learned * 100.0 / measured,
        declared: declared_error * 100.0 / measured,
    }
}

/// Guards against estimates that follow declared times which are off by up to 0.9, while all jobs of the class
/// take the same time.
#[test]
fn declared_times_that_mean_nothing_are_ignored() {
    let errors = measure(1, 200, |random| {
        (1_000.0, 1_000.0 * random.random_range(0.1..1.9))
    });
    assert!(errors.declared > 35.0, "declared {:.0} %", errors.declared);
    assert!(errors.learned < 10.0, "learned {:.0} %", errors.learned);
}

/// Guards against a class mean that replaces declared times which tell short jobs from long ones.
#[test]
fn declared_times_that_are_nearly_right_are_kept() {
    let errors = measure(2, 200, |random| {
        let median_ms: f64 = random.random_range(300.0..3_000.0);
        (median_ms, median_ms * random.random_range(0.9..1.1))
    });
    assert!(errors.learned < 12.0, "learned {:.0} %", errors.learned);
}

/// Guards against a declared time that is off by the same factor in all jobs and never corrected.
#[test]
fn a_constant_factor_is_learned() {
    let errors = measure(3, 60, |random| {
        let median_ms: f64 = random.random_range(500.0..2_000.0);
        (median_ms, median_ms * 0.3)
    });
    assert!(errors.learned < 15.0, "learned {:.0} %", errors.learned);
}

/// Guards against long tasks that raise the median, or that the 90th percentile hides when they are many.
#[test]
fn long_tasks_show_in_the_percentile_and_not_in_the_median() {
    for (long_percent, p90_ms) in [(3, 1_000..1_500), (20, 5_000..9_000)] {
        let mut random = StdRng::seed_from_u64(4);
        let mut times = RunTimes::default();
        for number in 0..400 {
            let is_long = random.random_range(0..100) < long_percent;
            times.observe(
                number * 50,
                CLASS,
                1_000,
                if is_long { 7_000 } else { 1_000 },
            );
        }
        let estimate = times.estimate(20_000, CLASS, 1_000);
        assert!((850..1_200).contains(&estimate.median_ms), "{estimate:?}");
        assert!(
            p90_ms.contains(&estimate.p90_ms),
            "{long_percent} %: {estimate:?}"
        );
    }
}

/// Guards against evidence that outlives a change of the program.
#[test]
fn a_class_that_changes_is_learned_again() {
    let mut times = RunTimes::default();
    for number in 0..300 {
        times.observe(number * 100, CLASS, 1_000, 1_000);
    }
    for number in 300..600 {
        times.observe(number * 100, CLASS, 1_000, 4_000);
    }
    let median_ms = times.estimate(60_000, CLASS, 1_000).median_ms;
    assert!((3_400..4_400).contains(&median_ms), "{median_ms}");
}

/// Guards against evidence that never fades: after a long silence the declared time counts again.
#[test]
fn old_evidence_fades() {
    let mut times = RunTimes::default();
    for number in 0..20 {
        times.observe(number * 100, CLASS, 1_000, 5_000);
    }
    let fresh = times.estimate(2_000, CLASS, 1_000);
    let old = times.estimate(12 * 3_600_000, CLASS, 1_000);
    assert!(fresh.median_ms > 4_000 && fresh.samples > 19.0, "{fresh:?}");
    assert!(old.median_ms < 1_100 && old.samples < 0.1, "{old:?}");
}

/// Guards against an estimate that ignores the tasks of the same step, or trusts the first of them fully.
#[test]
fn tasks_of_the_same_step_outweigh_the_class() {
    let mut times = RunTimes::default();
    for number in 0..100 {
        times.observe(number * 100, CLASS, 1_000, 1_000);
    }
    let mut siblings = Siblings::default();
    siblings.observe(7_000);
    let one = times
        .estimate_with(10_000, CLASS, 1_000, Some(&siblings))
        .median_ms;
    assert!(one < 2_000, "one sibling: {one}");
    (0..7).for_each(|_| siblings.observe(7_000));
    let all = times
        .estimate_with(10_000, CLASS, 1_000, Some(&siblings))
        .median_ms;
    assert!((4_000..=7_000).contains(&all), "eight siblings: {all}");
}

/// Guards against memory that grows with the names that callers choose, and against a class in use that is evicted
/// in their favour.
#[test]
fn the_classes_with_the_oldest_evidence_are_evicted() {
    let mut times = RunTimes::default();
    for number in 0..5_000_u64 {
        let image = format!("image{number}");
        let class = TaskClass {
            image: Some(&image),
            ..CLASS
        };
        times.observe(number, class, 1_000, 2_000);
        times.observe(number, CLASS, 1_000, 2_000);
    }
    assert_eq!(times.count_classes(), 512);
    assert!(times.estimate(5_000, CLASS, 1_000).samples > 50.0);
}

/// Guards against stored evidence that is lost or changed by a takeover, or larger than a row.
#[test]
fn the_stored_form_is_bounded_and_restores_the_estimates() {
    let mut times = RunTimes::default();
    for number in 0..300_u64 {
        let image = format!("image{number}");
        let class = TaskClass {
            image: Some(&image),
            ..CLASS
        };
        for _ in 0..=number {
            times.observe(number, class, 1_000, 2_000 + number);
        }
    }
    let text = times.to_json(7_000, 8_192);
    assert!(
        text.len() <= 8_192 && text.len() > 6_000,
        "{} bytes",
        text.len()
    );
    let restored = RunTimes::parse(&text, 8_000).unwrap();
    let best = TaskClass {
        image: Some("image299"),
        ..CLASS
    };
    let (before, after) = (
        times.estimate(400, best, 1_000),
        restored.estimate(9, best, 1_000),
    );
    assert!(
        before.median_ms.abs_diff(after.median_ms) <= 5,
        "{before:?} {after:?}"
    );
    assert!(
        (before.samples - after.samples).abs() < 0.1,
        "{before:?} {after:?}"
    );
}

/// Guards against a damaged, foreign or old row that is taken for evidence.
#[test]
fn rows_that_mean_nothing_are_refused() {
    let text = RunTimes::default().to_json(1_000, 1_000);
    for damaged in [
        "",
        "{",
        "[]",
        "null",
        &text[..text.len() - 2],
        &text.replace(":1,", ":9,"),
    ] {
        assert!(RunTimes::parse(damaged, 1_000).is_err(), "{damaged}");
    }
    assert!(RunTimes::parse(&text, 4_000_000).is_err(), "old");
}

proptest! {
    /// Guards against estimates out of range, whatever was observed.
    #[test]
    fn estimates_stay_within_bounds(
        samples in prop::collection::vec((any::<u64>(), any::<u64>(), any::<u64>(), 0_u32..4), 0..60),
        declared_ms in any::<u64>(),
        now_ms in any::<u64>(),
    ) {
        let mut times = RunTimes::default();
        for (at_ms, declared_ms, run_ms, step) in &samples {
            let class = TaskClass { step: *step, ..CLASS };
            times.observe(*at_ms, class, *declared_ms, *run_ms);
            times.observe_failure(*at_ms, class);
        }
        let text = times.to_json(0, 4_096);
        prop_assert!(text.len() <= 4_096);
        let restored = RunTimes::parse(&text, 0).unwrap();
        for times in [&times, &restored] {
            let estimate = times.estimate(now_ms, CLASS, declared_ms);
            prop_assert!(estimate.median_ms >= 1 && estimate.median_ms <= estimate.p90_ms);
            prop_assert!(estimate.p90_ms <= 86_400_000);
            prop_assert!((0.0..=1.0).contains(&estimate.failure_share));
            prop_assert!((0.0..=100.0).contains(&estimate.samples));
        }
    }

    /// Guards against a stored form whose numbers are out of range and spoil the estimates.
    #[test]
    fn any_numbers_in_the_stored_form_do_no_harm(
        line in prop::array::uniform5(-1e300_f64..1e300),
        bin in any::<u32>(),
    ) {
        let mut times = RunTimes::default();
        times.observe(0, CLASS, 1_000, 1_000);
        let mut stored: serde_json::Value = serde_json::from_str(&times.to_json(0, 1_000)).unwrap();
        let class = &mut stored["classes"][0];
        class["line"] = serde_json::json!(line);
        class["ends"] = serde_json::json!([-1.0, 9e99]);
        class["residuals"] = serde_json::json!([[bin, 1e99], [3, -5.0]]);
        let times = RunTimes::parse(&stored.to_string(), 0).unwrap();
        prop_assert_eq!(times.count_classes(), 1);
        let estimate = times.estimate(0, CLASS, 1_000);
        prop_assert!(estimate.median_ms >= 1 && estimate.median_ms <= estimate.p90_ms);
        prop_assert!((0.0..=1.0).contains(&estimate.failure_share), "{:?}", estimate);
        prop_assert!((0.0..=100.0).contains(&estimate.samples), "{:?}", estimate);
    }
}
