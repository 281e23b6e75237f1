//! State of a shard in the memory of its owner.

use crate::commit::CommitPlan;
use crate::lease::ShardRow;
use crate::rows::{cancel_key, job_key, task_prefix};
use crate::{JobState, TeamUsage, TrackedTask};
use backing::Row;
use model::{AgentId, Job, JobId, JobStatus, JobSummary, Resources, TaskId, TaskRecord, TaskState};
use std::collections::{BTreeMap, BTreeSet};

/// A shard of batch jobs that this entry owns: the jobs that have not ended, and the changes that
/// still have to be written to the table.
#[derive(Debug)]
pub struct Shard {
    /// Number of the shard.
    pub id: u16,
    /// Lease row as of the last commit that took effect.
    pub(crate) row: ShardRow,
    /// Version of that lease row, on which the next commit is conditioned.
    pub(crate) version: u64,
    /// Jobs that have not ended.
    pub(crate) jobs: BTreeMap<JobId, JobState>,
    /// Tasks whose records have changed and are not written yet.
    pub(crate) dirty: BTreeSet<TaskId>,
    /// Keys of rows that are not needed any more; later commits delete them.
    pub(crate) garbage: Vec<String>,
    /// Ended jobs whose summaries are not written yet.
    pub(crate) pending_summaries: Vec<(JobId, JobSummary)>,
    /// Jobs that may have ended since the last commit was built.
    pub(crate) maybe_ended: BTreeSet<JobId>,
    /// Commit whose outcome is not known yet, if any.
    pub(crate) in_flight: Option<CommitPlan>,
    /// When this entry claimed the shard.
    pub(crate) claimed_ms: u64,
    /// When the last commit was known to have taken effect.
    pub(crate) committed_ms: u64,
    /// Whether a commit is to release the shard.
    pub(crate) is_releasing: bool,
}

impl Shard {
    /// Creates a shard that this entry has just claimed; [`Shard::load`] reads its jobs.
    pub fn new(id: u16, row: ShardRow, version: u64, now_ms: u64) -> Self {
        Self {
            id,
            row,
            version,
            jobs: BTreeMap::new(),
            dirty: BTreeSet::new(),
            garbage: Vec::new(),
            pending_summaries: Vec::new(),
            maybe_ended: BTreeSet::new(),
            in_flight: None,
            claimed_ms: now_ms,
            committed_ms: now_ms,
            is_releasing: false,
        }
    }

    /// Prefixes of the rows that a new owner reads: jobs, tasks and cancellations, in this order.
    pub fn prefixes(id: u16) -> [String; 3] {
        [job_key(id, ""), task_prefix(id), cancel_key(id, "")]
    }

    /// Loads the rows that former owners wrote, and adds the placed tasks to the teams' usage.
    /// Unreadable task rows are skipped; those of unknown jobs are deleted later.
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
        self.maybe_ended.extend(self.jobs.keys().cloned());
        for row in cancels {
            self.load_cancel(row);
        }
    }

    /// Adds the job of a row. Returns whether the job was new; false also if the row is unreadable.
    pub fn load_job(&mut self, row: &Row) -> bool {
        let Ok(job) = serde_json::from_str::<Job>(&row.value) else {
            return false;
        };
        let is_new = !self.jobs.contains_key(&job.id) && !self.has_pending_summary(&job.id);
        self.add_job(job);
        is_new
    }

    /// Adds a job that was just accepted, unless it is known or has just ended.
    pub fn add_job(&mut self, job: Job) {
        if !self.jobs.contains_key(&job.id) && !self.has_pending_summary(&job.id) {
            self.jobs.insert(job.id.clone(), JobState::new(job));
        }
    }

    /// Whether changes of urgent tasks are not written yet.
    pub fn has_urgent(&self) -> bool {
        let is_urgent = |task: &TaskId| {
            self.jobs
                .get(&task.job)
                .is_some_and(|state| state.job.spec.urgent)
        };
        self.dirty.iter().any(is_urgent)
    }

    /// Subtracts this shard's placed tasks from the teams' usage. Called when the entry gives up or
    /// loses the shard.
    pub fn release_usage(&self, usage: &mut TeamUsage) {
        for state in self.jobs.values() {
            let placed = state
                .tasks
                .values()
                .filter(|tracked| matches!(tracked.record.state, TaskState::Placed(_)));
            for tracked in placed {
                usage.remove(&state.job.spec.team, &tracked.need);
            }
        }
    }

    /// Queues the row of an ended job's summary for deletion.
    pub fn discard_summary(&mut self, row: &Row) {
        if !self.garbage.contains(&row.key) {
            self.garbage.push(row.key.clone());
        }
    }

    /// Whether a job has ended and its summary is not written yet.
    pub(crate) fn has_pending_summary(&self, job: &JobId) -> bool {
        self.pending_summaries.iter().any(|(id, _)| id == job)
    }

    /// Applies the row of a cancellation. If the job is not known, because it has ended or never
    /// existed, the row is queued for deletion.
    pub fn load_cancel(&mut self, row: &Row) {
        let job = JobId::from(row.key.rsplit('/').next().unwrap_or_default());
        match self.jobs.get_mut(&job) {
            Some(state) => {
                state.is_cancelled = true;
                self.maybe_ended.insert(job);
            }
            None if !self.garbage.contains(&row.key) => self.garbage.push(row.key.clone()),
            None => {}
        }
    }

    /// Epoch of this entry's ownership.
    pub fn epoch(&self) -> u64 {
        self.row.epoch
    }

    /// Whether a commit that releases the shard has taken effect.
    pub fn is_released(&self) -> bool {
        self.row.released
    }

    /// Jobs that have not ended, sorted by name.
    pub fn jobs(&self) -> impl Iterator<Item = &JobState> {
        self.jobs.values()
    }

    /// State of a job; `None` if it has ended or is not in this shard.
    pub fn job(&self, job: &JobId) -> Option<&JobState> {
        self.jobs.get(job)
    }

    /// Status of a job for operators, also while its summary is not written yet; `None` if the job
    /// is not known here.
    pub fn status(&self, job: &JobId) -> Option<JobStatus> {
        let ended = self.pending_summaries.iter().find(|(id, _)| id == job);
        let ended = ended.map(|(_, summary)| summary.status.clone());
        ended.or_else(|| self.jobs.get(job).map(JobState::status))
    }

    /// Number of task records that are not written yet.
    pub fn backlog(&self) -> usize {
        self.dirty.len()
    }

    /// Requests that a commit releases the shard, as soon as it leaves no more records to write.
    pub fn release(&mut self) {
        self.is_releasing = true;
    }

    /// Places the next task of a job on a worker. The start is ordered once the placement is
    /// durable. Returns `None` if the job is not known or has no task to place.
    pub fn place(&mut self, job: &JobId, agent: &AgentId, need: Resources) -> Option<TaskId> {
        let state = self.jobs.get_mut(job)?;
        let index = state.pop_next_task()?;
        let id = state.task_id(index);
        let unplaced = || TrackedTask::unplaced(id.clone());
        let tracked = state.tasks.entry(index).or_insert_with(unplaced);
        tracked.record.attempt += 1;
        if std::mem::take(&mut tracked.was_interrupted) {
            tracked.record.resumes += 1;
        }
        tracked.record.state = TaskState::Placed(agent.clone());
        tracked.mark_dirty();
        tracked.is_accepted = false;
        tracked.is_reserved = true;
        tracked.last_order_ms = None;
        tracked.need = need;
        self.dirty.insert(id.clone());
        Some(id)
    }
}
