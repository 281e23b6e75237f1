//! Workers that are kept free of other new runs for suspects: which, for how long, and how many.
//!
//! A worker is only kept free for a task that may start there by the rules that place it. At most
//! half of a pool's workers are kept free at a time, and a worker that was accepts other tasks for a
//! moment before it is again, so that suspects and other tasks take turns wherever they compete.

use crate::candidate::Candidate;
use crate::exclusion::may_run;
use crate::suspects::{RunAge, run_age};
use crate::view::Hold;
use crate::{Scheduler, TaskKey};
use model::{AgentId, ServiceName};

/// Time for which a worker is kept free of new runs for a suspect that waits, in milliseconds. It
/// exceeds the time after which the runs on the worker can't make their tasks suspects any more.
pub(crate) const HOLD_MS: u64 = 1_500;
/// Time for which a worker that was kept free isolates no suspects, in milliseconds. It ends early
/// once another task is placed there.
const OPEN_MS: u64 = 300;
/// Greatest share of a pool's workers that are kept free at a time, in percent.
const MAX_HELD_PERCENT: usize = 50;

impl Scheduler {
    /// Determines which candidates have new runs, and which may be kept free for suspects in this
    /// pass. Opens the workers to other tasks that were kept free until now.
    pub(crate) fn prepare_holds(
        &mut self,
        now_ms: u64,
        candidates: &mut [(ServiceName, Candidate)],
    ) {
        self.open_until_ms.retain(|_, until_ms| now_ms < *until_ms);
        for (_, candidate) in candidates.iter_mut() {
            let agent = &candidate.agent;
            let new_since_ms = self.new_runs_since_ms(now_ms, agent);
            let has_hanging_start =
                new_since_ms.is_some_and(|since_ms| now_ms > since_ms + HOLD_MS);
            let is_unheld = candidate.held_for.is_empty();
            if is_unheld && self.worker_mut(agent).hold.take().is_some() {
                self.open_until_ms.insert(agent.clone(), now_ms + OPEN_MS);
            }
            candidate.has_new_runs = new_since_ms.is_some();
            candidate.is_holdable = !has_hanging_start && !self.open_until_ms.contains_key(agent);
        }
    }

    /// Keeps a worker free of other new runs until `until_ms`, and while runs of the suspects there
    /// are new.
    pub(crate) fn hold(&mut self, key: &TaskKey, candidate: &mut Candidate, until_ms: u64) {
        if !candidate.held_for.contains(key) {
            candidate.held_for.push(key.clone());
        }
        let hold = Hold {
            tasks: candidate.held_for.clone(),
            until_ms,
        };
        self.worker_mut(&candidate.agent).hold = Some(hold);
    }

    /// Suspects for which a worker is kept free of other new runs; none if it accepts any run.
    pub(crate) fn held_for(&self, now_ms: u64, agent: &AgentId) -> Vec<TaskKey> {
        let Some(hold) = self.worker(agent).and_then(|view| view.hold.as_ref()) else {
            return Vec::new();
        };
        let is_held = |task: &&TaskKey| {
            let is_waiting = now_ms < hold.until_ms && self.is_queued(now_ms, task);
            (is_waiting && self.may_start_on(task, agent)) || self.is_new_run(now_ms, task, agent)
        };
        hold.tasks.iter().filter(is_held).cloned().collect()
    }

    /// Whether a task may start on a worker once its other runs are not new any more.
    fn may_start_on(&self, key: &TaskKey, agent: &AgentId) -> bool {
        let view = self.worker(agent);
        let (Some(view), Some(spec)) = (view, self.step_spec(key)) else {
            return false;
        };
        let Some(info) = &view.info else {
            return false;
        };
        self.service_of(&key.job) == Some(&info.service)
            && spec
                .reserved()
                .fits_in(&info.capacity.minus(&view.reserved()))
            && may_run(view, key, spec, None, &[])
    }

    /// Whether a run was started on a worker without any other new run.
    pub(crate) fn is_alone(&self, key: &TaskKey, agent: &AgentId) -> bool {
        let hold = self.worker(agent).and_then(|view| view.hold.as_ref());
        hold.is_some_and(|hold| hold.tasks.iter().all(|task| task == key))
    }

    /// When the oldest of a worker's new runs was placed, in milliseconds; `None` if it has none.
    fn new_runs_since_ms(&self, now_ms: u64, agent: &AgentId) -> Option<u64> {
        let view = self.worker(agent)?;
        let new = view
            .allocations
            .iter()
            .filter(|(key, _)| self.is_new_run(now_ms, key, agent));
        new.map(|(_, allocation)| allocation.since_ms).min()
    }

    /// Whether a run is placed on a worker and no report shows that a crash would not count against
    /// its task any more.
    fn is_new_run(&self, now_ms: u64, key: &TaskKey, agent: &AgentId) -> bool {
        let placement = self.placement(key);
        let Some(placement) = placement.filter(|placement| placement.agent == *agent) else {
            return false;
        };
        let seen_ms = self.worker(agent).map_or(0, |view| view.last_seen_ms);
        let age = run_age(seen_ms.min(now_ms), placement, self.placed_ms(key, agent));
        matches!(age, RunAge::NotStarted | RunAge::New)
    }
}

/// Greatest number of a pool's candidates that are kept free at a time; at least one.
pub(crate) fn max_held(service: &ServiceName, candidates: &[(ServiceName, Candidate)]) -> usize {
    let pool = candidates.iter().filter(|(pool, _)| pool == service);
    (pool.count() * MAX_HELD_PERCENT / 100).max(1)
}

/// Determines which candidates of a pool may be kept free for one more suspect.
pub(crate) fn limit_holds(service: &ServiceName, candidates: &mut [(ServiceName, Candidate)]) {
    let pool = candidates.iter().filter(|(pool, _)| pool == service);
    let held = pool.filter(|(_, candidate)| !candidate.held_for.is_empty());
    let is_below_limit = held.count() < max_held(service, candidates);
    for (_, candidate) in candidates {
        candidate.accepts_hold =
            is_below_limit && candidate.is_holdable && candidate.held_for.is_empty();
    }
}
