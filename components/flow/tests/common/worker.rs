//! Model of a worker.

use flow::{EndedRun, Incarnation, PollPlan, RunEnd, TaskKey};
use model::{DomainName, Resources};
use std::collections::BTreeMap;

/// Difference between the clocks of workers and of the scheduler, in milliseconds.
const CLOCK_ORIGIN_MS: u64 = 50_000;

/// How a worker behaves.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Mode {
    /// The worker runs its tasks normally.
    Healthy,
    /// Every run fails after 100 ms.
    FailsAll,
    /// Every run that starts at this time or later fails after 100 ms; older runs continue.
    FailsFrom(u64),
    /// Runs make no progress.
    Stalls,
    /// The worker is unreachable; its runs continue until its lease expires. Polls arrive when it is
    /// reachable again.
    Partitioned,
    /// Polls arrive, but their answers are lost.
    Mute,
}

/// A run in progress on a model worker.
#[derive(Debug, Clone)]
pub(super) struct ModelRun {
    /// Number of the run.
    pub(super) run: u32,
    /// When it started, in milliseconds.
    pub(super) started_ms: u64,
    /// Progress, in millionths.
    pub(super) done_micro: u64,
    /// Share of its processors that it may use, in percent.
    pub(super) pace: u32,
    /// Whether it writes checkpoints.
    pub(super) saves_progress: bool,
}

impl ModelRun {
    /// Newest checkpoint: its progress in millionths, as text.
    pub(super) fn checkpoint(&self) -> Option<String> {
        self.saves_progress.then(|| self.done_micro.to_string())
    }
}

/// A worker with its runs in progress and its unacknowledged ends.
pub struct ModelWorker {
    /// Present behaviour.
    pub mode: Mode,
    /// Present incarnation.
    pub incarnation: Incarnation,
    /// Total capacity.
    pub capacity: Resources,
    /// Labels; the second one is the name of its rack.
    pub labels: Vec<String>,
    /// Failure domain.
    pub domain: DomainName,
    /// Runs in progress.
    pub(super) running: BTreeMap<TaskKey, ModelRun>,
    /// Unacknowledged ends, oldest first.
    pub(super) ended: Vec<EndedRun>,
    /// Newest run of each task that ended or was stopped, and so can't start any more.
    pub(super) superseded_up_to: BTreeMap<TaskKey, u32>,
    /// Number of the next end.
    pub(super) next_end: u64,
    /// When it was last polled, in milliseconds.
    pub(super) polled_ms: u64,
    /// Rate of its clock, in thousandths of the true rate.
    pub(super) clock_rate_milli: u64,
    /// End of its lease on its own clock, in milliseconds.
    pub(super) lease_until_ms: u64,
    /// Polls that have not arrived yet, oldest first.
    pub(super) delayed_polls: Vec<PollPlan>,
    /// Until when it refuses connections after a crash, in milliseconds.
    pub(super) down_until_ms: u64,
    /// Whether the scheduler was told of its last crash.
    pub(super) is_crash_noticed: bool,
    /// Speed of its runs, in percent of the normal one.
    pub speed_percent: u64,
    /// Latency of each latency-critical task; approaches the value that its interference implies.
    pub latency_ms: BTreeMap<TaskKey, f64>,
}

impl ModelWorker {
    /// Whether a run of the task is in progress.
    pub fn has_run(&self, task: &TaskKey) -> bool {
        self.running.contains_key(task)
    }

    /// Its clock, in milliseconds.
    pub(super) fn clock_ms(&self, now_ms: u64) -> u64 {
        CLOCK_ORIGIN_MS + now_ms * self.clock_rate_milli / 1_000
    }

    /// Ends all runs once the lease has expired.
    pub(super) fn expire_lease(&mut self, now_ms: u64) {
        if self.clock_ms(now_ms) >= self.lease_until_ms {
            let keys: Vec<TaskKey> = self.running.keys().cloned().collect();
            for key in keys {
                self.end(&key, RunEnd::Lapsed);
            }
        }
    }

    pub(super) fn end(&mut self, key: &TaskKey, outcome: RunEnd) {
        let Some(run) = self.running.remove(key) else {
            return;
        };
        let newest = self.superseded_up_to.entry(key.clone()).or_default();
        *newest = (*newest).max(run.run);
        self.ended.push(EndedRun {
            number: self.next_end,
            task: key.clone(),
            run: run.run,
            outcome,
            checkpoint: run.checkpoint(),
        });
        self.next_end += 1;
        self.latency_ms.remove(key);
    }
}
