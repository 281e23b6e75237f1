//! Detects runs without progress. A worker can look healthy while its tasks are stalled.

use crate::view::Allocation;
use crate::{DecisionKind, RunStage, RunningTask, Scheduler, TaskKey};
use model::AgentId;
use utils::Map;

/// Lower limit of the time without progress after which a run counts as stalled, in milliseconds.
const MIN_STALL_MS: u64 = 1_500;
/// Upper limit of that time, in milliseconds.
const MAX_STALL_MS: u64 = 6_000;
/// That time as a share of the declared run time, in percent. Within it a run that is ten times
/// slower than declared still gains one hundredth of progress.
const STALL_PERCENT: u64 = 10;
/// Progress that a long-running task reports once it is ready and does its work.
pub(crate) const READY_PERCENT: u32 = 100;
/// Time after placement from which a ready long-running task counts as a success of a worker on
/// probation, in milliseconds.
const PROBATION_SUCCESS_MS: u64 = 1_000;

impl Scheduler {
    /// Stops stalled runs, so that they resume on another worker, and pauses their worker.
    pub(crate) fn stop_stalled_runs(
        &mut self,
        now_ms: u64,
        agent: &AgentId,
        running: &Map<&TaskKey, &RunningTask>,
    ) {
        let stalled: Vec<TaskKey> = running
            .keys()
            .filter(|key| self.is_stalled(now_ms, agent, key))
            .map(|key| (*key).clone())
            .collect();
        if stalled.is_empty() {
            return;
        }
        self.worker_mut(agent).health.pause(now_ms);
        for key in stalled {
            let Some(task) = self.task_mut(&key) else {
                continue;
            };
            task.avoided_agent = Some(agent.clone());
            let Some(placement) = task.placement_on(agent).cloned() else {
                continue;
            };
            let run = placement.run;
            let stalled_ms = now_ms.saturating_sub(placement.progress_ms);
            let detail = format!("progress {}% for {stalled_ms} ms", placement.percent);
            self.log_decision(DecisionKind::Stalled, &key, run, agent, detail);
            self.stop_run(now_ms, &key, run, &placement);
        }
    }

    /// Ends a worker's probation if a long-running task that was placed since its pause is ready
    /// and was placed at least [`PROBATION_SUCCESS_MS`] ago. Such a task counts as a success
    /// because it has no end that would be one.
    pub(crate) fn end_probation(
        &mut self,
        now_ms: u64,
        agent: &AgentId,
        running: &Map<&TaskKey, &RunningTask>,
    ) {
        let Some(view) = self.fleet.workers.get_mut(agent) else {
            return;
        };
        let since_ms = view.health.paused_until_ms;
        let is_success = |(key, allocation): (&TaskKey, &Allocation)| {
            let run = running.get(key);
            let is_ready = run.is_some_and(|run| run.percent >= READY_PERCENT);
            is_ready
                && allocation.since_ms >= since_ms
                && now_ms >= allocation.since_ms + PROBATION_SUCCESS_MS
        };
        if view.health.is_on_probation && view.allocations.iter().any(is_success) {
            view.health.on_success();
        }
    }

    /// Whether a confirmed run has made no progress for too long. Fillers and gangs are exempt, and
    /// so are long-running tasks that are ready.
    fn is_stalled(&self, now_ms: u64, agent: &AgentId, key: &TaskKey) -> bool {
        let Some(state) = self.flows.get(&key.job) else {
            return false;
        };
        let (Some(spec), Some(task)) = (state.step_spec(key.step), state.task(key)) else {
            return false;
        };
        let Some(placement) = task.placement_on(agent) else {
            return false;
        };
        if !matches!(placement.stage, RunStage::Running { .. }) || spec.filler || spec.gang {
            return false;
        }
        if spec.long_running && placement.percent >= READY_PERCENT {
            return false;
        }
        let limit_ms = (spec.estimate_ms * STALL_PERCENT / 100).clamp(MIN_STALL_MS, MAX_STALL_MS);
        now_ms.saturating_sub(placement.progress_ms) >= limit_ms
    }
}
