//! A shard of batch work, as its owner keeps it.

use crate::commit::CommitPlan;
use crate::lease::ShardRow;
use crate::rows::{cancel_key, job_key, task_prefix};
use crate::{JobState, TaskView, TeamUsage};
use backing::Row;
use model::{AgentId, Job, JobId, JobStatus, JobSummary, Resources, TaskId, TaskRecord, TaskState};
use std::collections::{BTreeMap, BTreeSet};

/// A shard of batch work, as its owner keeps it.
#[derive(Debug)]
pub struct Shard {
    /// Number of the shard.
    pub id: u16,
    /// The lease row after the last commit.
    pub(crate) row: ShardRow,
    /// Version of the lease row.
    pub(crate) version: u64,
    /// Jobs that are not over.
    pub(crate) jobs: BTreeMap<JobId, JobState>,
    /// Tasks whose records the next commit carries.
    pub(crate) dirty: BTreeSet<TaskId>,
    /// Keys that are of no use any more.
    pub(crate) garbage: Vec<String>,
    /// Jobs whose summaries the next commits carry.
    pub(crate) closing: Vec<(JobId, JobSummary)>,
    /// Jobs that may be over since the last commit was built.
    pub(crate) maybe_over: BTreeSet<JobId>,
    /// The commit whose outcome is not known yet.
    pub(crate) in_flight: Option<CommitPlan>,
    /// When the shard was taken over.
    pub(crate) taken_ms: u64,
    /// When the last commit took effect.
    pub(crate) committed_ms: u64,
    /// Whether the owner gives the shard up.
    pub(crate) releasing: bool,
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
            maybe_over: BTreeSet::new(),
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
        self.maybe_over.extend(self.jobs.keys().cloned());
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
    pub fn release_usage(&self, usage: &mut TeamUsage) {
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

    /// Marks the row of a job's summary as of no use any more.
    pub fn discard_summary(&mut self, row: &Row) {
        if !self.garbage.contains(&row.key) {
            self.garbage.push(row.key.clone());
        }
    }

    pub(crate) fn is_closing(&self, job: &JobId) -> bool {
        self.closing.iter().any(|(id, _)| id == job)
    }

    /// Takes in a cancellation; one of a job that is over or never was becomes garbage.
    pub fn load_cancel(&mut self, row: &Row) {
        let job = JobId::from(row.key.rsplit('/').next().unwrap_or_default());
        match self.jobs.get_mut(&job) {
            Some(state) => {
                state.cancelled = true;
                self.maybe_over.insert(job);
            }
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
        let closing = self.closing.iter().find(|(id, _)| id == job);
        let closing = closing.map(|(_, summary)| summary.status.clone());
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
}
