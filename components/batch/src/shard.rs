//! A shard of batch work, as its owner keeps it.

use crate::commit::CommitPlan;
use crate::lease::ShardRow;
use crate::rows::{cancel_key, done_key, job_key, shard_key, task_key, task_prefix};
use crate::{Effect, JobState, Kinds, TaskView, TeamUsage, Workers};
use model::{
    AgentId, EndReason, Job, JobId, JobPhase, JobStatus, Resources, TaskId, TaskRecord, TaskState,
};
use platform::{AttemptRef, Row, Transaction};
use std::collections::{BTreeMap, BTreeSet};
use wire::{AttemptEnd, EndKind, StartOrder, StopOrder};

/// Time before an order that brought no answer is sent again.
const REORDER_MS: u64 = 2_000;
/// Time without a heartbeat after which an agent's attempts are recovered through the platform.
const RECOVER_AFTER_MS: u64 = 10_000;

/// A shard of batch work, as its owner keeps it.
#[derive(Debug)]
pub struct Shard {
    /// Number of the shard.
    pub id: u16,
    /// The lease row after the last commit.
    row: ShardRow,
    /// Version of the lease row.
    version: u64,
    /// Jobs that are not over.
    jobs: BTreeMap<JobId, JobState>,
    /// Tasks whose records the next commit carries.
    dirty: BTreeSet<TaskId>,
    /// Keys that are of no use any more.
    garbage: Vec<String>,
    /// Jobs whose summaries the next commits carry.
    closing: Vec<(JobId, JobStatus)>,
    /// The commit whose outcome is not known yet.
    in_flight: Option<CommitPlan>,
    /// When the shard was taken over.
    taken_ms: u64,
    /// When the last commit took effect.
    committed_ms: u64,
    /// Whether the owner gives the shard up.
    releasing: bool,
}

impl Shard {
    /// A shard that was just taken over.
    pub fn new(id: u16, row: ShardRow, version: u64, now_ms: u64) -> Self {
        Self {
            id,
            row,
            version,
            jobs: BTreeMap::new(),
            dirty: BTreeSet::new(),
            garbage: Vec::new(),
            closing: Vec::new(),
            in_flight: None,
            taken_ms: now_ms,
            committed_ms: now_ms,
            releasing: false,
        }
    }

    /// Prefixes of the rows that a new owner reads.
    pub fn prefixes(id: u16) -> [String; 3] {
        [job_key(id, ""), task_prefix(id), cancel_key(id, "")]
    }

    /// Takes in the rows that a former owner left.
    pub fn load(&mut self, jobs: &[Row], tasks: &[Row], cancels: &[Row], usage: &mut TeamUsage) {
        for row in jobs {
            self.load_job(row);
        }
        for row in tasks {
            let Ok(record) = serde_json::from_str::<TaskRecord>(&row.value) else {
                continue;
            };
            let Some(state) = self.jobs.get_mut(&record.id.job) else {
                self.garbage.push(row.key.clone());
                continue;
            };
            let need = state.job.spec.need;
            if matches!(record.state, TaskState::Placed(_)) {
                usage.add(&state.job.spec.team, &need);
            }
            state.load_task(record, need);
        }
        for state in self.jobs.values_mut() {
            state.finish_loading();
        }
        for row in cancels {
            self.load_cancel(row);
        }
    }

    /// Takes in a job's row; answers whether the job was new.
    pub fn load_job(&mut self, row: &Row) -> bool {
        let Ok(job) = serde_json::from_str::<Job>(&row.value) else {
            return false;
        };
        let is_new = !self.jobs.contains_key(&job.id) && !self.is_closing(&job.id);
        self.add_job(job);
        is_new
    }

    /// Takes in a job that was just accepted.
    pub fn add_job(&mut self, job: Job) {
        if !self.jobs.contains_key(&job.id) && !self.is_closing(&job.id) {
            self.jobs.insert(job.id.clone(), JobState::new(job));
        }
    }

    /// Whether urgent tasks wait for a commit.
    pub fn has_urgent(&self) -> bool {
        let is_urgent = |task: &TaskId| {
            self.jobs
                .get(&task.job)
                .is_some_and(|state| state.job.spec.urgent)
        };
        self.dirty.iter().any(is_urgent)
    }

    /// Takes what this shard's tasks hold out of the teams' usage, because the shard goes away.
    pub fn return_usage(&self, usage: &mut TeamUsage) {
        for state in self.jobs.values() {
            let placed = state
                .tasks
                .values()
                .filter(|view| matches!(view.record.state, TaskState::Placed(_)));
            for view in placed {
                usage.remove(&state.job.spec.team, &view.need);
            }
        }
    }

    fn is_closing(&self, job: &JobId) -> bool {
        self.closing.iter().any(|(id, _)| id == job)
    }

    /// Takes in a cancellation; one of a job that is over or never was becomes garbage.
    pub fn load_cancel(&mut self, row: &Row) {
        let job = JobId::from(row.key.rsplit('/').next().unwrap_or_default());
        match self.jobs.get_mut(&job) {
            Some(state) => state.cancelled = true,
            None if !self.garbage.contains(&row.key) => self.garbage.push(row.key.clone()),
            None => {}
        }
    }

    /// Epoch of the lease.
    pub fn epoch(&self) -> u64 {
        self.row.epoch
    }

    /// Whether the shard has been given up.
    pub fn is_released(&self) -> bool {
        self.row.released
    }

    /// Jobs that are not over.
    pub fn jobs(&self) -> impl Iterator<Item = &JobState> {
        self.jobs.values()
    }

    /// A job that is not over.
    pub fn job(&self, job: &JobId) -> Option<&JobState> {
        self.jobs.get(job)
    }

    /// A job's state, also while its summary is being written.
    pub fn status(&self, job: &JobId) -> Option<JobStatus> {
        let closing = self
            .closing
            .iter()
            .find(|(id, _)| id == job)
            .map(|(_, status)| status.clone());
        closing.or_else(|| self.jobs.get(job).map(JobState::status))
    }

    /// Records that wait for a commit.
    pub fn backlog(&self) -> usize {
        self.dirty.len()
    }

    /// Gives the shard up with the next commit.
    pub fn release(&mut self) {
        self.releasing = true;
    }

    /// Places the next task of a job on a worker; it starts once that is durable.
    pub fn place(&mut self, job: &JobId, agent: &AgentId, need: Resources) -> Option<TaskId> {
        let state = self.jobs.get_mut(job)?;
        let index = state.take_placeable()?;
        let id = state.task_id(index);
        let fresh = || TaskView::fresh(id.clone());
        let view = state.tasks.entry(index).or_insert_with(fresh);
        view.record.attempt += 1;
        if std::mem::take(&mut view.interrupted) {
            view.record.resumes += 1;
        }
        view.record.state = TaskState::Placed(agent.clone());
        view.touch();
        view.accepted = false;
        view.on_the_way = true;
        view.ordered_ms = None;
        view.need = need;
        self.dirty.insert(id.clone());
        Some(id)
    }

    /// Ends a job's unplaced tasks because no worker is large enough.
    pub fn give_up(&mut self, job: &JobId) {
        let Some(state) = self.jobs.get_mut(job) else {
            return;
        };
        while let Some(index) = state.take_placeable() {
            let id = state.task_id(index);
            let view = state
                .tasks
                .entry(index)
                .or_insert_with(|| TaskView::fresh(id.clone()));
            view.record.state = TaskState::Ended(EndReason::Unplaceable);
            view.touch();
            self.dirty.insert(id);
        }
    }

    /// Takes the proved end of an attempt from the worker that had it.
    pub fn on_end(
        &mut self,
        now_ms: u64,
        agent: &AgentId,
        end: &AttemptEnd,
        workers: &mut Workers,
        usage: &mut TeamUsage,
        kinds: &mut Kinds,
    ) -> Option<Effect> {
        let confirm = Effect::Confirm(agent.clone(), end.attempt.clone());
        let Some(state) = self.jobs.get_mut(&end.attempt.task.job) else {
            return Some(confirm);
        };
        let Some(view) = state.tasks.get_mut(&end.attempt.task.index) else {
            return Some(confirm);
        };
        let placed = view.record.state == TaskState::Placed(agent.clone());
        if view.record.attempt != end.attempt.attempt || !placed || !view.durable {
            let settled = view.durable || view.record.attempt > end.attempt.attempt;
            return settled.then_some(confirm);
        }
        let spec = &state.job.spec;
        usage.remove(&spec.team, &view.need);
        if std::mem::take(&mut view.on_the_way) {
            workers.arrived(agent, &view.need, false);
        } else {
            workers.ended(agent, &view.need);
        }
        match end.kind {
            EndKind::Succeeded => {
                workers.succeeded(agent);
                kinds.add(&spec.kind, end);
                view.record.state = TaskState::Ended(EndReason::Succeeded);
            }
            EndKind::Failed => {
                let is_suspect = workers.is_suspect(agent, &state.job.id);
                view.avoid = Some(agent.clone());
                workers.failed(now_ms, agent, &state.job.id);
                if !is_suspect {
                    view.record.failures += 1;
                }
                let is_over = view.record.failures >= spec.max_failures;
                view.record.state = if is_over {
                    TaskState::Ended(EndReason::Failed)
                } else {
                    TaskState::Waiting
                };
            }
            EndKind::Checkpointed => {
                view.interrupted = true;
                view.record.checkpoint = Some(view.record.attempt);
                view.record.state = TaskState::Waiting;
            }
            EndKind::Stopped => {
                view.interrupted = view.accepted;
                view.avoid = Some(agent.clone());
                view.record.state = TaskState::Waiting;
            }
        }
        if state.cancelled && view.record.state == TaskState::Waiting {
            view.record.state = TaskState::Ended(EndReason::Cancelled);
        }
        if view.record.state == TaskState::Waiting {
            state.waiting.push_back(end.attempt.task.index);
        }
        view.touch();
        view.confirm.push((agent.clone(), end.attempt.attempt));
        self.dirty.insert(end.attempt.task.clone());
        None
    }

    /// Takes an agent's refusal to start an attempt, which proves that it never ran there.
    pub fn on_refused(
        &mut self,
        agent: &AgentId,
        attempt: &AttemptRef,
        workers: &mut Workers,
        usage: &mut TeamUsage,
    ) {
        let Some(state) = self.jobs.get_mut(&attempt.task.job) else {
            return;
        };
        let Some(view) = state.tasks.get_mut(&attempt.task.index) else {
            return;
        };
        let placed = view.record.state == TaskState::Placed(agent.clone());
        if view.record.attempt != attempt.attempt || !placed || !view.durable {
            return;
        }
        usage.remove(&state.job.spec.team, &view.need);
        if std::mem::take(&mut view.on_the_way) {
            workers.arrived(agent, &view.need, false);
        }
        if state.cancelled {
            view.record.state = TaskState::Ended(EndReason::Cancelled);
        } else {
            view.record.state = TaskState::Waiting;
            view.avoid = Some(agent.clone());
            state.waiting.push_front(attempt.task.index);
        }
        view.touch();
        self.dirty.insert(attempt.task.clone());
    }

    /// Takes an agent's word that it has taken an attempt in.
    pub fn on_accepted(&mut self, agent: &AgentId, attempt: &AttemptRef, workers: &mut Workers) {
        let Some(state) = self.jobs.get_mut(&attempt.task.job) else {
            return;
        };
        let Some(view) = state.tasks.get_mut(&attempt.task.index) else {
            return;
        };
        if view.record.attempt == attempt.attempt && !view.accepted {
            view.accepted = true;
            if std::mem::take(&mut view.on_the_way) {
                workers.arrived(agent, &view.need, true);
            }
        }
    }

    /// Orders anew what was placed on an agent that was restarted and may have missed its end.
    pub fn on_agent_restarted(&mut self, agent: &AgentId) {
        for view in self
            .jobs
            .values_mut()
            .flat_map(|state| state.tasks.values_mut())
        {
            if view.record.state == TaskState::Placed(agent.clone()) {
                view.accepted = false;
                view.ordered_ms = None;
            }
        }
    }

    /// Orders that are due: starts without an answer, stops of cancelled work, and recovery of
    /// what ran on agents that are gone.
    pub fn due_orders(
        &mut self,
        now_ms: u64,
        unheard_ms: impl Fn(&AgentId) -> Option<u64>,
    ) -> Vec<Effect> {
        let mut effects = Vec::new();
        let owned_ms = now_ms.saturating_sub(self.taken_ms);
        let unheard_ms = |agent: &AgentId| unheard_ms(agent).unwrap_or(owned_ms);
        for state in self.jobs.values_mut() {
            let cancelled = state.cancelled;
            let job = state.job.clone();
            for view in state.tasks.values_mut() {
                effects.extend(due_order(now_ms, &job, cancelled, view, &unheard_ms));
            }
        }
        effects
    }

    /// The next commit, if there is anything to write or the lease must be renewed.
    pub fn next_commit(
        &mut self,
        now_ms: u64,
        max_rows: usize,
        renew_ms: u64,
    ) -> Option<&CommitPlan> {
        if self.in_flight.is_some() || self.row.released {
            return None;
        }
        self.close_jobs();
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
        for (job, status) in &self.closing {
            if room < 3 {
                break;
            }
            room -= 3;
            txn = txn
                .put(done_key(self.id, job), to_json(status))
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
                .map(|(_, status)| Effect::JobEnded(status)),
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
    fn close_jobs(&mut self) {
        let over: Vec<JobId> = self
            .jobs
            .values()
            .filter(|state| state.is_over())
            .map(|s| s.job.id.clone())
            .collect();
        for id in over {
            let Some(state) = self.jobs.remove(&id) else {
                continue;
            };
            let mut status = state.status();
            status.phase = JobPhase::Ended;
            let shard = self.id;
            self.garbage.extend(
                state
                    .tasks
                    .values()
                    .map(|view| task_key(shard, &view.record.id)),
            );
            self.dirty.retain(|task| task.job != id);
            self.closing.push((id, status));
        }
    }
}

impl TaskView {
    fn fresh(id: TaskId) -> Self {
        let record = TaskRecord {
            id,
            attempt: 0,
            state: TaskState::Waiting,
            failures: 0,
            resumes: 0,
            checkpoint: None,
        };
        Self {
            record,
            revision: 0,
            durable: false,
            accepted: false,
            on_the_way: false,
            interrupted: false,
            ordered_ms: None,
            need: Resources::default(),
            avoid: None,
            confirm: Vec::new(),
        }
    }
}

fn due_order(
    now_ms: u64,
    job: &Job,
    cancelled: bool,
    view: &mut TaskView,
    unheard_ms: &impl Fn(&AgentId) -> u64,
) -> Option<Effect> {
    let TaskState::Placed(agent) = &view.record.state else {
        return None;
    };
    let recently = view
        .ordered_ms
        .is_some_and(|last_ms| now_ms < last_ms + REORDER_MS);
    if !view.durable || recently {
        return None;
    }
    let attempt = AttemptRef {
        task: view.record.id.clone(),
        attempt: view.record.attempt,
    };
    let is_gone = unheard_ms(agent) >= RECOVER_AFTER_MS;
    if is_gone {
        view.ordered_ms = Some(now_ms);
        return Some(Effect::Recover(agent.clone(), attempt));
    }
    if cancelled {
        view.ordered_ms = Some(now_ms);
        return Some(Effect::Stop(
            agent.clone(),
            StopOrder {
                attempt,
                checkpoint: false,
            },
        ));
    }
    if view.accepted {
        return None;
    }
    view.ordered_ms = Some(now_ms);
    let order = StartOrder {
        attempt,
        kind: job.spec.kind.clone(),
        need: view.need,
        urgent: job.spec.urgent,
        payload: job.spec.payload.clone(),
        checkpoint: view.record.checkpoint,
    };
    Some(Effect::Start(agent.clone(), order))
}

fn to_json<T: serde::Serialize>(value: &T) -> String {
    serde_json::to_string(value).unwrap_or_default()
}
