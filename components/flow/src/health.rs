//! Health of a worker by the ends and the progress of its runs.

use model::JobId;

/// Consecutive failed runs after which a worker is paused.
const FAILURES_BEFORE_PAUSE: u32 = 3;
/// Distinct flows among those failures, so that a single faulty flow pauses no worker.
const FLOWS_BEFORE_PAUSE: usize = 2;
/// Length of the first pause, in milliseconds.
const FIRST_PAUSE_MS: u64 = 3_000;
/// Upper limit of a pause, in milliseconds. A long-running task has to run again within 6 s, also
/// on a worker that has recovered.
const MAX_PAUSE_MS: u64 = 4_000;
/// Time after which a worker on probation gets new runs although the newest has not ended, in
/// milliseconds. A flow must not wait for 3 s while workers are free.
const PROBATION_RUN_MS: u64 = 2_000;

/// Recent failures of a worker, and the pause and the probation that follow from them.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Health {
    /// Distinct flows whose runs failed there since the last success or pause.
    failed_flows: Vec<JobId>,
    /// Failed runs since the last success or pause.
    failures: u32,
    /// Number of pauses since the last success.
    pauses: u32,
    /// End of the pause, in milliseconds; no new run is placed before.
    pub paused_until_ms: u64,
    /// Whether the worker gets new runs one after another until a run succeeds.
    pub is_on_probation: bool,
}

impl Health {
    /// Records a success, which clears all failures, pauses and the probation.
    ///
    /// ```
    /// let mut health = flow::Health::default();
    /// health.on_success();
    /// assert!(!health.is_on_probation);
    /// ```
    pub fn on_success(&mut self) {
        *self = Self::default();
    }

    /// Records a failure of a run. Returns whether it pauses the worker. Failures during a pause
    /// are ignored, because they are of runs that were placed before it.
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
        if !self.failed_flows.contains(job) && self.failed_flows.len() < FLOWS_BEFORE_PAUSE {
            self.failed_flows.push(job.clone());
        }
        let has_failed_too_often =
            self.failures >= FAILURES_BEFORE_PAUSE && self.failed_flows.len() >= FLOWS_BEFORE_PAUSE;
        if has_failed_too_often || self.is_on_probation {
            self.pause(now_ms);
            return true;
        }
        false
    }

    /// Pauses the worker, for longer each time up to a limit, and puts it on probation.
    ///
    /// ```
    /// let mut health = flow::Health::default();
    /// health.pause(1_000);
    /// assert!(health.paused_until_ms > 1_000 && health.is_on_probation);
    /// ```
    pub fn pause(&mut self, now_ms: u64) {
        let pause_ms = FIRST_PAUSE_MS << self.pauses.min(4);
        self.paused_until_ms = now_ms + pause_ms.min(MAX_PAUSE_MS);
        self.pauses += 1;
        self.is_on_probation = true;
        self.failures = 0;
        self.failed_flows.clear();
    }

    /// Whether the worker accepts new runs. `newest_run_ms` is when its newest run was placed, in
    /// milliseconds; `None` if it has none. On probation it accepts further ones only some time after
    /// the newest, until one succeeds. It does not wait for their ends, because they may last for ever.
    ///
    /// ```
    /// let mut health = flow::Health::default();
    /// assert!(health.accepts_work(0, Some(0)));
    /// health.pause(0);
    /// let end_ms = health.paused_until_ms;
    /// assert!(health.accepts_work(end_ms, None));
    /// assert!(!health.accepts_work(end_ms + 100, Some(end_ms)));
    /// assert!(health.accepts_work(end_ms + 5_000, Some(end_ms)));
    /// ```
    pub fn accepts_work(&self, now_ms: u64, newest_run_ms: Option<u64>) -> bool {
        let is_watching = newest_run_ms.is_some_and(|placed_ms| {
            placed_ms >= self.paused_until_ms && now_ms < placed_ms + PROBATION_RUN_MS
        });
        !(self.is_paused(now_ms) || self.is_on_probation && is_watching)
    }

    /// Whether the worker is paused.
    ///
    /// ```
    /// assert!(!flow::Health::default().is_paused(0));
    /// ```
    pub fn is_paused(&self, now_ms: u64) -> bool {
        now_ms < self.paused_until_ms
    }

    /// Whether the worker accepts new runs although it is paused, as all workers of its pool are, so
    /// that the cause may be with the flows. `newest_run_ms` is as for [`Health::accepts_work`].
    ///
    /// ```
    /// let mut health = flow::Health::default();
    /// health.pause(0);
    /// assert!(health.accepts_trial(100, None));
    /// assert!(!health.accepts_trial(100, Some(50)));
    /// ```
    pub fn accepts_trial(&self, now_ms: u64, newest_run_ms: Option<u64>) -> bool {
        newest_run_ms.is_none_or(|placed_ms| now_ms >= placed_ms + PROBATION_RUN_MS)
    }
}
