//! What the ends of jobs are worth.

use super::jobs::{CORES_MILLI, Job};

/// Share of its utility that a late end earns.
const LATE_SHARE: f64 = 0.15;

/// Ends of the jobs of a class.
#[derive(Debug, Clone, Copy, Default)]
pub struct Outcome {
    jobs: usize,
    in_time: usize,
    late: usize,
    /// Utility earned, and of all jobs.
    utility: (f64, f64),
    /// Jobs served, in time or late, and all, of the largest 10 %.
    largest: (usize, usize),
    /// The same of the next 20 %.
    next: (usize, usize),
}

/// Utility of an end in time.
fn utility(job: &Job, mean_work: f64) -> f64 {
    (0.3 + 0.7 * job.work() as f64 / mean_work).min(4.0)
}

fn mean_work(jobs: &[&Job]) -> f64 {
    jobs.iter().map(|job| job.work() as f64).sum::<f64>() / jobs.len() as f64
}

impl Outcome {
    /// Outcome of the jobs of one priority.
    pub fn of(jobs: &[Job], ends: &[Option<u64>], priority: u32) -> Self {
        let class: Vec<(&Job, Option<u64>)> = jobs
            .iter()
            .zip(ends.iter().copied())
            .filter(|(job, _)| job.priority == priority)
            .collect();
        let all: Vec<&Job> = class.iter().map(|(job, _)| *job).collect();
        let mean_work = mean_work(&all);
        let mut by_size = class.clone();
        by_size.sort_by_key(|(job, _)| std::cmp::Reverse(job.work()));
        let served =
            |(job, end): &&(&Job, Option<u64>)| end.is_some_and(|end| end <= job.last_ms());
        let (tenth, third) = (by_size.len() / 10, by_size.len() * 3 / 10);
        let band = |part: &[(&Job, Option<u64>)]| (part.iter().filter(served).count(), part.len());
        let mut outcome = Self {
            jobs: class.len(),
            largest: band(&by_size[..tenth]),
            next: band(&by_size[tenth..third]),
            ..Self::default()
        };
        for (job, end) in class {
            let full = utility(job, mean_work);
            outcome.utility.1 += full;
            match end {
                Some(end) if end <= job.due_ms() => {
                    outcome.in_time += 1;
                    outcome.utility.0 += full;
                }
                Some(end) if end <= job.last_ms() => {
                    outcome.late += 1;
                    outcome.utility.0 += full * LATE_SHARE;
                }
                _ => {}
            }
        }
        outcome
    }

    /// Both outcomes together.
    pub fn plus(self, other: Self) -> Self {
        let add =
            |left: (usize, usize), right: (usize, usize)| (left.0 + right.0, left.1 + right.1);
        Self {
            jobs: self.jobs + other.jobs,
            in_time: self.in_time + other.in_time,
            late: self.late + other.late,
            utility: (
                self.utility.0 + other.utility.0,
                self.utility.1 + other.utility.1,
            ),
            largest: add(self.largest, other.largest),
            next: add(self.next, other.next),
        }
    }

    /// Utility earned relative to that of all jobs.
    pub fn utility(&self) -> f64 {
        self.utility.0 / self.utility.1
    }

    pub fn served_share(&self) -> f64 {
        (self.in_time + self.late) as f64 / self.jobs as f64
    }

    pub fn largest_share(&self) -> f64 {
        self.largest.0 as f64 / self.largest.1 as f64
    }

    pub fn next_share(&self) -> f64 {
        self.next.0 as f64 / self.next.1 as f64
    }
}

impl std::fmt::Display for Outcome {
    fn fmt(&self, out: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        let Self {
            jobs,
            in_time,
            late,
            ..
        } = self;
        write!(
            out,
            "{jobs:>4} jobs, {in_time:>4} in time, {late:>3} late, utility {:.3}, served {:.2}, \
             largest 10 % {:.2}, next 20 % {:.2}",
            self.utility(),
            self.served_share(),
            self.largest_share(),
            self.next_share()
        )
    }
}

/// Upper bound on the utility of the batch class in hindsight, relative to that of all its jobs: the jobs are
/// chosen by utility for each unit of work, the last one in part, as if each could use the whole room from the
/// first arrival to the last due time that the urgent jobs leave. All others count as late.
pub fn hindsight_bound(jobs: &[Job]) -> f64 {
    let span_ms = jobs.iter().map(Job::due_ms).max().unwrap_or(0);
    let urgent = jobs.iter().filter(|job| job.priority == 0);
    let urgent_work: u64 = urgent.map(Job::work).sum();
    let mut room = (span_ms * CORES_MILLI / 1_000).saturating_sub(urgent_work) as f64;
    let mut batch: Vec<&Job> = jobs.iter().filter(|job| job.priority != 0).collect();
    let mean_work = mean_work(&batch);
    let density = |job: &Job| utility(job, mean_work) / job.work() as f64;
    batch.sort_by(|left, right| density(right).total_cmp(&density(left)));
    let total: f64 = batch.iter().map(|job| utility(job, mean_work)).sum();
    let earned = batch.iter().map(|job| {
        let share = (room / job.work() as f64).clamp(0.0, 1.0);
        room -= share * job.work() as f64;
        utility(job, mean_work) * (share + LATE_SHARE * (1.0 - share))
    });
    earned.sum::<f64>() / total
}
