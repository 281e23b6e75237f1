//! Whether a run gets a duplicate.

use crate::budget::{Room, budget};

/// Time for which a duplicate waits for its record and its start order, in milliseconds.
const START_MS: u64 = 120;
/// Part of the median run time before which a run's progress says too little, in percent. A run that
/// takes seven times as long shows 3 % of progress by then, any other about 25 %.
const MIN_ELAPSED_PERCENT: u64 = 25;
/// Least time after which a run is judged, in milliseconds; shorter ones are dominated by the delay of
/// reports.
const MIN_ELAPSED_MS: u64 = 150;
/// Least expected gain, in percent of the median run time. Run times of equal tasks differ by as much.
const MIN_GAIN_PERCENT: u64 = 25;
/// Worth of time that is gained for a job which ends late all the same. A late job earns 15 % of its
/// utility.
const LATE_WORTH: f64 = 0.15;
/// Least speed of a worker that is told apart, as a share of the normal speed.
const MIN_SPEED: f64 = 0.05;
/// Greatest speed that a run's progress may show for the run to count as slowed by its worker. Above it,
/// the run is not affected by what makes the worker slow, or the worker has recovered.
const MAX_SLOWED_SPEED: f64 = 0.75;

/// A run in progress, as of its worker's last report.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RunView {
    /// Time from its start to the report, in milliseconds.
    pub elapsed_ms: u64,
    /// Reported progress, from 0 to 100; 0 also if the task reports none.
    pub percent: u32,
    /// Time within which 9 of 10 such runs end, in milliseconds.
    pub expected_ms: u64,
    /// Median run time, in milliseconds.
    pub median_ms: u64,
    /// Speed of its worker as a share of the normal speed; 1 if it is not known.
    pub worker_speed: f64,
}

/// Why a duplicate is started or not. Its text form is written to the log.
///
/// ```
/// assert_eq!(duplicates::Reason::SlowProgress.to_string(), "slow-progress");
/// ```
#[derive(Debug, Clone, Copy, PartialEq, Eq, strum::Display, strum::IntoStaticStr)]
#[strum(serialize_all = "kebab-case")]
pub enum Reason {
    /// The run progresses so slowly that a second one is expected to end first.
    SlowProgress,
    /// The run reports no progress and has taken longer than expected.
    Overtime,
    /// The run's worker is so slow that a second run is expected to end first.
    SlowWorker,
    /// Tasks of the same or a more urgent priority are queued.
    OthersQueued,
    /// As many duplicates run as the room allows.
    BudgetSpent,
    /// The run has just started, so that its progress says too little.
    TooEarly,
    /// A duplicate would hardly end earlier.
    GainTooSmall,
    /// The run is expected to end early enough.
    InTime,
    /// The gain does not make up for the capacity taken from other tasks.
    CapacityTooDear,
}

/// Whether a duplicate of a run starts, and why.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Verdict {
    /// A duplicate starts.
    Start(Reason),
    /// The run goes on alone.
    Keep(Reason),
}

impl RunView {
    /// Speed of its worker, if that is known to be slow and the run's progress doesn't show otherwise.
    fn slowed_to(&self) -> Option<f64> {
        // Progress is rounded down, so that a run may be one percent further.
        let done = u64::from(self.percent) + 1;
        let done_ms = self.median_ms.saturating_mul(done) as f64 / 100.0;
        let is_slowed = done_ms <= self.elapsed_ms as f64 * MAX_SLOWED_SPEED;
        (self.worker_speed < 1.0 && is_slowed).then_some(self.worker_speed.max(MIN_SPEED))
    }

    /// Time after which its progress says how long it will take, in milliseconds.
    fn judged_after_ms(&self) -> u64 {
        let least_ms = self.median_ms.saturating_mul(MIN_ELAPSED_PERCENT) / 100;
        least_ms.max(MIN_ELAPSED_MS)
    }

    /// Expected time until the run ends, in milliseconds, and the reason to give for a duplicate; `None` if
    /// it is too early to tell.
    fn remaining(&self) -> Option<(u64, Reason)> {
        let is_judged = self.elapsed_ms >= self.judged_after_ms();
        let by_run = is_judged.then(|| self.remaining_by_run());
        let speed = self
            .slowed_to()
            .filter(|_| self.elapsed_ms >= MIN_ELAPSED_MS);
        let by_worker = speed.map(|speed| (self.remaining_at(speed), Reason::SlowWorker));
        by_worker
            .into_iter()
            .chain(by_run)
            .max_by_key(|(remaining_ms, _)| *remaining_ms)
    }

    /// The same by the run's own progress, or by the time that it has taken if it reports none.
    fn remaining_by_run(&self) -> (u64, Reason) {
        if self.percent > 0 {
            // Progress is rounded down, so that a run may be one percent further.
            let left = u64::from(100_u32.saturating_sub(self.percent));
            let done = u64::from(self.percent) + 1;
            let remaining_ms = self.elapsed_ms.saturating_mul(left) / done;
            return (remaining_ms, Reason::SlowProgress);
        }
        let expected_ms = (self.expected_ms as f64 / self.slowed_to().unwrap_or(1.0)) as u64;
        let mut remaining_ms = self.median_ms.saturating_sub(self.elapsed_ms);
        if self.elapsed_ms > expected_ms {
            // The longer a run has taken beyond what is usual, the longer it is likely to take.
            remaining_ms = remaining_ms.max(self.elapsed_ms);
        }
        (remaining_ms, Reason::Overtime)
    }

    /// Time until the run ends on a worker of this speed, in milliseconds.
    fn remaining_at(&self, speed: f64) -> u64 {
        if self.percent > 0 {
            let left = u64::from(100_u32.saturating_sub(self.percent));
            let left_ms = self.median_ms.saturating_mul(left) / 100;
            return (left_ms as f64 / speed) as u64;
        }
        let whole_ms = (self.median_ms as f64 / speed) as u64;
        whole_ms.saturating_sub(self.elapsed_ms)
    }
}

/// Whether a duplicate of a run starts that needs `need_milli` processors in thousandths. `slack_ms` is
/// the time from now within which the task must end for its job to meet its objective; negative if it
/// can't any more.
///
/// ```
/// use duplicates::{Reason, Room, RunView, Verdict, decide};
/// let run = RunView {
///     elapsed_ms: 500, percent: 7, expected_ms: 1_200, median_ms: 1_000, worker_speed: 1.0,
/// };
/// let room = Room { free_milli: 20_000, total_milli: 100_000, ..Default::default() };
/// assert_eq!(decide(&run, 1_000, 1_250, &room), Verdict::Start(Reason::SlowProgress));
/// let full = Room { queued_milli: 1_000, ..room };
/// assert_eq!(decide(&run, 1_000, 1_250, &full), Verdict::Keep(Reason::OthersQueued));
/// ```
pub fn decide(run: &RunView, need_milli: u32, slack_ms: i64, room: &Room) -> Verdict {
    if room.queued_milli > 0 {
        return Verdict::Keep(Reason::OthersQueued);
    }
    if room.duplicates >= budget(room, need_milli) {
        return Verdict::Keep(Reason::BudgetSpent);
    }
    let Some((remaining_ms, reason)) = run.remaining() else {
        return Verdict::Keep(Reason::TooEarly);
    };
    let new_ms = run.median_ms.saturating_add(START_MS);
    let gain_ms = remaining_ms.saturating_sub(new_ms);
    if gain_ms <= run.median_ms.saturating_mul(MIN_GAIN_PERCENT) / 100 {
        return Verdict::Keep(Reason::GainTooSmall);
    }
    if i64::try_from(remaining_ms).is_ok_and(|remaining_ms| remaining_ms <= slack_ms) {
        return Verdict::Keep(Reason::InTime);
    }
    let ends_in_time = i64::try_from(new_ms).is_ok_and(|new_ms| new_ms <= slack_ms);
    let worth = if ends_in_time { 1.0 } else { LATE_WORTH };
    // Capacity has a price only where other tasks may want it, which is likelier the fuller the pool.
    if gain_ms as f64 * worth <= new_ms as f64 * room.used_share() {
        return Verdict::Keep(Reason::CapacityTooDear);
    }
    Verdict::Start(reason)
}
