//! State of a job and its tasks in the memory of the shard's owner.

use model::{
    AgentId, EndReason, Job, JobPhase, JobStatus, Resources, TaskId, TaskRecord, TaskState,
};
use std::collections::{BTreeMap, VecDeque};
use wire::EndKind;

/// Record of a task with the state that is not written to the table.
#[derive(Debug, Clone)]
pub struct TrackedTask {
    /// Record as the table will hold it after the next commit.
    pub record: TaskRecord,
    /// Number of changes of the record, to recognise one that changed while a commit was in flight.
    pub revision: u64,
    /// Whether the table holds the record in its present form.
    pub is_durable: bool,
    /// Whether the agent has accepted the newest attempt.
    pub is_accepted: bool,
    /// Whether `need` is counted in the worker's reservations, which lasts until the agent accepts
    /// or refuses the attempt.
    pub is_reserved: bool,
    /// Whether the last attempt ran and was stopped early, so that the next one counts as a resume.
    pub was_interrupted: bool,
    /// When the last order about the newest attempt was sent; `None` if none was, or if it has to
    /// be sent again at once.
    pub last_order_ms: Option<u64>,
    /// Resources allocated to the newest attempt.
    pub need: Resources,
    /// Worker on which the task last failed, was refused or was stopped; the next attempt is placed
    /// elsewhere if possible. `None` if there is no such worker.
    pub avoided_agent: Option<AgentId>,
    /// Agents and attempt numbers of ends to confirm once the record is durable.
    pub ends_to_confirm: Vec<(AgentId, u32)>,
}

/// A job that has not ended, and its tasks.
#[derive(Debug, Clone)]
pub struct JobState {
    /// Accepted job, as stored in the table.
    pub job: Job,
    /// Whether an operator has cancelled the job.
    pub is_cancelled: bool,
    /// Tasks that were placed at least once, by index.
    pub tasks: BTreeMap<u32, TrackedTask>,
    /// Lowest index from which on no task was ever placed.
    pub next_unplaced: u32,
    /// Indices of tasks to place before those from `next_unplaced` on: retries and, after loading,
    /// tasks without a row.
    pub requeued: VecDeque<u32>,
}

impl TrackedTask {
    /// Creates a task that was never placed.
    pub(crate) fn unplaced(id: TaskId) -> Self {
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
            is_durable: false,
            is_accepted: false,
            is_reserved: false,
            was_interrupted: false,
            last_order_ms: None,
            need: Resources::default(),
            avoided_agent: None,
            ends_to_confirm: Vec::new(),
        }
    }

    /// Applies the end of the newest attempt on a worker. A blameless failure does not count
    /// towards `max_failures`.
    pub(crate) fn apply_end(
        &mut self,
        agent: &AgentId,
        kind: EndKind,
        is_blameless: bool,
        max_failures: u32,
    ) {
        self.record.state = TaskState::Waiting;
        match kind {
            EndKind::Succeeded => self.record.state = TaskState::Ended(EndReason::Succeeded),
            EndKind::Failed => {
                self.avoided_agent = Some(agent.clone());
                self.record.failures += u32::from(!is_blameless);
                if self.record.failures >= max_failures {
                    self.record.state = TaskState::Ended(EndReason::Failed);
                }
            }
            EndKind::Checkpointed => {
                self.was_interrupted = true;
                self.record.checkpoint = Some(self.record.attempt);
            }
            EndKind::Stopped => {
                self.was_interrupted = self.is_accepted;
                self.avoided_agent = Some(agent.clone());
            }
        }
    }

    /// Marks the record as changed, so that it has to be written again.
    pub fn mark_dirty(&mut self) {
        self.revision += 1;
        self.is_durable = false;
    }
}

impl JobState {
    /// Creates the state of a job of which no task was placed.
    pub fn new(job: Job) -> Self {
        Self {
            job,
            is_cancelled: false,
            tasks: BTreeMap::new(),
            next_unplaced: 0,
            requeued: VecDeque::new(),
        }
    }

    /// Adds a task that was read from the table. [`JobState::finish_loading`] has to follow the
    /// last.
    pub fn load_task(&mut self, record: TaskRecord, need: Resources) {
        let index = record.id.index;
        self.next_unplaced = self.next_unplaced.max(index + 1);
        if record.state == TaskState::Waiting {
            self.requeued.push_back(index);
        }
        let tracked = TrackedTask {
            record,
            revision: 0,
            is_durable: true,
            is_accepted: false,
            is_reserved: false,
            was_interrupted: false,
            last_order_ms: None,
            need,
            avoided_agent: None,
            ends_to_confirm: Vec::new(),
        };
        self.tasks.insert(index, tracked);
    }

    /// Queues the tasks below the highest loaded index that have no row, because no former owner
    /// committed their placement.
    pub fn finish_loading(&mut self) {
        let missing: Vec<u32> = (0..self.next_unplaced)
            .filter(|index| !self.tasks.contains_key(index))
            .collect();
        self.requeued.extend(missing);
    }

    /// Whether any task is queued for placement.
    pub fn has_task_to_place(&self) -> bool {
        !self.is_cancelled
            && (!self.requeued.is_empty() || self.next_unplaced < self.job.spec.tasks)
    }

    /// Index of the next task to place; `None` if there is none or the job is cancelled.
    pub fn peek_next_task(&self) -> Option<u32> {
        if self.is_cancelled {
            return None;
        }
        let unplaced = (self.next_unplaced < self.job.spec.tasks).then_some(self.next_unplaced);
        self.requeued.front().copied().or(unplaced)
    }

    /// Removes the next task to place from the queue and returns its index.
    pub fn pop_next_task(&mut self) -> Option<u32> {
        let index = self.peek_next_task()?;
        if self.requeued.front() == Some(&index) {
            self.requeued.pop_front();
        } else {
            self.next_unplaced += 1;
        }
        Some(index)
    }

    /// Full name of one of the job's tasks.
    pub fn task_id(&self, index: u32) -> TaskId {
        TaskId {
            job: self.job.id.clone(),
            index,
        }
    }

    /// Whether every task has ended and the table records that. In a cancelled job, tasks that are
    /// not placed count as ended.
    pub fn has_ended(&self) -> bool {
        let has_ended_durably = |tracked: &TrackedTask| {
            tracked.is_durable && matches!(tracked.record.state, TaskState::Ended(_))
        };
        if self.is_cancelled {
            let is_unplaced =
                |tracked: &TrackedTask| matches!(tracked.record.state, TaskState::Waiting);
            return self
                .tasks
                .values()
                .all(|tracked| has_ended_durably(tracked) || is_unplaced(tracked));
        }
        self.tasks.len() as u32 == self.job.spec.tasks && self.tasks.values().all(has_ended_durably)
    }

    /// Status of the job for operators.
    pub fn status(&self) -> JobStatus {
        let mut status = JobStatus {
            id: self.job.id.clone(),
            phase: if self.is_cancelled {
                JobPhase::Cancelling
            } else {
                JobPhase::Active
            },
            tasks: self.job.spec.tasks,
            placed: 0,
            succeeded: 0,
            failed: 0,
            resumed: 0,
            reason: None,
        };
        for tracked in self.tasks.values() {
            status.resumed += tracked.record.resumes;
            match &tracked.record.state {
                TaskState::Placed(_) => status.placed += 1,
                TaskState::Waiting => {}
                TaskState::Ended(EndReason::Succeeded) => status.succeeded += 1,
                TaskState::Ended(reason) => {
                    status.failed += 1;
                    status.reason = Some(*reason);
                }
            }
        }
        if self.has_ended() {
            status.phase = JobPhase::Ended;
            if self.is_cancelled {
                status.failed = status.tasks - status.succeeded;
                status.reason = Some(EndReason::Cancelled);
            }
        }
        status
    }
}
