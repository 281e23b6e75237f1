//! What duplicates gain and cost where some runs are slow, in a small deterministic simulation of a pool
//! that is partly or more than fully used.

use duplicates::{History, Room, RunView, Verdict, decide};
use std::collections::{BTreeMap, VecDeque};
use std::fmt::Write;

/// Length of one step of the simulation, in milliseconds.
const TICK_MS: u64 = 10;
/// Time between two reports of progress, in milliseconds.
const REPORT_MS: u64 = 200;
/// Time from the decision about a run to its start, in milliseconds.
const START_MS: u64 = 100;
/// Number of tasks that the pool runs at once.
const PLACES: u64 = 100;
/// Processors of a task, in thousandths.
const NEED_MILLI: u32 = 1_000;
/// Tasks of a step.
const TASKS: u32 = 10;
/// Usual run time of a task, in milliseconds.
const RUN_MS: u64 = 1_000;
/// Factor by which a slow run takes longer.
const SLOW_FACTOR: u64 = 7;
/// Slow runs of a hundred.
const SLOW_PERCENT: u64 = 3;
/// Time from the arrival of a step within which it is in time, in milliseconds.
const OBJECTIVE_MS: u64 = 1_750;
/// Time for which steps arrive, in milliseconds.
const ARRIVALS_MS: u64 = 120_000;

/// Whether slowness is a matter of the run, so that a second one is likely to be fast, or of the task.
#[derive(Debug, Clone, Copy, PartialEq)]
enum Slowness {
    OfRun,
    OfTask,
}

/// A run in progress of a task, which is given by its step and its index.
struct Run {
    task: (usize, u32),
    number: u32,
    start_ms: u64,
    run_ms: u64,
}

/// A pool with its runs and its queue.
struct Pool {
    slowness: Slowness,
    now_ms: u64,
    running: Vec<Run>,
    queue: VecDeque<(usize, u32)>,
    /// Arrival and open tasks of each step.
    steps: Vec<(u64, u32)>,
    /// Times from arrival to end of the steps, in milliseconds.
    spans_ms: Vec<u64>,
    used_ms: u64,
    duplicate_ms: u64,
    started: u32,
    won: u32,
    history: History,
}

/// Number that looks random and depends on its argument only (finalizer of SplitMix64).
fn mix(mut value: u64) -> u64 {
    value = value.wrapping_add(0x9E37_79B9_7F4A_7C15);
    value = (value ^ (value >> 30)).wrapping_mul(0xBF58_476D_1CE4_E5B9);
    value = (value ^ (value >> 27)).wrapping_mul(0x94D0_49BB_1331_11EB);
    value ^ (value >> 31)
}

impl Pool {
    fn new(slowness: Slowness) -> Self {
        Self {
            slowness,
            now_ms: 0,
            running: Vec::new(),
            queue: VecDeque::new(),
            steps: Vec::new(),
            spans_ms: Vec::new(),
            used_ms: 0,
            duplicate_ms: 0,
            started: 0,
            won: 0,
            history: History::default(),
        }
    }

    fn start(&mut self, task: (usize, u32), number: u32) {
        let drawn = match self.slowness {
            Slowness::OfRun => u64::from(number),
            Slowness::OfTask => 0,
        };
        let seed = (task.0 as u64) << 16 | u64::from(task.1) << 4 | drawn;
        let is_slow = mix(seed) % 100 < SLOW_PERCENT;
        let factor = if is_slow { SLOW_FACTOR } else { 1 };
        self.running.push(Run {
            task,
            number,
            start_ms: self.now_ms + START_MS,
            run_ms: RUN_MS * factor,
        });
    }

    /// Ends the runs that are done; the other run of the task is stopped.
    fn end_runs(&mut self) {
        let now_ms = self.now_ms;
        let is_done = |run: &&Run| now_ms >= run.start_ms + run.run_ms;
        let ends: BTreeMap<(usize, u32), u32> = (self.running.iter().filter(is_done))
            .map(|run| (run.task, run.number))
            .collect();
        for (task, number) in &ends {
            let has_duplicate = self.running.iter().filter(|run| run.task == *task).count() > 1;
            if has_duplicate {
                self.history.observe(*number > 1);
                self.won += u32::from(*number > 1);
            }
            let (arrived_ms, open) = &mut self.steps[task.0];
            *open -= 1;
            if *open == 0 {
                self.spans_ms.push(now_ms - *arrived_ms);
            }
        }
        self.running.retain(|run| !ends.contains_key(&run.task));
    }

    fn room(&self) -> Room {
        let used = self.running.len() as u64;
        let is_duplicate = |run: &&Run| run.number > 1;
        Room {
            free_milli: (PLACES - used) * u64::from(NEED_MILLI),
            total_milli: PLACES * u64::from(NEED_MILLI),
            queued_milli: self.queue.len() as u64 * u64::from(NEED_MILLI),
            duplicates: self.running.iter().filter(is_duplicate).count() as u32,
        }
    }

    /// Starts duplicates as the reports suggest.
    fn start_duplicates(&mut self) {
        let mut runs: BTreeMap<(usize, u32), Vec<(u64, u64)>> = BTreeMap::new();
        for run in &self.running {
            let times = (run.start_ms, run.run_ms);
            runs.entry(run.task).or_default().push(times);
        }
        for (task, runs) in runs {
            let [(start_ms, run_ms)] = runs[..] else {
                continue;
            };
            let elapsed_ms = self.now_ms.saturating_sub(start_ms);
            let view = RunView {
                elapsed_ms,
                percent: (elapsed_ms * 100 / run_ms) as u32,
                expected_ms: RUN_MS,
                median_ms: RUN_MS,
                worker_speed: 1.0,
            };
            let due_ms = self.steps[task.0].0 + OBJECTIVE_MS;
            let slack_ms = due_ms as i64 - self.now_ms as i64;
            let room = self.room();
            if room.duplicates >= self.history.limit() {
                return;
            }
            if let Verdict::Start(_) = decide(&view, NEED_MILLI, slack_ms, &room) {
                self.started += 1;
                self.start(task, 2);
            }
        }
    }

    /// Runs steps that arrive every `interval_ms` until all have ended.
    fn simulate(&mut self, interval_ms: u64, has_duplicates: bool) {
        while self.now_ms < ARRIVALS_MS || !self.running.is_empty() || !self.queue.is_empty() {
            if self.now_ms < ARRIVALS_MS && self.now_ms % interval_ms < TICK_MS {
                let step = self.steps.len();
                self.steps.push((self.now_ms, TASKS));
                self.queue.extend((0..TASKS).map(|index| (step, index)));
            }
            self.end_runs();
            while (self.running.len() as u64) < PLACES {
                let Some(task) = self.queue.pop_front() else {
                    break;
                };
                self.start(task, 1);
            }
            if has_duplicates && self.now_ms.is_multiple_of(REPORT_MS) {
                self.start_duplicates();
            }
            self.used_ms += TICK_MS * self.running.len() as u64;
            let duplicates = self.room().duplicates;
            self.duplicate_ms += TICK_MS * u64::from(duplicates);
            self.now_ms += TICK_MS;
        }
        self.spans_ms.sort_unstable();
    }

    fn row(&self) -> String {
        let steps = self.spans_ms.len();
        let in_time = self.spans_ms.iter().filter(|span| **span <= OBJECTIVE_MS);
        let mean_ms = self.spans_ms.iter().sum::<u64>() / steps as u64;
        format!(
            "mean {mean_ms:>5} ms, p90 {:>5} ms, in time {:>3}%, core-seconds {:>5}, on duplicates {:>3}, started {:>3}, won {:>3}",
            self.spans_ms[steps * 9 / 10],
            in_time.count() * 100 / steps,
            self.used_ms / 1_000,
            self.duplicate_ms / 1_000,
            self.started,
            self.won,
        )
    }
}

/// Time between the arrivals of two steps for a load of the pool, in milliseconds.
fn interval_ms(load_percent: u64) -> u64 {
    let mean_run_ms = START_MS + RUN_MS * (100 + SLOW_PERCENT * (SLOW_FACTOR - 1)) / 100;
    mean_run_ms * u64::from(TASKS) * 100 / load_percent / PLACES
}

/// Simulates a pool with this load.
fn simulated(slowness: Slowness, load_percent: u64, has_duplicates: bool) -> Pool {
    let mut pool = Pool::new(slowness);
    pool.simulate(interval_ms(load_percent), has_duplicates);
    pool
}

/// Guards against a decision that gains less time, or spends more capacity, than this one did: 3 of 100
/// runs take seven times as long, in a pool that is half used up to overloaded.
#[test]
fn gain_and_cost_by_the_load_of_the_pool() {
    let mut table = String::new();
    for slowness in [Slowness::OfRun, Slowness::OfTask] {
        for load_percent in [50, 80, 95, 120] {
            for has_duplicates in [false, true] {
                let row = simulated(slowness, load_percent, has_duplicates).row();
                let kind = if has_duplicates { "with" } else { "without" };
                writeln!(table, "{slowness:?} {load_percent:>3}% {kind:<7}: {row}").unwrap();
            }
        }
    }
    insta::assert_snapshot!(table);
}

/// Guards against duplicates that go on to take capacity where none ever wins.
#[test]
fn duplicates_that_never_win_take_little_capacity() {
    for load_percent in [50, 80, 95, 120] {
        let pool = simulated(Slowness::OfTask, load_percent, true);
        let percent = pool.duplicate_ms * 100 / pool.used_ms;
        // One in a hundred places, and those that run until the first results are known.
        assert!(percent <= 4, "{percent}% at a load of {load_percent}%");
    }
}

/// Guards against duplicates that delay other tasks: under overload none starts, and below it the steps
/// as a whole end no later than without.
#[test]
fn duplicates_never_cost_the_pool_time() {
    for load_percent in [50, 80, 95, 120] {
        let mean = |has_duplicates| {
            let pool = simulated(Slowness::OfRun, load_percent, has_duplicates);
            pool.spans_ms.iter().sum::<u64>() / pool.spans_ms.len() as u64
        };
        assert!(mean(true) <= mean(false), "{load_percent}%");
    }
    let overloaded = simulated(Slowness::OfRun, 120, true);
    let share = overloaded.duplicate_ms * 100 / overloaded.used_ms;
    assert_eq!(share, 0, "percent of the capacity on duplicates");
}
