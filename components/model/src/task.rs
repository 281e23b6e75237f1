//! Batch tasks and their attempts.

use crate::{AgentId, TaskId};
use serde::{Deserialize, Serialize};
use strum::Display;

/// Number of an attempt at a task, from 1; the fencing token of everything done for it.
pub type Attempt = u32;

/// A task as the table keeps it; a task without a record was never placed.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct TaskRecord {
    /// The task.
    pub id: TaskId,
    /// Newest attempt.
    pub attempt: Attempt,
    /// What became of it.
    pub state: TaskState,
    /// Attempts that failed by themselves.
    pub failures: u32,
    /// Attempts that started from a checkpoint or replaced a lost one.
    pub resumes: u32,
    /// Attempt whose checkpoint the next one starts from.
    pub checkpoint: Option<Attempt>,
}

/// State of a task's newest attempt.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum TaskState {
    /// May be running on this worker and nowhere else.
    Placed(AgentId),
    /// Proved stopped before its end; to be placed again.
    Waiting,
    /// Over.
    Ended(EndReason),
}

/// Why a task is over.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize, Display)]
#[serde(rename_all = "kebab-case")]
#[strum(serialize_all = "kebab-case")]
pub enum EndReason {
    /// It did its work.
    Succeeded,
    /// It failed as often as the job allows.
    Failed,
    /// An operator cancelled the job.
    Cancelled,
}
