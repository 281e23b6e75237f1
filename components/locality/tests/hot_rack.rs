//! The hot rack: most jobs have their data on one rack, and a queue is in front of it.

use locality::{NearPlace, Verdict, decide};
use std::fmt::Write;

/// Racks; the data of most jobs are on the first.
const RACKS: usize = 4;
/// Places in each rack, for one task each.
const PLACES: usize = 8;
/// Time between two scheduling passes, in milliseconds.
const PASS_MS: u64 = 20;
/// Time in which jobs arrive, in milliseconds.
const ARRIVALS_MS: u64 = 60_000;
/// Declared run time of a task near its data, in milliseconds.
const RUN_MS: u64 = 2_000;
/// Greatest deviation of the actual run time from it, in percent.
const DEVIATION_PERCENT: u64 = 30;
/// Factor by which a remote run takes longer.
const REMOTE_FACTOR: f64 = 2.0;
/// Objective of a job: this multiple of its declared run time, in percent, ...
const STRETCH_PERCENT: u64 = 150;
/// ... and this time, in milliseconds.
const LATENCY_TARGET_MS: u64 = 1_000;
/// Arrivals of which the data are on the first rack, in percent.
const HOT_PERCENT: u64 = 70;

/// How a task without a free near place is treated.
#[derive(Debug, Clone, Copy, PartialEq)]
enum Rule {
    /// It never waits.
    Never,
    /// It always waits.
    Always,
    /// The rule of this crate.
    Bounded,
}

/// A job of one task.
#[derive(Debug, Clone, Copy)]
struct Job {
    arrived_ms: u64,
    rack: usize,
    run_ms: u64,
    waited_since_ms: Option<u64>,
}

/// Deterministic number below 100, scattered.
fn scattered(number: u64) -> u64 {
    number.wrapping_mul(0x9E37_79B9_7F4A_7C15).rotate_left(23) % 100
}

/// Jobs that arrive evenly, with a total near work of `load_percent` of all places.
fn arrivals(load_percent: u64) -> Vec<Job> {
    let all_places = (RACKS * PLACES) as u64;
    let count = ARRIVALS_MS * all_places * load_percent / 100 / RUN_MS;
    let job = |number| {
        let is_hot = scattered(number) < HOT_PERCENT;
        let deviation = scattered(number + 7_919) * 2 * DEVIATION_PERCENT / 100;
        Job {
            arrived_ms: number * ARRIVALS_MS / count,
            rack: if is_hot {
                0
            } else {
                1 + number as usize % (RACKS - 1)
            },
            run_ms: RUN_MS * (100 - DEVIATION_PERCENT + deviation) / 100,
            waited_since_ms: None,
        }
    };
    (0..count).map(job).collect()
}

/// Time from the arrival of a job within which it should end, in milliseconds.
const OBJECTIVE_MS: u64 = RUN_MS * STRETCH_PERCENT / 100 + LATENCY_TARGET_MS;

/// The racks during a simulation, with what the rule measured.
#[derive(Default)]
struct Racks {
    /// Actual and expected ends of the runs in each rack, in milliseconds.
    runs: [Vec<(u64, u64)>; RACKS],
    ended_after_ms: Vec<u64>,
    remote_runs: usize,
}

impl Racks {
    fn start(&mut self, now_ms: u64, job: &Job, rack: usize) {
        let factor = if rack == job.rack { 1.0 } else { REMOTE_FACTOR };
        let take_ms = |run_ms: u64| (run_ms as f64 * factor) as u64;
        let end_ms = now_ms + take_ms(job.run_ms);
        self.runs[rack].push((end_ms, now_ms + take_ms(RUN_MS)));
        self.ended_after_ms.push(end_ms - job.arrived_ms);
        self.remote_runs += usize::from(rack != job.rack);
    }

    /// Expected releases of a rack, in milliseconds from now, each after the tasks in front of it.
    fn releases(&self, now_ms: u64, rack: usize) -> Vec<u64> {
        let expected = self.runs[rack].iter();
        expected
            .map(|(_, end_ms)| end_ms.saturating_sub(now_ms))
            .collect()
    }

    fn verdict(&self, now_ms: u64, job: &Job, rule: Rule, releases: &[u64]) -> Verdict {
        if self.runs[job.rack].len() < PLACES {
            return Verdict::PlaceNear;
        }
        let near = releases.iter().map(|expected_ms| NearPlace {
            free_now: false,
            expected_free_ms: Some(*expected_ms),
        });
        let near: Vec<NearPlace> = near.collect();
        let due_ms = job.arrived_ms + OBJECTIVE_MS;
        let (factor, slack_ms) = match rule {
            Rule::Never => (1.0, 0),
            Rule::Always => return Verdict::Wait { until_ms: u64::MAX },
            Rule::Bounded => (REMOTE_FACTOR, due_ms.saturating_sub(now_ms + RUN_MS)),
        };
        decide(now_ms, job.waited_since_ms, &near, RUN_MS, factor, slack_ms)
    }

    /// One pass over the queue, oldest job first. Returns the jobs that stay queued.
    fn pass(&mut self, now_ms: u64, rule: Rule, queue: Vec<Job>) -> Vec<Job> {
        for runs in &mut self.runs {
            runs.retain(|(end_ms, _)| *end_ms > now_ms);
        }
        let mut releases: Vec<Vec<u64>> = (0..RACKS).map(|at| self.releases(now_ms, at)).collect();
        let mut left = Vec::new();
        for mut job in queue {
            let verdict = self.verdict(now_ms, &job, rule, &releases[job.rack]);
            let emptiest = (0..RACKS).min_by_key(|rack| self.runs[*rack].len());
            let emptiest = emptiest.filter(|rack| self.runs[*rack].len() < PLACES);
            match (verdict, emptiest) {
                (Verdict::PlaceNear, _) => self.start(now_ms, &job, job.rack),
                (Verdict::PlaceRemote(_), Some(rack)) => self.start(now_ms, &job, rack),
                (Verdict::PlaceRemote(_), None) => left.push(job),
                (Verdict::Wait { .. }, _) => {
                    job.waited_since_ms.get_or_insert(now_ms);
                    // The next release goes to this task, and the place is free again after it.
                    if let Some(soonest) = releases[job.rack].iter_mut().min() {
                        *soonest += RUN_MS;
                    }
                    left.push(job);
                }
            }
        }
        left
    }
}

/// Mean completion time, share of jobs in time, and remote runs of a rule.
fn simulate(rule: Rule, load_percent: u64) -> String {
    let mut racks = Racks::default();
    let mut coming = arrivals(load_percent).into_iter().peekable();
    let (mut queue, mut now_ms) = (Vec::new(), 0);
    while coming.peek().is_some() || !queue.is_empty() {
        while let Some(job) = coming.next_if(|job| job.arrived_ms <= now_ms) {
            queue.push(job);
        }
        queue = racks.pass(now_ms, rule, queue);
        now_ms += PASS_MS;
    }
    let ends = &racks.ended_after_ms;
    let mean_ms = ends.iter().sum::<u64>() / ends.len() as u64;
    let in_time = ends.iter().filter(|ms| **ms <= OBJECTIVE_MS).count();
    let in_time_percent = in_time * 100 / ends.len();
    let remote = racks.remote_runs;
    let jobs = ends.len();
    format!(
        "load {load_percent:>3} % {rule:<8} mean {mean_ms:>6} ms, in time {in_time_percent:>3} %, \
         remote {remote:>4} of {jobs}",
        rule = format!("{rule:?}"),
    )
}

/// Guards against a rule that serves a hot rack worse than both simple rules: never to wait, and always
/// to wait.
#[test]
fn the_hot_rack_under_three_rules() {
    let mut table = String::new();
    for load_percent in [30, 40, 50, 60, 70, 80] {
        for rule in [Rule::Never, Rule::Always, Rule::Bounded] {
            writeln!(table, "{}", simulate(rule, load_percent)).unwrap();
        }
    }
    insta::assert_snapshot!(table);
}
