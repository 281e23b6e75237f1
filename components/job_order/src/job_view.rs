//! What the order depends on, and its result.

/// Multiple of its objective after which the end of a job is worth nothing.
pub const LATE_FACTOR: u64 = 3;
/// Part of a job's utility that does not depend on its work, relative to a job of mean work.
const FIXED_UTILITY: f64 = 0.3;
/// Greatest utility of a job, relative to a job of mean work.
const MAX_UTILITY: f64 = 4.0;

/// A job that has not ended, as the order sees it.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct JobView {
    /// Priority; 0 is the most urgent.
    pub priority: u32,
    /// Whether it runs until it is cancelled.
    pub is_long_running: bool,
    /// When it arrived, in milliseconds.
    pub arrived_ms: u64,
    /// When it should end, in milliseconds.
    pub due_ms: u64,
    /// Time after its arrival within which it should end, in milliseconds.
    pub objective_ms: u64,
    /// Longest chain of run times that are left, in milliseconds.
    pub remaining_path_ms: u64,
    /// Work that is left, in core-milliseconds.
    pub remaining_work: u64,
    /// All of its work, in core-milliseconds.
    pub work: u64,
    /// Whether any of its tasks has started.
    pub has_begun: bool,
}

/// When a job can still end.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, strum::IntoStaticStr)]
#[strum(serialize_all = "kebab-case")]
pub enum Outlook {
    /// By the time at which it is due.
    InTime,
    /// Later, but within [`LATE_FACTOR`] times its objective.
    Late,
    /// Not even then.
    Hopeless,
}

/// A job in the order.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Ranked {
    /// Its index in the list of jobs.
    pub index: usize,
    /// When it can still end.
    pub outlook: Outlook,
}

impl JobView {
    /// Whether it ends by the time at which it is due if nothing delays it.
    ///
    /// ```
    /// let job = job_order::JobView { due_ms: 900, remaining_path_ms: 500, ..Default::default() };
    /// assert!(job.can_be_in_time(400) && !job.can_be_in_time(401));
    /// ```
    pub fn can_be_in_time(&self, now_ms: u64) -> bool {
        now_ms.saturating_add(self.remaining_path_ms) <= self.due_ms
    }

    /// Whether its end is still worth something if nothing delays it.
    pub(crate) fn can_be_late(&self, now_ms: u64) -> bool {
        let last_ms = self.objective_ms.saturating_mul(LATE_FACTOR);
        let last_ms = self.arrived_ms.saturating_add(last_ms);
        now_ms.saturating_add(self.remaining_path_ms) <= last_ms
    }

    /// Utility of its end in time, relative to a job of mean work.
    pub(crate) fn utility(&self, mean_work: f64) -> f64 {
        let relative = self.work as f64 / mean_work.max(1.0);
        (FIXED_UTILITY + (1.0 - FIXED_UTILITY) * relative).min(MAX_UTILITY)
    }
}
