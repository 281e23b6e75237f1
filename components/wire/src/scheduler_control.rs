//! Calls between entries about flows.

use flow::{FlowConfig, FlowJob, FlowPhase, QueueKey};
use model::JobId;
use serde::{Deserialize, Serialize};

/// A sign of life to the scheduler.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Hello {
    /// Number of the configuration that the sender has; 0 for none.
    pub config: u64,
}

/// The scheduler's answer to [`Hello`].
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct HelloReply {
    /// Epoch of the scheduler; absent if the process is not the scheduler.
    pub epoch: Option<u64>,
    /// Age of its last proof that it is the only one, in milliseconds.
    #[serde(rename = "proof_age_ms")]
    pub confirmation_age_ms: u64,
    /// The configuration, if it is newer than the sender's.
    pub config: Option<FlowConfig>,
}

/// What became of a submission.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize, strum::Display)]
#[strum(serialize_all = "kebab-case")]
pub enum SubmitOutcome {
    /// The flow is accepted and stored.
    Accepted,
    /// Not accepted; it will never run.
    Refused,
    /// Nobody can tell; it may have been accepted.
    Uncertain,
}

/// What became of a cancellation.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize, strum::Display)]
#[strum(serialize_all = "kebab-case")]
pub enum CancelOutcome {
    /// The cancellation is stored, or the flow is over.
    Done,
    /// There is no such flow.
    Unknown,
    /// The table can't be reached; it may have been stored.
    Unavailable,
}

/// What the scheduler knows of a flow.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum PhaseReply {
    /// Its state.
    Known(FlowPhase),
    /// It has not heard of the flow.
    Unknown,
    /// The process is not the scheduler, or has not read the table yet.
    NotScheduler,
}

/// What the scheduler knows of a queue.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum WaitingReply {
    /// Accepted flows of which no task has started.
    Count(u64),
    /// The process is not the scheduler, or has not read the table yet.
    NotScheduler,
}

/// Calls between entries about flows.
#[tarpc::service]
pub trait SchedulerControl {
    /// Asks whether the scheduler lives.
    async fn hello(hello: Hello) -> HelloReply;
    /// Tells of a flow that was accepted; answers whether the scheduler has it now.
    async fn accepted(job: FlowJob) -> bool;
    /// Tells of a flow that was cancelled; answers whether the scheduler knows it now.
    async fn cancelled(job: JobId) -> bool;
    /// State of a flow.
    async fn phase(job: JobId) -> PhaseReply;
    /// Waiting flows of a queue.
    async fn waiting(queue: QueueKey) -> WaitingReply;
    /// Accepts a flow on behalf of an entry that can't reach the table.
    async fn submit(job: FlowJob) -> SubmitOutcome;
    /// Cancels a flow on behalf of an entry that can't reach the table.
    async fn cancel(job: JobId) -> CancelOutcome;
}
