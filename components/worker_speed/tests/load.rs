//! Speeds under load: workers that are slow, long tasks, estimates that are off, and recovery.

use proptest::prelude::*;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use worker_speed::{DomainSample, RunSample, SlowDomains, SpeedChange, SpeedTrack, Standing};

/// Share of the tasks that take [`LONG_FACTOR`] times as long, in percent.
const LONG_PERCENT: u32 = 3;
const LONG_FACTOR: f64 = 7.0;

/// Runs at the same time on a worker.
const LANES: usize = 4;
/// Interval between two reports of a run in progress, in milliseconds.
const REPORT_MS: u64 = 500;

/// A run in progress.
#[derive(Debug, Clone, Copy, Default)]
struct Run {
    number: u64,
    started_ms: u64,
    length_ms: f64,
    /// What it was expected to take, in milliseconds.
    expected_ms: f64,
}

/// Workers that run tasks of 1 s in several lanes, each task of another job.
struct Fleet {
    random: StdRng,
    tracks: Vec<SpeedTrack>,
    speeds: Vec<f64>,
    /// Present runs of each worker.
    runs: Vec<[Run; LANES]>,
    next_run: u64,
    /// Greatest error of an estimate, as a share.
    error: f64,
    changes: Vec<(u64, usize, SpeedChange)>,
}

impl Fleet {
    fn new(seed: u64, workers: usize, error: f64) -> Self {
        Self {
            random: StdRng::seed_from_u64(seed),
            tracks: vec![SpeedTrack::default(); workers],
            speeds: vec![1.0; workers],
            runs: vec![[Run::default(); LANES]; workers],
            next_run: 0,
            error,
            changes: Vec::new(),
        }
    }

    fn run(&mut self, from_ms: u64, until_ms: u64) {
        for now_ms in (from_ms..until_ms).step_by(100) {
            for worker in 0..self.tracks.len() {
                let change = self.tracks[worker].refresh(now_ms);
                self.note(now_ms, worker, change);
                for lane in 0..LANES {
                    self.advance(now_ms, worker, lane);
                }
            }
        }
    }

    /// Reports a run's progress or its end, and starts the next.
    fn advance(&mut self, now_ms: u64, worker: usize, lane: usize) {
        let run = self.runs[worker][lane];
        let spent_ms = (now_ms - run.started_ms) as f64;
        let has_ended = spent_ms >= run.length_ms;
        let is_report = now_ms.is_multiple_of(REPORT_MS) && spent_ms >= 300.0;
        if run.number > 0 && (has_ended || is_report) {
            let done = (spent_ms / run.length_ms).min(1.0);
            let sample = RunSample {
                job: run.number,
                run: run.number,
                expected_ms: run.expected_ms * done,
                spent_ms: spent_ms.min(run.length_ms),
                weight: 1.0,
            };
            let change = self.tracks[worker].observe(now_ms, sample);
            self.note(now_ms, worker, change);
        }
        if has_ended {
            self.next_run += 1;
            let is_long = self.random.random_range(0..100) < LONG_PERCENT;
            let factor = if is_long { LONG_FACTOR } else { 1.0 };
            let off = self.random.random_range(-self.error..=self.error);
            self.runs[worker][lane] = Run {
                number: self.next_run,
                started_ms: now_ms,
                length_ms: 1_000.0 * factor / self.speeds[worker],
                expected_ms: 1_000.0 * (1.0 + off),
            };
        }
    }

    fn note(&mut self, now_ms: u64, worker: usize, change: Option<SpeedChange>) {
        self.changes
            .extend(change.map(|change| (now_ms, worker, change)));
    }

    fn is_slow(&self, worker: usize) -> bool {
        matches!(self.tracks[worker].standing(), Standing::Slow { .. })
    }
}

/// Guards against slow workers that are not found, and against normal ones that are taken for slow because of long
/// tasks or estimates that are off by up to 0.4, the rest of an error of 0.9 after some tasks of a step ended.
#[test]
fn a_quarter_of_slow_workers_is_found_and_no_other() {
    let mut fleet = Fleet::new(1, 48, 0.4);
    fleet.run(0, 30_000);
    assert_eq!(fleet.changes, [], "before any worker is slow");
    for worker in 0..12 {
        fleet.speeds[worker] = 0.2;
    }
    fleet.run(30_000, 60_000);
    let found: Vec<usize> = (0..48).filter(|worker| fleet.is_slow(*worker)).collect();
    assert_eq!(found, Vec::from_iter(0..12));
    let slow_ms = fleet.changes.iter().map(|(now_ms, ..)| now_ms - 30_000);
    let slow_ms: Vec<u64> = slow_ms.collect();
    assert!(
        slow_ms.iter().all(|after_ms| *after_ms <= 8_000),
        "{slow_ms:?}"
    );
    for worker in 0..12 {
        let speed = fleet.tracks[worker].speed();
        assert!((0.1..0.35).contains(&speed), "{speed}");
    }
}

/// Guards against a long task, or a job of long tasks, that makes its worker slow.
#[test]
fn one_job_never_makes_a_worker_slow() {
    let mut track = SpeedTrack::default();
    for run in 0..40 {
        let sample = RunSample {
            job: 1,
            run,
            expected_ms: 100.0,
            spent_ms: 9_000.0,
            weight: 1.0,
        };
        assert_eq!(track.observe(run * 100, sample), None);
    }
    assert_eq!(track.speed(), 1.0);
}

/// Guards against a worker that counts as slow for ever, and against one that gets all tasks at once when it has
/// recovered.
#[test]
fn a_worker_that_recovers_gets_few_runs_at_first() {
    let mut fleet = Fleet::new(2, 1, 0.2);
    fleet.speeds[0] = 0.2;
    fleet.run(0, 30_000);
    assert!(fleet.is_slow(0));
    assert_eq!(fleet.tracks[0].allowance(30_000), Some(0));
    fleet.speeds[0] = 1.0;
    fleet.run(30_000, 45_000);
    let (recovered_ms, ..) = *fleet.changes.last().unwrap();
    assert_eq!(fleet.changes.last().unwrap().2, SpeedChange::Recovered);
    assert!(recovered_ms <= 37_000, "{recovered_ms}");
    assert_eq!(fleet.tracks[0].allowance(45_000), None);
    assert_eq!(fleet.changes.len(), 2, "{:?}", fleet.changes);
}

/// Guards against a slow worker without runs that is never tried again, or that gets many when it is.
#[test]
fn a_slow_worker_without_runs_is_tried_with_one() {
    let mut track = SpeedTrack::default();
    let sample = |number: u64, spent_ms: f64| RunSample {
        job: number,
        run: number,
        expected_ms: 100.0,
        spent_ms,
        weight: 1.0,
    };
    for number in 0..4 {
        track.observe(number, sample(number, 1_000.0));
    }
    assert_eq!(track.refresh(19_000), None);
    assert_eq!(track.refresh(21_000), Some(SpeedChange::Recovered));
    assert_eq!(track.refresh(40_000), None);
    assert_eq!(track.allowance(40_000), Some(1), "nothing is known yet");
    track.observe(41_000, sample(9, 100.0));
    assert!(track.allowance(41_000) > Some(1));
    track.refresh(42_000);
    assert_eq!(track.standing(), Standing::Normal);
}

/// Guards against a late report that replaces newer ones.
#[test]
fn a_late_sample_changes_nothing() {
    let mut track = SpeedTrack::default();
    let sample = RunSample {
        job: 1,
        run: 1,
        expected_ms: 1.0,
        spent_ms: 1.0,
        weight: 1.0,
    };
    track.observe(5_000, sample);
    let before = track.clone();
    for job in 2..9 {
        let late = RunSample {
            job,
            run: job,
            spent_ms: 100.0,
            ..sample
        };
        assert_eq!(track.observe(4_000, late), None);
    }
    assert_eq!(track, before);
}

/// Guards against a slow domain that is found only worker by worker, and against one slow worker that makes its
/// domain slow.
#[test]
fn a_domain_is_slow_if_most_of_its_workers_are() {
    let samples = |slow: usize, normal: usize| {
        let slow = (0..slow).map(|_| DomainSample {
            domain: "d",
            slow_speed: Some(0.25),
        });
        let normal = (0..normal).map(|_| DomainSample {
            domain: "d",
            slow_speed: None,
        });
        SlowDomains::of(slow.chain(normal)).speed("d")
    };
    assert_eq!(samples(4, 2), Some(0.25));
    assert_eq!(samples(2, 0), None, "too few");
    assert_eq!(samples(3, 3), None, "too many others");
}

proptest! {
    /// Guards against speeds out of range and memory that grows with the samples.
    #[test]
    fn speeds_stay_within_bounds(
        samples in prop::collection::vec(
            (any::<u64>(), 0_u64..6, any::<u64>(), any::<f64>(), any::<f64>(), -1.0_f64..2.0), 0..80),
    ) {
        let mut track = SpeedTrack::default();
        for (now_ms, job, run, expected_ms, spent_ms, weight) in samples {
            track.observe(now_ms, RunSample { job, run, expected_ms, spent_ms, weight });
            track.refresh(now_ms);
            prop_assert!((0.01..=1.0).contains(&track.speed()), "{}", track.speed());
            prop_assert!(track.allowance(now_ms).is_none_or(|runs| runs < u32::MAX));
        }
    }
}
