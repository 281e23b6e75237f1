//! The worker runtime, which runs tasks under leases.

use crate::StoreError;
use async_trait::async_trait;
use model::{AgentId, Attempt, Resources, TaskId};
use serde::{Deserialize, Serialize};

/// An attempt at a task.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct AttemptRef {
    /// The task.
    pub task: TaskId,
    /// Number of the attempt.
    pub attempt: Attempt,
}

/// An attempt to start on a worker.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct StartAttempt {
    /// The attempt.
    pub attempt: AttemptRef,
    /// What it is declared to need.
    pub need: Resources,
    /// Text for the task.
    pub payload: String,
    /// Attempt whose checkpoint to start from.
    pub checkpoint: Option<Attempt>,
    /// Time after which it is stopped unless renewed, in milliseconds.
    pub lease_ms: u64,
}

/// Attempts whose leases are renewed.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaseList {
    /// The attempts.
    pub attempts: Vec<AttemptRef>,
    /// New length of each lease, in milliseconds.
    pub lease_ms: u64,
}

/// A change of an attempt's share of its processors.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ThrottleAttempt {
    /// The attempt.
    pub attempt: AttemptRef,
    /// Share of its processors that it may use, in percent.
    pub percent: u32,
}

/// How to stop an attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum StopMode {
    /// At once.
    Kill,
    /// After writing a checkpoint to the object store.
    Checkpoint,
}

/// What the runtime knows of an attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum AttemptStatus {
    /// Running under a lease.
    Running,
    /// Ended by itself, well.
    Succeeded,
    /// Ended by itself, badly.
    Failed,
    /// Stopped on request; never to start again under this number.
    Stopped,
    /// Stopped on request after its checkpoint was written.
    Checkpointed,
    /// Stopped because its lease ended.
    Lapsed,
}

impl AttemptStatus {
    /// Whether the attempt can't run any more.
    ///
    /// ```
    /// assert!(!backing::AttemptStatus::Running.is_final());
    /// ```
    pub fn is_final(self) -> bool {
        self != Self::Running
    }
}

/// An attempt with its status and lagged usage.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct AttemptReport {
    /// The attempt.
    pub attempt: AttemptRef,
    /// Its status.
    pub status: AttemptStatus,
    /// What it was declared to need.
    pub need: Resources,
    /// Highest usage measured so far; arrives late.
    pub peak: Resources,
}

/// Why the runtime did not start an attempt.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize, thiserror::Error)]
pub enum RuntimeRefusal {
    /// The worker has too little free.
    #[error("the worker has too little free")]
    NoRoom,
    /// This attempt, or a newer one, was started or stopped before.
    #[error("the attempt is fenced off")]
    Fenced,
    /// The runtime could not be reached; the attempt may have started.
    #[error(transparent)]
    Store(#[from] StoreError),
}

/// The worker runtime.
#[async_trait(?Send)]
pub trait WorkerRuntime {
    /// Starts an attempt; the same attempt again is not started twice.
    async fn start(&self, worker: &AgentId, start: &StartAttempt) -> Result<(), RuntimeRefusal>;

    /// Renews leases and reports all attempts that the worker knows.
    async fn renew(
        &self,
        worker: &AgentId,
        leases: &LeaseList,
    ) -> Result<Vec<AttemptReport>, StoreError>;

    /// Stops an attempt for good, also one that never started, and returns its final status.
    async fn stop(
        &self,
        worker: &AgentId,
        attempt: &AttemptRef,
        mode: StopMode,
    ) -> Result<AttemptStatus, StoreError>;

    /// Changes an attempt's share of its processors.
    async fn throttle(&self, worker: &AgentId, change: &ThrottleAttempt) -> Result<(), StoreError>;
}
