//! Applies the ends of runs to their flow and to the health of their worker.

use crate::view::PendingAck;
use crate::{DecisionKind, EndedRun, Placement, RunEnd, Scheduler, TaskKey, TaskState};
use model::{AgentId, JobId};

/// Backoff before a failed long-running task is placed again, in milliseconds.
const RESTART_BACKOFF_MS: u64 = 100;

impl Scheduler {
    /// Applies an end that a worker reports; idempotent by its number. The end is acknowledged once
    /// the record that it changes is durable.
    pub(crate) fn record_end(&mut self, now_ms: u64, agent: &AgentId, end: &EndedRun) {
        let view = self.worker_mut(agent);
        if end.number <= view.last_end {
            return;
        }
        view.last_end = end.number;
        view.orphans.remove(&end.task);
        let is_known = self.flows.contains_key(&end.task.job);
        let record = is_known.then(|| {
            self.learn_from_end(now_ms, agent, end);
            self.apply_end(now_ms, agent, end);
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

    /// Applies an end to its task and flow. An end of a run that is not placed there counts only if
    /// it is a success.
    fn apply_end(&mut self, now_ms: u64, agent: &AgentId, end: &EndedRun) {
        let key = &end.task;
        let Some(state) = self.flows.get_mut(&key.job) else {
            return;
        };
        let limit = self
            .config
            .queue(&state.job.queue)
            .map_or(u32::MAX, |queue| queue.max_attempts.max(1));
        let (is_gang, is_long_running) = state
            .step_spec(key.step)
            .map_or((false, false), |spec| (spec.gang, spec.long_running));
        let Some(task) = state.task_mut(key) else {
            return;
        };
        let placement = task.placement_of(end.run);
        let is_current = placement.is_some_and(|placement| placement.agent == *agent);
        let removed = match is_current {
            true => task.remove_placement(end.run),
            false => None,
        };
        if is_current {
            self.fleet.release(now_ms, agent, key);
        } else if end.outcome != RunEnd::Done {
            return;
        }
        let percent = removed.as_ref().map_or(0, |run| run.placement().percent);
        if end.checkpoint.is_some() && (!is_current || task.is_furthest(percent)) {
            task.checkpoint.clone_from(&end.checkpoint);
        }
        let was_done = task.done;
        match end.outcome {
            RunEnd::Done if !is_long_running => task.finish(),
            RunEnd::Failed => {
                task.failures += 1;
                task.avoided_agent = Some(agent.clone());
                if is_long_running {
                    task.not_before_ms = now_ms + RESTART_BACKOFF_MS;
                }
            }
            RunEnd::Done | RunEnd::Stopped | RunEnd::Lapsed | RunEnd::Broken | RunEnd::Alone => {}
        }
        let failures = match (is_gang, end.outcome) {
            (true, RunEnd::Failed) => {
                state.count_gang_failure(key, end.run);
                state.failed_gang_runs(key)
            }
            _ => task.failures,
        };
        self.log_decision(
            DecisionKind::Ended,
            key,
            end.run,
            agent,
            end.outcome.to_string(),
        );
        if matches!(end.outcome, RunEnd::Done | RunEnd::Failed) {
            self.clear_suspicion(key);
        }
        self.mark_dirty(&key.job);
        self.update_health(now_ms, agent, end);
        if is_gang && end.outcome == RunEnd::Done {
            self.complete_gang(key);
        }
        if end.outcome == RunEnd::Failed && !is_long_running && failures >= limit {
            self.fail_flow(now_ms, key, agent, format!("{failures} runs failed"));
        }
        if let Some(removed) = removed {
            self.count_ended(now_ms, key, end, was_done, &removed);
        }
        if end.outcome == RunEnd::Done && !is_long_running {
            self.stop_duplicate(now_ms, key);
        }
        self.finish_if_ended(key);
    }

    /// Updates the worker's health after the end of a run, and logs if that pauses the worker.
    fn update_health(&mut self, now_ms: u64, agent: &AgentId, end: &EndedRun) {
        let view = self.worker_mut(agent);
        match end.outcome {
            RunEnd::Done => view.health.on_success(),
            RunEnd::Failed => {
                if view.health.on_failure(now_ms, &end.task.job) {
                    self.log_decision(
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

    /// Marks all members of a gang as done: the success of one is the success of the gang.
    fn complete_gang(&mut self, key: &TaskKey) {
        let state = self.flows.get_mut(&key.job);
        let step = state
            .and_then(|state| state.occurrences.get_mut(key.occurrence as usize))
            .and_then(|occurrence| occurrence.steps.get_mut(key.step as usize));
        let Some(step) = step else {
            return;
        };
        for index in 0..step.count {
            if let Some(task) = step.task_mut(index) {
                task.finish();
            }
        }
    }

    /// Fails a flow of which a queued task, or a gang, has failed as often as its queue allows. Ends that
    /// were applied while the queue was not known have failed nothing.
    pub(crate) fn fail_exhausted(&mut self, now_ms: u64, job: &JobId) {
        if let Some((key, failures)) = self.exhausted_task(job) {
            let detail = format!("{failures} runs failed");
            self.fail_flow(now_ms, &key, &"".into(), detail);
        }
    }

    /// First queued task of a flow that must not run again, and the failures that count for it.
    fn exhausted_task(&self, job: &JobId) -> Option<(TaskKey, u32)> {
        let state = self.flows.get(job)?;
        let queue = self.config.queue(&state.job.queue)?;
        let limit = queue.max_attempts.max(1);
        let has_failed = |task: &TaskState| task.failures > 0 && task.is_queued();
        // Few flows have such a task, and keys of all tasks are dear.
        let mut tasks = state.steps().flat_map(|step| &step.tasks);
        if !tasks.any(has_failed) {
            return None;
        }
        let mut failed = state.tasks().filter(|(_, task)| has_failed(task));
        failed.find_map(|(key, task)| {
            let spec = state.step_spec(key.step)?;
            let failures = match spec.gang {
                true => state.failed_gang_runs(&key),
                false => task.failures,
            };
            (!spec.long_running && failures >= limit).then_some((key, failures))
        })
    }

    /// Fails a flow and stops its runs, unless it has ended.
    pub(crate) fn fail_flow(
        &mut self,
        now_ms: u64,
        key: &TaskKey,
        agent: &AgentId,
        detail: String,
    ) {
        let Some(state) = self.flows.get_mut(&key.job) else {
            return;
        };
        if state.end().is_some() {
            return;
        }
        state.failed = true;
        self.log_decision(DecisionKind::Failed, key, 0, agent, detail);
        self.stop_flow(now_ms, &key.job);
    }

    /// Stops the placed runs of a task that has succeeded in another run.
    fn stop_duplicate(&mut self, now_ms: u64, key: &TaskKey) {
        let placements = self.task(key).into_iter().flat_map(TaskState::placements);
        let placements: Vec<Placement> = placements.cloned().collect();
        for placement in placements {
            self.stop_run(now_ms, key, placement.run, &placement);
        }
    }

    /// Finishes a flow that has ended and whose newest record is durable.
    fn finish_if_ended(&mut self, key: &TaskKey) {
        let has_ended = self
            .flows
            .get(&key.job)
            .is_some_and(|state| state.end().is_some() && state.is_durable());
        if has_ended {
            self.finish_flow(&key.job);
        }
    }
}
