//! Batch tasks, their attempts and states.

use crate::{AgentId, TaskId};
use serde::{Deserialize, Serialize};
use strum::Display;

/// Number of an attempt at a task, from 1; it serves as the fencing token of the attempt.
pub type Attempt = u32;

/// A task, as stored in the table; a task without a record was never placed.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct TaskRecord {
    /// Identifier of the task.
    pub id: TaskId,
    /// Number of the newest attempt.
    pub attempt: Attempt,
    /// State of the newest attempt.
    pub state: TaskState,
    /// Number of attempts that failed by themselves.
    pub failures: u32,
    /// Number of attempts that resumed from a checkpoint or replaced a lost attempt.
    pub resumes: u32,
    /// Attempt whose checkpoint the next attempt resumes from; `None` to start afresh.
    pub checkpoint: Option<Attempt>,
}

/// State of a task's newest attempt.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum TaskState {
    /// The attempt may be running on this worker, and runs nowhere else.
    Placed(AgentId),
    /// The attempt is known to have stopped before completion; the task must be placed again.
    Waiting,
    /// The task has ended and will not be placed again.
    Ended(EndReason),
}

/// Why a task has ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize, Display)]
#[serde(rename_all = "kebab-case")]
#[strum(serialize_all = "kebab-case")]
pub enum EndReason {
    /// The task completed.
    Succeeded,
    /// The task failed as often as the job allows.
    Failed,
    /// An operator cancelled the job.
    Cancelled,
}
