//! Judges a worker by the ends and the progress of its runs.

use model::JobId;

/// Failures in a row after which a worker is set aside.
const FAILURES: u32 = 3;
/// Flows among them, so that one faulty flow condemns no worker.
const FLOWS: usize = 2;
/// How long a worker is set aside the first time, in milliseconds.
const FIRST_PAUSE_MS: u64 = 3_000;
/// Longest time for which a worker is set aside, in milliseconds: a task that lasts has to run again
/// within 6 s, on a worker that has recovered too.
const LONGEST_PAUSE_MS: u64 = 4_000;

/// Whether a worker does what it is told.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Health {
    /// Flows whose runs failed there since the last success.
    failed: Vec<JobId>,
    /// Failures since the last success.
    failures: u32,
    /// How often it was set aside since the last success.
    pauses: u32,
    /// Time until which it gets no work.
    pub paused_until_ms: u64,
    /// Whether it has to show one success before it gets more than one new run at a time.
    pub probation: bool,
}

impl Health {
    /// Takes a success.
    ///
    /// ```
    /// let mut health = flow::Health::default();
    /// health.on_success();
    /// assert!(!health.probation);
    /// ```
    pub fn on_success(&mut self) {
        *self = Self::default();
    }

    /// Takes a failure; answers whether the worker is set aside for it. Failures while it is set
    /// aside are of runs that it had before, and say nothing new.
    ///
    /// ```
    /// let mut health = flow::Health::default();
    /// assert!(!health.on_failure(0, &"a".into()));
    /// assert!(!health.on_failure(0, &"a".into()));
    /// assert!(health.on_failure(0, &"b".into()));
    /// ```
    pub fn on_failure(&mut self, now_ms: u64, job: &JobId) -> bool {
        if now_ms < self.paused_until_ms {
            return false;
        }
        self.failures += 1;
        if !self.failed.contains(job) && self.failed.len() < FLOWS {
            self.failed.push(job.clone());
        }
        let is_bad = self.failures >= FAILURES && self.failed.len() >= FLOWS;
        if is_bad || self.probation {
            self.pause(now_ms);
            return true;
        }
        false
    }

    /// Sets the worker aside, for longer each time.
    ///
    /// ```
    /// let mut health = flow::Health::default();
    /// health.pause(1_000);
    /// assert!(health.paused_until_ms > 1_000 && health.probation);
    /// ```
    pub fn pause(&mut self, now_ms: u64) {
        let pause_ms = FIRST_PAUSE_MS << self.pauses.min(4);
        self.paused_until_ms = now_ms + pause_ms.min(LONGEST_PAUSE_MS);
        self.pauses += 1;
        self.probation = true;
        self.failures = 0;
        self.failed.clear();
    }

    /// Whether the worker may be given a run while it has `trials` that it was given since it was
    /// last set aside; older ones, which may last for ever, do not count.
    ///
    /// ```
    /// assert!(flow::Health::default().takes_work(0, 10));
    /// ```
    pub fn takes_work(&self, now_ms: u64, trials: usize) -> bool {
        now_ms >= self.paused_until_ms && (!self.probation || trials == 0)
    }
}
