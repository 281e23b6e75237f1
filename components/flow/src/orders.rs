//! What came of orders to workers.

use crate::{DecisionKind, Scheduler, Stage, StartOutcome, TaskKey};
use model::AgentId;

/// Time for which a worker that refused a start gets no other, in milliseconds.
const REFUSED_PAUSE_MS: u64 = 300;
/// Time before a task whose order made no sense to the worker is tried elsewhere, in milliseconds.
const INVALID_PAUSE_MS: u64 = 2_000;

impl Scheduler {
    /// Takes what came of a start.
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
        let Some(task) = state.task_mut(key).filter(|task| task.run == run) else {
            return;
        };
        let Some(placement) = task
            .placement
            .as_mut()
            .filter(|placement| placement.agent == *agent)
        else {
            return;
        };
        let is_ordered = placement.stage == Stage::Ordered;
        match outcome {
            StartOutcome::Started => {
                if is_ordered {
                    placement.stage = Stage::Running { since_ms: now_ms };
                    placement.progress_ms = now_ms;
                }
                state.started = true;
                if is_ordered {
                    self.start_gently(now_ms, key);
                }
            }
            StartOutcome::Unknown => {
                if is_ordered {
                    placement.stage = Stage::Unsure;
                }
                self.note(DecisionKind::Refused, key, run, agent, outcome.to_string());
            }
            StartOutcome::NoRoom
            | StartOutcome::Fenced
            | StartOutcome::Superseded
            | StartOutcome::Late
            | StartOutcome::Unavailable
            | StartOutcome::Invalid => self.on_refused(now_ms, agent, key, run, outcome),
        }
    }

    /// A start was refused: nothing runs, and the task waits again.
    fn on_refused(
        &mut self,
        now_ms: u64,
        agent: &AgentId,
        key: &TaskKey,
        run: u32,
        outcome: StartOutcome,
    ) {
        self.note(DecisionKind::Refused, key, run, agent, outcome.to_string());
        if outcome == StartOutcome::Fenced {
            self.effects.push(crate::Effect::StepDown);
        }
        let pause_ms = if outcome == StartOutcome::Invalid {
            INVALID_PAUSE_MS
        } else {
            0
        };
        self.unplace(key, now_ms + pause_ms);
        if matches!(outcome, StartOutcome::NoRoom | StartOutcome::Unavailable) {
            let view = self.worker_mut(agent);
            view.not_before_ms = now_ms + REFUSED_PAUSE_MS;
        }
        self.finish(&key.job);
    }

    /// Takes a worker's answer to a stop: from now on the run can't start there any more.
    pub fn on_stopped(&mut self, now_ms: u64, agent: &AgentId, key: &TaskKey, run: u32) {
        let task = self.task_mut(key);
        let Some(placement) = task
            .filter(|task| task.run == run)
            .and_then(|task| task.placement.as_mut())
            .filter(|placement| placement.agent == *agent)
        else {
            return;
        };
        if let Stage::Stopping { answered_ms, .. } = &mut placement.stage {
            answered_ms.get_or_insert(now_ms);
        }
    }
}
