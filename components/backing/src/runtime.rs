//! Interface of the worker runtime, which runs tasks under leases.

use crate::StoreError;
use async_trait::async_trait;
use model::{AgentId, Attempt, Resources, TaskId};
use serde::{Deserialize, Serialize};

/// Identifies one attempt to run a task.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct AttemptRef {
    /// Task that is attempted.
    pub task: TaskId,
    /// Number of the attempt.
    pub attempt: Attempt,
}

/// Arguments for starting an attempt on a worker.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct StartAttempt {
    /// Attempt to start.
    pub attempt: AttemptRef,
    /// Resources that the task is declared to need.
    pub need: Resources,
    /// Input text, passed to the task unchanged.
    pub payload: String,
    /// Attempt whose checkpoint to resume from; `None` to start from the beginning.
    pub checkpoint: Option<Attempt>,
    /// Length of the lease, in milliseconds; the attempt is stopped when it expires.
    pub lease_ms: u64,
}

/// Arguments for renewing leases.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaseList {
    /// Attempts whose leases are renewed.
    pub attempts: Vec<AttemptRef>,
    /// Length of each renewed lease, in milliseconds.
    pub lease_ms: u64,
}

/// Arguments for throttling an attempt.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ThrottleAttempt {
    /// Attempt to throttle.
    pub attempt: AttemptRef,
    /// Share of its processors that the attempt may use, in percent.
    pub percent: u32,
}

/// How to stop an attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum StopMode {
    /// Stop at once, without writing a checkpoint.
    Kill,
    /// Write a checkpoint to the object store, then stop.
    Checkpoint,
}

/// Status of an attempt in the runtime.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum AttemptStatus {
    /// Running under a lease.
    Running,
    /// Ended by itself with success.
    Succeeded,
    /// Ended by itself with a failure.
    Failed,
    /// Stopped on request; the runtime never starts this attempt number again.
    Stopped,
    /// Stopped on request after its checkpoint was written.
    Checkpointed,
    /// Stopped because its lease expired.
    Lapsed,
}

impl AttemptStatus {
    /// Whether the attempt has ended and can't run again.
    ///
    /// ```
    /// assert!(!backing::AttemptStatus::Running.is_final());
    /// ```
    pub fn is_final(self) -> bool {
        self != Self::Running
    }
}

/// Status and resource usage of an attempt.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct AttemptReport {
    /// Attempt that is reported on.
    pub attempt: AttemptRef,
    /// Status at the time of the report.
    pub status: AttemptStatus,
    /// Resources that the task was declared to need.
    pub need: Resources,
    /// Highest usage measured so far; lags behind the actual usage.
    pub peak: Resources,
}

/// Why the runtime did not start an attempt.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize, thiserror::Error)]
pub enum RuntimeRefusal {
    /// The worker has too little free capacity.
    #[error("the worker has too little free")]
    NoRoom,
    /// This attempt or a newer one of the same task was already started or stopped.
    #[error("the attempt is fenced off")]
    Fenced,
    /// The call failed; unless the error rules it out, the attempt may have started.
    #[error(transparent)]
    Store(#[from] StoreError),
}

/// Starts, stops and throttles attempts on workers, and keeps them running under leases.
#[async_trait(?Send)]
pub trait WorkerRuntime {
    /// Starts an attempt. Idempotent: repeating the call does not start the attempt twice.
    async fn start(&self, worker: &AgentId, start: &StartAttempt) -> Result<(), RuntimeRefusal>;

    /// Renews leases and returns a report on every attempt that the worker knows.
    async fn renew(
        &self,
        worker: &AgentId,
        leases: &LeaseList,
    ) -> Result<Vec<AttemptReport>, StoreError>;

    /// Stops an attempt permanently and returns its final status. An attempt that never started can
    /// be stopped too, and then never starts.
    async fn stop(
        &self,
        worker: &AgentId,
        attempt: &AttemptRef,
        mode: StopMode,
    ) -> Result<AttemptStatus, StoreError>;

    /// Sets an attempt's share of its processors.
    async fn throttle(&self, worker: &AgentId, change: &ThrottleAttempt) -> Result<(), StoreError>;
}
