//! Builds a shard's commits and derives the effects once they are durable.

use crate::commit::CommitPlan;
use crate::rows::{cancel_key, done_key, job_key, shard_key, task_key};
use crate::shard_orders::due_order;
use crate::{Effect, JobState, Shard};
use backing::{AttemptRef, Transaction};
use model::{AgentId, JobPhase, JobSummary, TaskId, TaskState};

impl Shard {
    /// Builds the next commit if there is anything to write, the shard is to be released, or the
    /// last commit is at least `renew_ms` old and the lease must be renewed. Returns `None`
    /// otherwise, and while a commit is in flight or after the release. `wall_ms` is recorded as
    /// the end of jobs that have ended.
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
        self.collect_ended_jobs(wall_ms);
        let is_due = now_ms.saturating_sub(self.committed_ms) >= renew_ms;
        let has_work = !self.dirty.is_empty()
            || !self.garbage.is_empty()
            || !self.pending_summaries.is_empty();
        if !has_work && !is_due && !self.is_releasing {
            return None;
        }
        self.in_flight = Some(self.build_commit(max_rows));
        self.in_flight.as_ref()
    }

    /// Fills a transaction of up to `max_rows` rows: the lease row, then summaries of ended jobs
    /// with three rows each, then task records, then deletions of garbage.
    fn build_commit(&mut self, max_rows: usize) -> CommitPlan {
        let mut row = self.row.clone();
        row.sequence += 1;
        let mut rows_left = max_rows.saturating_sub(1);
        let mut txn = Transaction::default();
        for (job, summary) in &self.pending_summaries {
            if rows_left < 3 {
                break;
            }
            rows_left -= 3;
            txn = txn
                .put(done_key(self.id, job), to_json(summary))
                .delete(job_key(self.id, job.as_str()))
                .delete(cancel_key(self.id, job.as_str()));
        }
        let mut tasks = Vec::new();
        for task in self.dirty.iter().take(rows_left) {
            let tracked = self
                .jobs
                .get(&task.job)
                .and_then(|job| job.tasks.get(&task.index));
            if let Some(tracked) = tracked {
                txn = txn.put(task_key(self.id, task), to_json(&tracked.record));
                tasks.push((task.clone(), tracked.revision));
            }
        }
        rows_left -= tasks.len();
        let garbage = rows_left.min(self.garbage.len());
        for key in &self.garbage[..garbage] {
            txn = txn.delete(key.clone());
        }
        let has_more =
            self.dirty.len() > tasks.len() || self.pending_summaries.len() * 3 > max_rows;
        row.released = self.is_releasing && !has_more;
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

    /// Commit whose outcome is not known yet; `None` if there is none.
    pub fn in_flight(&self) -> Option<&CommitPlan> {
        self.in_flight.as_ref()
    }

    /// Records that the commit in flight has taken effect and the lease row has this version.
    /// Returns the effects that may now be carried out.
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
        let written = plan
            .txn
            .writes
            .iter()
            .filter(|write| write.key.starts_with("done/"))
            .count();
        effects.extend(
            self.pending_summaries
                .drain(..written)
                .map(|(_, summary)| Effect::JobEnded(summary.status)),
        );
        self.row = plan.row;
        effects
    }

    /// Marks a task's record as durable and returns the effects. A record that has changed since
    /// the commit was built stays dirty for the next one.
    fn on_task_durable(&mut self, now_ms: u64, task: &TaskId, revision: u64) -> Vec<Effect> {
        let mut effects = Vec::new();
        let Some(state) = self.jobs.get_mut(&task.job) else {
            return effects;
        };
        let is_cancelled = state.is_cancelled;
        let Some(tracked) = state.tasks.get_mut(&task.index) else {
            return effects;
        };
        if tracked.revision != revision {
            return effects;
        }
        self.dirty.remove(task);
        tracked.is_durable = true;
        if matches!(tracked.record.state, TaskState::Ended(_)) {
            self.maybe_ended.insert(task.job.clone());
        }
        for (agent, attempt) in tracked.ends_to_confirm.drain(..) {
            effects.push(Effect::Confirm(
                agent,
                AttemptRef {
                    task: task.clone(),
                    attempt,
                },
            ));
        }
        // Agents without heartbeats are left to `due_orders`.
        let assume_alive = |_: &AgentId| 0;
        effects.extend(due_order(
            now_ms,
            &state.job,
            is_cancelled,
            tracked,
            &assume_alive,
        ));
        effects
    }

    /// Moves ended jobs to `pending_summaries` and queues their task rows for deletion.
    fn collect_ended_jobs(&mut self, wall_ms: u64) {
        for id in std::mem::take(&mut self.maybe_ended) {
            if !self.jobs.get(&id).is_some_and(JobState::has_ended) {
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
                .map(|tracked| task_key(shard, &tracked.record.id));
            self.garbage.extend(rows);
            self.dirty.retain(|task| task.job != id);
            let spec_digest = state.job.spec_digest();
            self.pending_summaries.push((
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
