//! The load pattern "callers compete for insufficient capacity": a burst of 2.6 times the capacity, for 6 s and
//! for 20 s, in a small simulation, with and without admission.
//!
//! A task takes one core. Jobs are served by their due times, and those that are worth nothing any more
//! last. The backlog is measured every 250 ms. Refused callers retry after the time that they were told, as
//! long as the job can still be worth something.

use admission::{Admission, Arrival, Backlog, Demand, Hysteresis, Repetition, admit};
use std::fmt;

/// Seeds of the arrivals; what became of the jobs is added up over them.
const SEEDS: std::ops::RangeInclusive<u64> = 1..=10;
/// Step of the simulation, in milliseconds.
const STEP_MS: u64 = 10;
/// Cores of the pool, in thousandths.
const CORES_MILLI: u64 = 40_000;
/// Interval between two measurements of the backlog, in milliseconds.
const MEASURE_MS: u64 = 250;
/// Time in which jobs arrive, in milliseconds.
const ARRIVALS_MS: u64 = 60_000;
/// Beginning of the burst, in milliseconds.
const BURST_BEGIN_MS: u64 = 20_000;
/// Load outside of the burst and in it, in percent of the capacity.
const LOAD_PERCENT: [u64; 2] = [85, 260];
/// Mean work of a job, in core-milliseconds, by the sizes below.
const MEAN_WORK: u64 = 20_800;

/// A job of the simulation.
#[derive(Debug, Clone)]
struct Job {
    /// Time of the first attempt, in milliseconds.
    first_ms: u64,
    /// Time of the next attempt, in milliseconds.
    attempt_ms: u64,
    /// Number of tasks.
    tasks: u64,
    /// Estimated run time of a task, in milliseconds.
    estimate_ms: u64,
    /// Actual run time of a task, in milliseconds.
    run_ms: u64,
    /// When it was accepted, in milliseconds; `None` before that.
    accepted_ms: Option<u64>,
    /// Tasks that have not started.
    queued: u64,
    /// Times at which its runs end, in milliseconds.
    ends_ms: Vec<u64>,
    /// When it ended, in milliseconds; `None` before that.
    ended_ms: Option<u64>,
    /// Number of refusals.
    refusals: u64,
}

impl Job {
    fn objective_ms(&self) -> u64 {
        self.estimate_ms * 2 + 1_000
    }

    /// Time after which it is worth nothing, in milliseconds.
    fn worthless_ms(&self) -> u64 {
        self.first_ms + 3 * self.objective_ms()
    }

    /// Due time by the scheduler, which counts from the acceptance.
    fn due_ms(&self, accepted_ms: u64) -> u64 {
        accepted_ms + self.objective_ms()
    }

    fn arrival(&self) -> Arrival<'static> {
        Arrival {
            pool: "pool",
            priority: 2,
            repetition: Repetition::Once,
            objective_ms: self.objective_ms(),
            path_ms: self.estimate_ms,
            ordinary: Demand {
                work: self.tasks * self.estimate_ms,
                largest_milli: 1_000,
            },
            fillers: Demand::default(),
        }
    }
}

/// Random numbers by a linear congruential generator (Knuth's constants), the same in each run.
struct Numbers(u64);

impl Numbers {
    fn below(&mut self, limit: u64) -> u64 {
        let next = self.0.wrapping_mul(6_364_136_223_846_793_005);
        self.0 = next.wrapping_add(1_442_695_040_888_963_407);
        (self.0 >> 33) % limit
    }
}

/// Jobs of 4 to 16 tasks of about 2 s, one in ten five times as large; estimates are wrong by up to 90 %.
fn jobs(seed: u64, burst_ms: u64) -> Vec<Job> {
    let burst = BURST_BEGIN_MS..BURST_BEGIN_MS + burst_ms;
    let mut numbers = Numbers(seed);
    let mut jobs = Vec::new();
    let mut at_ms = 0;
    while at_ms < ARRIVALS_MS {
        let load = LOAD_PERCENT[usize::from(burst.contains(&at_ms))];
        let mean_ms = MEAN_WORK * 1_000 * 100 / (CORES_MILLI * load);
        at_ms += numbers.below(2 * mean_ms) + 1;
        let factor = if numbers.below(10) == 0 { 5 } else { 1 };
        let estimate_ms = 1_000 + numbers.below(1_000);
        let tasks = (4 + numbers.below(13)) * factor;
        jobs.push(Job {
            first_ms: at_ms,
            attempt_ms: at_ms,
            tasks,
            estimate_ms,
            run_ms: estimate_ms * (10 + numbers.below(181)) / 100,
            accepted_ms: None,
            queued: tasks,
            ends_ms: Vec::new(),
            ended_ms: None,
            refusals: 0,
        });
    }
    jobs
}

/// Backlog of the accepted jobs, by their estimates.
fn measure(now_ms: u64, jobs: &[Job]) -> Backlog {
    let mut backlog = Backlog {
        measured_ms: now_ms,
        ..Backlog::default()
    };
    let kind = &mut backlog.pool_mut("pool").unwrap().ordinary;
    kind.cores_milli = CORES_MILLI;
    for job in jobs {
        let Some(accepted_ms) = job.accepted_ms else {
            continue;
        };
        for end_ms in &job.ends_ms {
            let left_ms = end_ms.saturating_sub(now_ms);
            kind.add_running(2, left_ms * job.estimate_ms / job.run_ms.max(1));
        }
        if now_ms <= accepted_ms + 3 * job.objective_ms() {
            let due_in_ms = job.due_ms(accepted_ms).saturating_sub(now_ms);
            kind.add_queued(2, due_in_ms, job.queued * job.estimate_ms);
        }
    }
    kind.largest_free_milli = CORES_MILLI - running(jobs) * 1_000;
    backlog
}

fn running(jobs: &[Job]) -> u64 {
    jobs.iter().map(|job| job.ends_ms.len() as u64).sum()
}

/// Ends runs and starts queued tasks, in the order of the scheduler.
fn advance(now_ms: u64, jobs: &mut [Job]) {
    for job in jobs.iter_mut() {
        job.ends_ms.retain(|end_ms| *end_ms > now_ms);
        let is_done = job.accepted_ms.is_some() && job.queued == 0 && job.ends_ms.is_empty();
        if is_done && job.ended_ms.is_none() {
            job.ended_ms = Some(now_ms);
        }
    }
    let rank = |job: &Job| {
        let accepted_ms = job.accepted_ms.unwrap_or(u64::MAX);
        let is_overdue = now_ms > accepted_ms.saturating_add(3 * job.objective_ms());
        (is_overdue, accepted_ms.saturating_add(job.objective_ms()))
    };
    let mut free = CORES_MILLI / 1_000 - running(jobs);
    let waiting = jobs
        .iter_mut()
        .filter(|job| job.accepted_ms.is_some() && job.queued > 0);
    let mut order: Vec<&mut Job> = waiting.collect();
    order.sort_by_key(|job| rank(job));
    for job in order {
        let starts = job.queued.min(free);
        job.queued -= starts;
        free -= starts;
        let end_ms = now_ms + job.run_ms;
        job.ends_ms.extend((0..starts).map(|_| end_ms));
    }
}

/// What became of the jobs.
#[derive(Debug, Default)]
struct Outcome {
    jobs: u64,
    refusals: u64,
    accepted: u64,
    in_time: u64,
    late: u64,
    worthless: u64,
    given_up: u64,
    /// Served jobs of the largest tenth, and their number.
    large: [u64; 2],
    /// Starts of refusing.
    starts: u64,
    /// Sum of the utilities, with that of a mean job as 1.
    utility: f64,
}

impl fmt::Display for Outcome {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Outcome {
            jobs,
            refusals,
            accepted,
            in_time,
            late,
            worthless,
            given_up,
            ..
        } = self;
        writeln!(
            out,
            "jobs {jobs}, refusals {refusals} in {} periods",
            self.starts
        )?;
        writeln!(out, "accepted {accepted}, given up {given_up}")?;
        writeln!(out, "in time {in_time}, late {late}, worthless {worthless}")?;
        writeln!(
            out,
            "large ones served {} of {}",
            self.large[0], self.large[1]
        )?;
        writeln!(out, "utility {:.3}", self.utility / *jobs as f64)
    }
}

/// Plays the burst to its end.
fn play(seed: u64, burst_ms: u64, has_admission: bool) -> (Vec<Job>, Outcome) {
    let mut jobs = jobs(seed, burst_ms);
    let mut state = Hysteresis::default();
    let mut backlog = Backlog::default();
    let mut numbers = Numbers(11);
    let mut outcome = Outcome::default();
    let mut was_refusing = false;
    for now_ms in (0..ARRIVALS_MS * 3).step_by(STEP_MS as usize) {
        advance(now_ms, &mut jobs);
        if now_ms % MEASURE_MS == 0 {
            backlog = measure(now_ms, &jobs);
        }
        for job in &mut jobs {
            let is_open = job.accepted_ms.is_none() && job.attempt_ms <= now_ms;
            if !is_open || job.attempt_ms > job.worthless_ms() {
                continue;
            }
            let known = has_admission.then_some(&backlog);
            let spread = numbers.below(1_000) as f64 / 1_000.0;
            match admit(now_ms, known, &job.arrival(), &mut state, spread) {
                Admission::Accept => job.accepted_ms = Some(now_ms),
                Admission::Refuse { retry_after_s } => {
                    job.refusals += 1;
                    job.attempt_ms = now_ms + u64::from(retry_after_s) * 1_000;
                }
            }
        }
        let is_refusing = state.is_refusing(now_ms);
        outcome.starts += u64::from(is_refusing && !was_refusing);
        was_refusing = is_refusing;
    }
    for job in &jobs {
        outcome.count(job);
    }
    (jobs, outcome)
}

impl Outcome {
    fn count(&mut self, job: &Job) {
        self.jobs += 1;
        self.refusals += job.refusals;
        self.accepted += u64::from(job.accepted_ms.is_some());
        self.given_up += u64::from(job.accepted_ms.is_none());
        let after_ms = job.ended_ms.map(|ended_ms| ended_ms - job.first_ms);
        let served = after_ms.filter(|after_ms| *after_ms <= 3 * job.objective_ms());
        let is_large = job.tasks > 20;
        self.large[0] += u64::from(is_large && served.is_some());
        self.large[1] += u64::from(is_large);
        let mean_work = MEAN_WORK as f64;
        let size = 0.3 + 0.7 * (job.tasks * job.estimate_ms) as f64 / mean_work;
        match served {
            Some(after_ms) if after_ms <= job.objective_ms() => {
                self.in_time += 1;
                self.utility += size.min(4.0);
            }
            Some(_) => {
                self.late += 1;
                self.utility += 0.15 * size.min(4.0);
            }
            None if job.accepted_ms.is_some() => self.worthless += 1,
            None => {}
        }
    }
}

/// Sums over all seeds.
fn play_all(burst_ms: u64, has_admission: bool) -> Outcome {
    let mut sum = Outcome::default();
    for seed in SEEDS {
        let (jobs, outcome) = play(seed, burst_ms, has_admission);
        for job in &jobs {
            sum.count(job);
        }
        sum.starts += outcome.starts;
    }
    sum
}

/// Guards against admission that serves fewer jobs in time, fewer large ones or less utility under a burst than no
/// admission does, and against refusing that flaps. The snapshot guards against more refusals than now.
#[test]
fn bursts_with_and_without_admission() {
    let mut text = String::new();
    for burst_ms in [6_000, 20_000] {
        let without = play_all(burst_ms, false);
        let with = play_all(burst_ms, true);
        text += &format!("{burst_ms} ms without admission\n{without}\n");
        text += &format!("{burst_ms} ms with admission\n{with}\n");
        assert!(with.utility >= without.utility, "{text}");
        assert!(with.in_time >= without.in_time, "{text}");
        assert!(with.large[0] >= without.large[0], "{text}");
        assert!(with.worthless < without.worthless, "{text}");
        assert!(with.starts <= 2 * SEEDS.count() as u64, "{text}");
    }
    insta::assert_snapshot!(text);
}

/// Guards against refusals beside a load that the pool can serve.
#[test]
fn nothing_is_refused_before_a_burst() {
    let (jobs, _) = play(1, 6_000, true);
    let early = jobs.iter().filter(|job| job.first_ms < BURST_BEGIN_MS);
    assert_eq!(early.map(|job| job.refusals).sum::<u64>(), 0);
}
