//! Ends of runs: what they mean for their flow and for their worker.

use crate::view::PendingAck;
use crate::{DecisionKind, EndedRun, RunEnd, Scheduler, TaskKey};
use model::AgentId;

/// Time before a long-running task that failed starts again, in milliseconds.
const RESTART_PAUSE_MS: u64 = 100;

impl Scheduler {
    /// Takes in one end, once.
    pub(crate) fn take_end(&mut self, now_ms: u64, agent: &AgentId, end: &EndedRun) {
        let view = self.worker_mut(agent);
        if end.number <= view.seen_end {
            return;
        }
        view.seen_end = end.number;
        view.strays.remove(&end.task);
        let is_known = self.flows.contains_key(&end.task.job);
        let record = is_known.then(|| {
            self.end_task(now_ms, agent, end);
            let revision = self
                .flows
                .get(&end.task.job)
                .map_or(0, |state| state.revision);
            (end.task.job.clone(), revision)
        });
        let number = end.number;
        let view = self.worker_mut(agent);
        view.pending_acks.push_back(PendingAck { number, record });
    }

    fn end_task(&mut self, now_ms: u64, agent: &AgentId, end: &EndedRun) {
        let key = &end.task;
        let Some(state) = self.flows.get_mut(&key.job) else {
            return;
        };
        let limit = self
            .config
            .queue(&state.job.queue)
            .map_or(u32::MAX, |queue| queue.max_attempts.max(1));
        let (is_gang, lasts) = state
            .step_spec(key.step)
            .map_or((false, false), |spec| (spec.gang, spec.long_running));
        let Some(task) = state.task_mut(key) else {
            return;
        };
        let placed = task.placement.as_ref();
        let is_current = placed.is_some_and(|placement| placement.agent == *agent);
        let is_current = is_current && task.run == end.run;
        if is_current {
            task.placement = None;
            self.fleet.release(agent, key);
        } else if end.how != RunEnd::Done {
            return;
        }
        if end.checkpoint.is_some() {
            task.checkpoint.clone_from(&end.checkpoint);
        }
        match end.how {
            RunEnd::Done if !lasts => task.done = true,
            RunEnd::Failed => {
                task.failures += 1;
                task.avoid = Some(agent.clone());
                if lasts {
                    task.not_before_ms = now_ms + RESTART_PAUSE_MS;
                }
            }
            RunEnd::Done | RunEnd::Stopped | RunEnd::Lapsed | RunEnd::Broken | RunEnd::Alone => {}
        }
        let failures = task.failures;
        self.note(
            DecisionKind::Ended,
            key,
            end.run,
            agent,
            end.how.to_string(),
        );
        self.touch(&key.job);
        self.judge(now_ms, agent, end);
        if is_gang && end.how == RunEnd::Done {
            self.end_gang(key);
        }
        let failures = if is_gang {
            self.gang_failures(key)
        } else {
            failures
        };
        if end.how == RunEnd::Failed && !lasts && failures >= limit {
            self.fail(now_ms, key, agent, failures);
        }
        if !is_current {
            self.stop_copy(now_ms, key);
        }
        self.close_if_over(key);
    }

    /// Judges the worker by the end of a run.
    fn judge(&mut self, now_ms: u64, agent: &AgentId, end: &EndedRun) {
        let view = self.worker_mut(agent);
        match end.how {
            RunEnd::Done => view.health.on_success(),
            RunEnd::Failed => {
                if view.health.on_failure(now_ms, &end.task.job) {
                    self.note(
                        DecisionKind::Paused,
                        &end.task,
                        end.run,
                        agent,
                        "runs of several flows failed in a row",
                    );
                }
            }
            RunEnd::Stopped | RunEnd::Lapsed | RunEnd::Broken | RunEnd::Alone => {}
        }
    }

    /// One member's success stands for the whole gang.
    fn end_gang(&mut self, key: &TaskKey) {
        let state = self.flows.get_mut(&key.job);
        let step = state
            .and_then(|state| state.occurrences.get_mut(key.occurrence as usize))
            .and_then(|occurrence| occurrence.steps.get_mut(key.step as usize));
        for task in step.into_iter().flat_map(|step| step.tasks.iter_mut()) {
            task.done = true;
        }
    }

    fn gang_failures(&self, key: &TaskKey) -> u32 {
        let state = self.flows.get(&key.job);
        let step = state
            .and_then(|state| state.occurrences.get(key.occurrence as usize))
            .and_then(|occurrence| occurrence.steps.get(key.step as usize));
        step.map_or(0, crate::StepState::failures)
    }

    fn fail(&mut self, now_ms: u64, key: &TaskKey, agent: &AgentId, failures: u32) {
        let Some(state) = self.flows.get_mut(&key.job) else {
            return;
        };
        if state.end().is_some() {
            return;
        }
        state.failed = true;
        let detail = format!("{failures} runs failed");
        self.note(DecisionKind::Failed, key, 0, agent, detail);
        self.close(now_ms, &key.job);
    }

    /// Stops a run whose task has already succeeded elsewhere.
    fn stop_copy(&mut self, now_ms: u64, key: &TaskKey) {
        let task = self.task(key);
        let copy = task.and_then(|task| Some((task.run, task.placement.clone()?)));
        if let Some((run, placement)) = copy {
            self.stop(now_ms, key, run, &placement);
        }
    }

    fn close_if_over(&mut self, key: &TaskKey) {
        let is_over = self
            .flows
            .get(&key.job)
            .is_some_and(|state| state.end().is_some() && state.is_durable());
        if is_over {
            self.finish(&key.job);
        }
    }
}
