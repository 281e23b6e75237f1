//! Watches the progress of runs: a worker may run tasks that stand still.

use crate::view::Allocation;
use crate::{DecisionKind, RunningTask, Scheduler, Stage, TaskKey};
use model::AgentId;
use utils::Map;

/// Shortest time without progress after which a run counts as standing still, in milliseconds.
const STALL_MIN_MS: u64 = 1_500;
/// Longest such time, in milliseconds.
const STALL_MAX_MS: u64 = 6_000;
/// Such time as a share of the declared run time, in percent: one hundredth of progress on a
/// worker that is ten times slower than declared.
const STALL_PERCENT: u64 = 10;
/// Progress of a long-running task that is at work.
pub(crate) const AT_WORK_PERCENT: u32 = 100;
/// Time at work after which a long-running task counts as a success of its worker, in milliseconds.
const PROVEN_MS: u64 = 1_000;

impl Scheduler {
    /// Stops runs that stand still, so that they resume elsewhere, and sets their worker aside.
    pub(crate) fn watch_progress(
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
            task.avoid = Some(agent.clone());
            let run = task.run;
            let Some(placement) = task.placement.clone() else {
                continue;
            };
            let still_ms = now_ms.saturating_sub(placement.progress_ms);
            let detail = format!("{}% for {still_ms} ms", placement.percent);
            self.note(DecisionKind::Stalled, &key, run, agent, detail);
            self.stop(now_ms, &key, run, &placement);
        }
    }

    /// Takes a long-running task that has been at work for a while as a success of a worker on
    /// probation; it has no end that would tell.
    pub(crate) fn prove_worker(
        &mut self,
        now_ms: u64,
        agent: &AgentId,
        running: &Map<&TaskKey, &RunningTask>,
    ) {
        let Some(view) = self.fleet.workers.get_mut(agent) else {
            return;
        };
        let since_ms = view.health.paused_until_ms;
        let is_proof = |(key, held): (&TaskKey, &Allocation)| {
            let run = running.get(key);
            let is_at_work = run.is_some_and(|run| run.percent >= AT_WORK_PERCENT);
            is_at_work && held.since_ms >= since_ms && now_ms >= held.since_ms + PROVEN_MS
        };
        if view.health.probation && view.allocations.iter().any(is_proof) {
            view.health.on_success();
        }
    }

    fn is_stalled(&self, now_ms: u64, agent: &AgentId, key: &TaskKey) -> bool {
        let Some(state) = self.flows.get(&key.job) else {
            return false;
        };
        let (Some(spec), Some(task)) = (state.step_spec(key.step), state.task(key)) else {
            return false;
        };
        let Some(placement) = task
            .placement
            .as_ref()
            .filter(|placement| placement.agent == *agent)
        else {
            return false;
        };
        if !matches!(placement.stage, Stage::Running { .. }) || spec.filler || spec.gang {
            return false;
        }
        if spec.long_running && placement.percent >= AT_WORK_PERCENT {
            return false;
        }
        let limit_ms = (spec.estimate_ms * STALL_PERCENT / 100).clamp(STALL_MIN_MS, STALL_MAX_MS);
        now_ms.saturating_sub(placement.progress_ms) >= limit_ms
    }
}
