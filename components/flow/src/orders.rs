//! Applies the outcomes of orders to workers.

use crate::{DecisionKind, RunStage, Scheduler, StartOutcome, TaskKey};
use model::AgentId;

/// Backoff for a worker that had no free capacity for a start or was unavailable, in milliseconds.
const REFUSED_BACKOFF_MS: u64 = 300;
/// Backoff before a task is placed again whose start order was invalid to the worker, in
/// milliseconds.
const INVALID_BACKOFF_MS: u64 = 2_000;

impl Scheduler {
    /// Applies the outcome of a start. Ignored if the run is no longer the placed one.
    pub fn on_start(
        &mut self,
        now_ms: u64,
        agent: &AgentId,
        key: &TaskKey,
        run: u32,
        outcome: StartOutcome,
    ) {
        let Some(state) = self.flows.get_mut(&key.job) else {
            return;
        };
        let Some(task) = state.task_mut(key) else {
            return;
        };
        let Some(placement) = task
            .placement_of_mut(run)
            .filter(|placement| placement.agent == *agent)
        else {
            return;
        };
        let is_ordered = placement.stage == RunStage::Ordered;
        match outcome {
            StartOutcome::Started => {
                if is_ordered {
                    placement.stage = RunStage::Running { since_ms: now_ms };
                    placement.progress_ms = now_ms;
                }
                state.started = true;
                if is_ordered {
                    self.pace_new_filler(now_ms, key);
                }
            }
            StartOutcome::Unknown => {
                if is_ordered {
                    placement.stage = RunStage::Unconfirmed;
                }
                self.log_decision(DecisionKind::Refused, key, run, agent, outcome.to_string());
            }
            StartOutcome::NoRoom
            | StartOutcome::Fenced
            | StartOutcome::Superseded
            | StartOutcome::Late
            | StartOutcome::Unavailable
            | StartOutcome::Invalid => self.on_refused(now_ms, agent, key, run, outcome),
        }
    }

    /// Handles a refused start: nothing runs, so the task is queued again. If a newer scheduler was
    /// seen, this one gives up leadership.
    fn on_refused(
        &mut self,
        now_ms: u64,
        agent: &AgentId,
        key: &TaskKey,
        run: u32,
        outcome: StartOutcome,
    ) {
        self.log_decision(DecisionKind::Refused, key, run, agent, outcome.to_string());
        if outcome == StartOutcome::Fenced {
            self.effects.push(crate::Effect::StepDown);
        }
        let backoff_ms = if outcome == StartOutcome::Invalid {
            INVALID_BACKOFF_MS
        } else {
            0
        };
        self.requeue(now_ms, key, run, now_ms + backoff_ms);
        if matches!(outcome, StartOutcome::NoRoom | StartOutcome::Unavailable) {
            let view = self.worker_mut(agent);
            view.not_before_ms = now_ms + REFUSED_BACKOFF_MS;
        }
        self.finish_flow(&key.job);
    }

    /// Applies a worker's answer to a stop: from now on the run can't start there any more.
    pub fn on_stopped(&mut self, now_ms: u64, agent: &AgentId, key: &TaskKey, run: u32) {
        let task = self.task_mut(key);
        let Some(placement) = task
            .and_then(|task| task.placement_of_mut(run))
            .filter(|placement| placement.agent == *agent)
        else {
            return;
        };
        if let RunStage::Stopping { answered_ms, .. } = &mut placement.stage {
            answered_ms.get_or_insert(now_ms);
        }
    }

    /// Records that an order of a pace may not have been carried out, so that it is given again.
    pub fn on_pace_lost(&mut self, key: &TaskKey, run: u32) {
        let task = self.task_mut(key);
        if let Some(placement) = task.and_then(|task| task.placement_of_mut(run)) {
            placement.is_pace_known = false;
        }
    }
}
