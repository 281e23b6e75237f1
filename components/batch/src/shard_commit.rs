//! Building a shard's commits, and what may be done once they are durable.

use crate::commit::CommitPlan;
use crate::rows::{cancel_key, done_key, job_key, shard_key, task_key};
use crate::shard_orders::due_order;
use crate::{Effect, JobState, Shard};
use backing::{AttemptRef, Transaction};
use model::{AgentId, JobPhase, JobSummary, TaskId, TaskState};

impl Shard {
    /// The next commit, if there is anything to write or the lease must be renewed; `wall_ms`
    /// is recorded as the end of jobs that are over.
    pub fn next_commit(
        &mut self,
        now_ms: u64,
        wall_ms: u64,
        max_rows: usize,
        renew_ms: u64,
    ) -> Option<&CommitPlan> {
        if self.in_flight.is_some() || self.row.released {
            return None;
        }
        self.close_jobs(wall_ms);
        let is_due = now_ms.saturating_sub(self.committed_ms) >= renew_ms;
        let has_work =
            !self.dirty.is_empty() || !self.garbage.is_empty() || !self.closing.is_empty();
        if !has_work && !is_due && !self.releasing {
            return None;
        }
        self.in_flight = Some(self.build_commit(max_rows));
        self.in_flight.as_ref()
    }

    fn build_commit(&mut self, max_rows: usize) -> CommitPlan {
        let mut row = self.row.clone();
        row.sequence += 1;
        let mut room = max_rows.saturating_sub(1);
        let mut txn = Transaction::default();
        for (job, summary) in &self.closing {
            if room < 3 {
                break;
            }
            room -= 3;
            txn = txn
                .put(done_key(self.id, job), to_json(summary))
                .delete(job_key(self.id, job.as_str()))
                .delete(cancel_key(self.id, job.as_str()));
        }
        let mut tasks = Vec::new();
        for task in self.dirty.iter().take(room) {
            let view = self
                .jobs
                .get(&task.job)
                .and_then(|job| job.tasks.get(&task.index));
            if let Some(view) = view {
                txn = txn.put(task_key(self.id, task), to_json(&view.record));
                tasks.push((task.clone(), view.revision));
            }
        }
        room -= tasks.len();
        let garbage = room.min(self.garbage.len());
        for key in &self.garbage[..garbage] {
            txn = txn.delete(key.clone());
        }
        let rest = self.dirty.len() > tasks.len() || self.closing.len() * 3 > max_rows;
        row.released = self.releasing && !rest;
        let key = shard_key(self.id);
        txn = txn
            .require(key.clone(), Some(self.version))
            .put(key, to_json(&row));
        CommitPlan {
            txn,
            row,
            tasks,
            garbage,
        }
    }

    /// The commit whose outcome is not known yet.
    pub fn in_flight(&self) -> Option<&CommitPlan> {
        self.in_flight.as_ref()
    }

    /// Takes the success of the commit in flight; returns what may be done now that it is durable.
    pub fn on_committed(&mut self, now_ms: u64, version: u64) -> Vec<Effect> {
        let Some(plan) = self.in_flight.take() else {
            return Vec::new();
        };
        self.version = version;
        self.committed_ms = now_ms;
        self.garbage.drain(..plan.garbage);
        let mut effects = Vec::new();
        for (task, revision) in &plan.tasks {
            effects.extend(self.on_task_durable(now_ms, task, *revision));
        }
        let closed = plan
            .txn
            .writes
            .iter()
            .filter(|write| write.key.starts_with("done/"))
            .count();
        effects.extend(
            self.closing
                .drain(..closed)
                .map(|(_, summary)| Effect::JobEnded(summary.status)),
        );
        self.row = plan.row;
        effects
    }

    /// A record that changed after the commit was built stays for the next one.
    fn on_task_durable(&mut self, now_ms: u64, task: &TaskId, revision: u64) -> Vec<Effect> {
        let mut effects = Vec::new();
        let Some(state) = self.jobs.get_mut(&task.job) else {
            return effects;
        };
        let cancelled = state.cancelled;
        let Some(view) = state.tasks.get_mut(&task.index) else {
            return effects;
        };
        if view.revision != revision {
            return effects;
        }
        self.dirty.remove(task);
        view.durable = true;
        if matches!(view.record.state, TaskState::Ended(_)) {
            self.maybe_over.insert(task.job.clone());
        }
        for (agent, attempt) in view.confirm.drain(..) {
            effects.push(Effect::Confirm(
                agent,
                AttemptRef {
                    task: task.clone(),
                    attempt,
                },
            ));
        }
        let present = |_: &AgentId| 0;
        effects.extend(due_order(now_ms, &state.job, cancelled, view, &present));
        effects
    }

    /// Moves jobs that are over to the summaries that the next commits carry.
    fn close_jobs(&mut self, wall_ms: u64) {
        for id in std::mem::take(&mut self.maybe_over) {
            if !self.jobs.get(&id).is_some_and(JobState::is_over) {
                continue;
            }
            let Some(state) = self.jobs.remove(&id) else {
                continue;
            };
            let mut status = state.status();
            status.phase = JobPhase::Ended;
            let shard = self.id;
            let rows = state
                .tasks
                .values()
                .map(|view| task_key(shard, &view.record.id));
            self.garbage.extend(rows);
            self.dirty.retain(|task| task.job != id);
            let spec_digest = state.job.spec_digest();
            self.closing.push((
                id,
                JobSummary {
                    status,
                    spec_digest,
                    ended_wall_ms: wall_ms,
                },
            ));
        }
    }
}

fn to_json<T: serde::Serialize>(value: &T) -> String {
    serde_json::to_string(value).unwrap_or_default()
}
