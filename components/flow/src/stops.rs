//! Stops of runs, and placements that are taken back.

use crate::placed_runs::{placements, run_ref};
use crate::task_runs::Removed;
use crate::{Effect, Placement, RunStage, Scheduler, TaskKey};
use model::JobId;

impl Scheduler {
    /// Removes the placement of a run that is known not to exist, so that its task is queued again
    /// from `not_before_ms` on, unless it has another run.
    pub(crate) fn requeue(&mut self, now_ms: u64, key: &TaskKey, run: u32, not_before_ms: u64) {
        let Some(task) = self.task_mut(key) else {
            return;
        };
        let Some(removed) = task.remove_placement(run) else {
            return;
        };
        if let Removed::Only(_) = removed {
            task.not_before_ms = not_before_ms;
        }
        self.fleet.release(now_ms, &removed.placement().agent, key);
        self.mark_dirty(&key.job);
        self.count_removed(key, &removed);
    }

    /// Stops all runs of a cancelled or failed flow, and removes the placements that were not
    /// ordered yet.
    pub(crate) fn stop_flow(&mut self, now_ms: u64, job: &JobId) {
        self.mark_dirty(job);
        let Some(state) = self.flows.get(job) else {
            return;
        };
        let placed: Vec<(TaskKey, u32, Placement)> = placements(state)
            .map(|(key, run, placement)| (key, run, placement.clone()))
            .collect();
        for (key, run, placement) in placed {
            match placement.stage {
                RunStage::Uncommitted => self.requeue(now_ms, &key, run, now_ms),
                RunStage::Stopping { .. } => {}
                RunStage::Ordered | RunStage::Unconfirmed | RunStage::Running { .. } => {
                    self.stop_run(now_ms, &key, run, &placement);
                }
            }
        }
        self.uncommitted.remove(job);
    }

    /// Orders the stop of a placed run, for the first time or again.
    pub(crate) fn stop_run(&mut self, now_ms: u64, key: &TaskKey, run: u32, placement: &Placement) {
        self.effects
            .push(Effect::Stop(run_ref(key, run, placement)));
        let task = self.task_mut(key);
        if let Some(placement) = task.and_then(|task| task.placement_of_mut(run)) {
            placement.stage = RunStage::Stopping {
                ordered_ms: now_ms,
                answered_ms: None,
            };
        }
    }
}
