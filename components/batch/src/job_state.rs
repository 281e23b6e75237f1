//! A job and its tasks, as the owner of its shard keeps them.

use model::{
    AgentId, EndReason, Job, JobPhase, JobStatus, Resources, TaskId, TaskRecord, TaskState,
};
use std::collections::{BTreeMap, VecDeque};
use wire::EndKind;

/// A task as the owner of its shard keeps it.
#[derive(Debug, Clone)]
pub struct TaskView {
    /// What the table will say after the next commit.
    pub record: TaskRecord,
    /// Grows with each change of the record.
    pub revision: u64,
    /// Whether the table says so already.
    pub durable: bool,
    /// Whether the agent has taken the attempt in.
    pub accepted: bool,
    /// Whether the worker's room was reduced for the attempt before the agent took it in.
    pub on_the_way: bool,
    /// Whether the last attempt ran and was stopped before its end.
    pub interrupted: bool,
    /// When the agent was last ordered to start or stop it.
    pub ordered_ms: Option<u64>,
    /// What is set aside for the attempt.
    pub need: Resources,
    /// Worker that failed the task last.
    pub avoid: Option<AgentId>,
    /// Ends to confirm to their agents once the record is durable.
    pub confirm: Vec<(AgentId, u32)>,
}

/// A job and its tasks.
#[derive(Debug, Clone)]
pub struct JobState {
    /// The job.
    pub job: Job,
    /// Whether an operator cancelled it.
    pub cancelled: bool,
    /// Tasks that were placed at least once.
    pub tasks: BTreeMap<u32, TaskView>,
    /// Index from which no task was ever placed.
    pub next_new: u32,
    /// Tasks that are to be placed again.
    pub waiting: VecDeque<u32>,
}

impl TaskView {
    /// A task that was never placed.
    pub(crate) fn fresh(id: TaskId) -> Self {
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

    /// Takes the end of the newest attempt on a worker; a blameless failure does not count.
    pub(crate) fn take_end(
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
                self.avoid = Some(agent.clone());
                self.record.failures += u32::from(!is_blameless);
                if self.record.failures >= max_failures {
                    self.record.state = TaskState::Ended(EndReason::Failed);
                }
            }
            EndKind::Checkpointed => {
                self.interrupted = true;
                self.record.checkpoint = Some(self.record.attempt);
            }
            EndKind::Stopped => {
                self.interrupted = self.accepted;
                self.avoid = Some(agent.clone());
            }
        }
    }

    /// Marks the record as changed since the last commit.
    pub fn touch(&mut self) {
        self.revision += 1;
        self.durable = false;
    }
}

impl JobState {
    /// A job of which no task was placed.
    pub fn new(job: Job) -> Self {
        Self {
            job,
            cancelled: false,
            tasks: BTreeMap::new(),
            next_new: 0,
            waiting: VecDeque::new(),
        }
    }

    /// Takes in a task's row when a shard is loaded.
    pub fn load_task(&mut self, record: TaskRecord, need: Resources) {
        let index = record.id.index;
        self.next_new = self.next_new.max(index + 1);
        if record.state == TaskState::Waiting {
            self.waiting.push_back(index);
        }
        let view = TaskView {
            record,
            revision: 0,
            durable: true,
            accepted: false,
            on_the_way: false,
            interrupted: false,
            ordered_ms: None,
            need,
            avoid: None,
            confirm: Vec::new(),
        };
        self.tasks.insert(index, view);
    }

    /// Fills gaps below the highest placed index, whose rows were never written.
    pub fn finish_loading(&mut self) {
        let absent: Vec<u32> = (0..self.next_new)
            .filter(|index| !self.tasks.contains_key(index))
            .collect();
        self.waiting.extend(absent);
    }

    /// Whether a task is left to place.
    pub fn has_placeable(&self) -> bool {
        !self.cancelled && (!self.waiting.is_empty() || self.next_new < self.job.spec.tasks)
    }

    /// The next task to place.
    pub fn peek_placeable(&self) -> Option<u32> {
        if self.cancelled {
            return None;
        }
        let fresh = (self.next_new < self.job.spec.tasks).then_some(self.next_new);
        self.waiting.front().copied().or(fresh)
    }

    /// Takes the next task to place.
    pub fn take_placeable(&mut self) -> Option<u32> {
        let index = self.peek_placeable()?;
        if self.waiting.front() == Some(&index) {
            self.waiting.pop_front();
        } else {
            self.next_new += 1;
        }
        Some(index)
    }

    /// The name of a task.
    pub fn task_id(&self, index: u32) -> TaskId {
        TaskId {
            job: self.job.id.clone(),
            index,
        }
    }

    /// Whether every task is over and the table knows.
    pub fn is_over(&self) -> bool {
        let settled =
            |view: &TaskView| view.durable && matches!(view.record.state, TaskState::Ended(_));
        if self.cancelled {
            let idle = |view: &TaskView| matches!(view.record.state, TaskState::Waiting);
            return self.tasks.values().all(|view| settled(view) || idle(view));
        }
        self.tasks.len() as u32 == self.job.spec.tasks && self.tasks.values().all(settled)
    }

    /// The job's state as operators see it.
    pub fn status(&self) -> JobStatus {
        let mut status = JobStatus {
            id: self.job.id.clone(),
            phase: if self.cancelled {
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
        for view in self.tasks.values() {
            status.resumed += view.record.resumes;
            match &view.record.state {
                TaskState::Placed(_) => status.placed += 1,
                TaskState::Waiting => {}
                TaskState::Ended(EndReason::Succeeded) => status.succeeded += 1,
                TaskState::Ended(reason) => {
                    status.failed += 1;
                    status.reason = Some(*reason);
                }
            }
        }
        if self.is_over() {
            status.phase = JobPhase::Ended;
            if self.cancelled {
                status.failed = status.tasks - status.succeeded;
                status.reason = Some(EndReason::Cancelled);
            }
        }
        status
    }
}
