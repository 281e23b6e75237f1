//! Case `neighbour`: a service beside noisy batch tasks that run periodically, with measurements
//! that arrive late, in virtual time.

use crate::bounds::bound;
use crate::results::{Bound, Results};
use crate::stats::percentile_ms;
use crate::trace::SEED;
use backing::AttemptRef;
use ledger::{Action, InterferenceController, InterferenceLimits, Measurement};
use model::{KindName, TaskId};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use std::collections::{BTreeMap, VecDeque};
use std::ops::Range;

/// Step of virtual time, in milliseconds.
const STEP_MS: u64 = 100;
/// Duration of a simulation, in milliseconds.
const LENGTH_MS: u64 = 1_200_000;
/// Delay between a measurement and its arrival at the controller, in milliseconds.
const MEASUREMENT_DELAY_MS: u64 = 5_000;
/// Duration of a wave of noisy tasks, in milliseconds.
const WAVE_MS: u64 = 30_000;
/// Time from the start of one wave to the start of the next, in milliseconds.
const WAVE_INTERVAL_MS: u64 = 60_000;
/// Number of noisy tasks in a wave.
const NOISY_PER_WAVE: u32 = 2;
/// Number of quiet tasks, which always run.
const QUIET_TASKS: u32 = 8;
/// Slowdown of the service by each noisy task at full speed, as a share of its run time.
const NOISY_SLOWDOWN: f64 = 0.4;
/// Slowdown of the service by each quiet task at full speed, as a share of its run time.
const QUIET_SLOWDOWN: f64 = 0.005;
/// Run times of a request to the service without batch tasks beside it, in milliseconds; uniform.
const ALONE_MS: Range<f64> = 40.0..60.0;
/// Speed of all batch tasks under the fixed limit, in percent.
const FIXED_PERCENT: u32 = 50;

/// Compared ways to control the batch tasks.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Control {
    /// The ledger's interference controller.
    Ours,
    /// All tasks run at full speed.
    None,
    /// All tasks run at [`FIXED_PERCENT`].
    Fixed,
}

/// Simulated batch task.
struct Task {
    /// Kind of work, as the controller sees it.
    kind: KindName,
    /// Slowdown that it causes at full speed, as a share of the run time of the service.
    slowdown: f64,
    /// Throttle: speed in percent of full speed.
    percent: u32,
}

/// Results of one simulation.
struct Outcome {
    /// 99th percentile of the run times of the service.
    p99_ms: f64,
    /// Completed batch work, in steps at full speed.
    work: f64,
    /// Number of evicted tasks.
    evictions: u32,
}

/// Simulates each control and compares the latency and the batch work.
pub fn run(results: &mut Results) {
    let alone = percentile_ms(alone_samples(), 99.0);
    results.add("neighbour", "service alone", "p99, ms", alone, None);
    let none = simulate(Control::None);
    for (name, control) in [
        ("ours", Control::Ours),
        ("no control", Control::None),
        ("fixed limit", Control::Fixed),
    ] {
        let outcome = simulate(control);
        let is_ours = control == Control::Ours;
        let most = is_ours.then_some(Bound::AtMost(bound("neighbour", "p99_ratio")));
        results.add(
            "neighbour",
            name,
            "p99 over alone",
            outcome.p99_ms / alone,
            most,
        );
        let least = is_ours.then_some(Bound::AtLeast(bound("neighbour", "throughput_share")));
        results.add(
            "neighbour",
            name,
            "throughput over no control",
            outcome.work / none.work,
            least,
        );
        results.add(
            "neighbour",
            name,
            "evictions",
            f64::from(outcome.evictions),
            None,
        );
    }
}

/// Run times of the service without batch tasks.
fn alone_samples() -> impl Iterator<Item = f64> {
    let mut rng = StdRng::seed_from_u64(SEED);
    (0..LENGTH_MS / STEP_MS).map(move |_| rng.random_range(ALONE_MS))
}

fn attempt(job: &str, index: u32) -> AttemptRef {
    AttemptRef {
        task: TaskId {
            job: job.into(),
            index,
        },
        attempt: 1,
    }
}

/// Simulates the service and the batch tasks under one control.
fn simulate(control: Control) -> Outcome {
    let mut rng = StdRng::seed_from_u64(SEED);
    let mut controller = InterferenceController::new(InterferenceLimits::default());
    let start_percent = if control == Control::Fixed {
        FIXED_PERCENT
    } else {
        100
    };
    let mut tasks: BTreeMap<(String, u32), Task> = BTreeMap::new();
    for index in 0..QUIET_TASKS {
        let task = Task {
            kind: "quiet".into(),
            slowdown: QUIET_SLOWDOWN,
            percent: start_percent,
        };
        tasks.insert(("t.quiet".to_owned(), index), task);
    }
    let mut measured: VecDeque<Measurement> = VecDeque::new();
    let mut samples = Vec::new();
    let mut outcome = Outcome {
        p99_ms: 0.0,
        work: 0.0,
        evictions: 0,
    };
    for now_ms in (0..LENGTH_MS).step_by(STEP_MS as usize) {
        let (wave, within_ms) = (now_ms / WAVE_INTERVAL_MS, now_ms % WAVE_INTERVAL_MS);
        let name = format!("t.wave{wave}");
        if within_ms == 0 {
            for index in 0..NOISY_PER_WAVE {
                let task = Task {
                    kind: "noisy".into(),
                    slowdown: NOISY_SLOWDOWN,
                    percent: start_percent,
                };
                tasks.insert((name.clone(), index), task);
            }
        }
        if within_ms >= WAVE_MS {
            tasks.retain(|(job, _), _| *job != name);
        }
        if control == Control::Ours {
            let running: Vec<(AttemptRef, KindName)> = tasks
                .iter()
                .map(|((job, index), task)| (attempt(job, *index), task.kind.clone()))
                .collect();
            let running = running.iter().map(|(attempt, kind)| (attempt, kind));
            let mut actions = controller.observe(now_ms, running);
            while measured
                .front()
                .is_some_and(|oldest| oldest.taken_ms + MEASUREMENT_DELAY_MS <= now_ms)
            {
                let Some(measurement) = measured.pop_front() else {
                    break;
                };
                actions.extend(controller.decide(now_ms, measurement));
            }
            for action in actions {
                apply(action, &mut tasks, &mut outcome);
            }
        }
        let slowdown: f64 = 1.0
            + tasks
                .values()
                .map(|task| task.slowdown * f64::from(task.percent) / 100.0)
                .sum::<f64>();
        samples.push(rng.random_range(ALONE_MS) * slowdown);
        outcome.work += tasks
            .values()
            .map(|task| f64::from(task.percent) / 100.0)
            .sum::<f64>();
        measured.push_back(Measurement {
            taken_ms: now_ms,
            slowdown,
        });
    }
    outcome.p99_ms = percentile_ms(samples.into_iter(), 99.0);
    outcome
}

/// Carries out an action of the controller; ignores tasks that have ended.
fn apply(action: Action, tasks: &mut BTreeMap<(String, u32), Task>, outcome: &mut Outcome) {
    let key = |attempt: &AttemptRef| (attempt.task.job.to_string(), attempt.task.index);
    match action {
        Action::Throttle { attempt, percent } => {
            if let Some(task) = tasks.get_mut(&key(&attempt)) {
                task.percent = percent;
            }
        }
        Action::Evict(attempt) => {
            tasks.remove(&key(&attempt));
            outcome.evictions += 1;
        }
    }
}
