//! A new job, as far as its admission depends on it.

/// Multiple of its objective after which the end of a job is worth nothing to its caller.
const WORTHLESS_FACTOR: u64 = 3;

/// How often the steps of a job run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Repetition {
    /// Once, as soon as possible.
    Once,
    /// By a schedule; such a job is never refused.
    Recurring,
    /// Until it is cancelled; such a job is never refused.
    LongRunning,
}

/// What a job needs of one kind of processors: reserved ones, or those that others leave unused.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Demand {
    /// Work of all its tasks of this kind, in core-milliseconds; 0 if it has none.
    pub work: u64,
    /// Processors of the largest of these tasks, in thousandths.
    pub largest_milli: u64,
}

/// A new job.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Arrival<'a> {
    /// Name of the pool that serves it.
    pub pool: &'a str,
    /// Priority of its queue; 0 is the most urgent.
    pub priority: u32,
    /// How often it runs.
    pub repetition: Repetition,
    /// Time within which it should end, from now, in milliseconds.
    pub objective_ms: u64,
    /// Longest chain of estimated run times through its steps, in milliseconds.
    pub path_ms: u64,
    /// Needs of its ordinary tasks.
    pub ordinary: Demand,
    /// Needs of its fillers.
    pub fillers: Demand,
}

impl Arrival<'_> {
    /// Longest wait for processors after which the job still ends in time to be worth anything, in
    /// milliseconds.
    ///
    /// ```
    /// use admission::{Arrival, Demand, Repetition};
    /// let arrival = Arrival { pool: "p", priority: 0, repetition: Repetition::Once,
    ///     objective_ms: 1_000, path_ms: 600, ordinary: Demand::default(), fillers: Demand::default() };
    /// assert_eq!(arrival.longest_wait_ms(), 2_400);
    /// ```
    pub fn longest_wait_ms(&self) -> u64 {
        let limit_ms = self.objective_ms.saturating_mul(WORTHLESS_FACTOR);
        limit_ms.saturating_sub(self.path_ms)
    }

    /// Work of all its tasks, in core-milliseconds.
    ///
    /// ```
    /// use admission::{Arrival, Demand, Repetition};
    /// let demand = Demand { work: 500, largest_milli: 1_000 };
    /// let arrival = Arrival { pool: "p", priority: 0, repetition: Repetition::Once,
    ///     objective_ms: 1_000, path_ms: 600, ordinary: demand, fillers: demand };
    /// assert_eq!(arrival.work(), 1_000);
    /// ```
    pub fn work(&self) -> u64 {
        self.ordinary.work.saturating_add(self.fillers.work)
    }
}
