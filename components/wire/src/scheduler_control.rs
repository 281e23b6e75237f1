//! RPC interface between entries about flows.

use admission::Backlog;
use flow::{ExplainFault, Explanation, FlowConfig, FlowJob, FlowPhase, QueueKey};
use model::JobId;
use serde::{Deserialize, Serialize};

/// Probe of an entry to the entry that it takes for the scheduler.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct SchedulerProbe {
    /// Version of the configuration that the sender has; 0 for none.
    pub config: u64,
}

/// Answer to [`SchedulerProbe`].
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct SchedulerProbeReply {
    /// Epoch of the scheduler's lease; `None` if the process is not the scheduler.
    pub epoch: Option<u64>,
    /// Time since the scheduler last confirmed that it is the only one, in milliseconds; `u64::MAX`
    /// if the process is not the scheduler.
    #[serde(rename = "proof_age_ms")]
    pub confirmation_age_ms: u64,
    /// The configuration; `None` unless it is newer than the sender's.
    pub config: Option<FlowConfig>,
}

/// Outcome of the submission of a flow.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize, strum::Display)]
#[strum(serialize_all = "kebab-case")]
pub enum SubmitOutcome {
    /// The flow is accepted and stored.
    Accepted,
    /// The flow is not accepted and will never run.
    Refused,
    /// The outcome of the write is unknown; the flow may have been accepted.
    Uncertain,
}

/// Outcome of the cancellation of a flow.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize, strum::Display)]
#[strum(serialize_all = "kebab-case")]
pub enum CancelOutcome {
    /// The cancellation is stored, or the flow has already ended.
    Done,
    /// There is no such flow.
    Unknown,
    /// The table can't be reached; the cancellation may have been stored.
    Unavailable,
}

/// Answer to a request for the phase of a flow.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum PhaseReply {
    /// Phase of the flow.
    Known(FlowPhase),
    /// The scheduler doesn't know the flow.
    Unknown,
    /// The process is not the scheduler, or has not read the table yet.
    NotScheduler,
}

/// Answer to a request for the length of a queue.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum QueuedCountReply {
    /// Accepted flows of which no task has started.
    Count(u64),
    /// The process is not the scheduler, or has not read the table yet.
    NotScheduler,
}

/// Answer to a request for room for flows that an entry accepts.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum RoomReply {
    /// Memory that these flows may take in the scheduler, in bytes; 0 if none is left.
    Bytes(u64),
    /// The process is not the scheduler, or has not read the table yet.
    NotScheduler,
}

/// Answer to a request for the scheduler's backlog.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum BacklogReply {
    /// The process has measured its backlog.
    Measured {
        /// Time since the measurement, in milliseconds.
        age_ms: u64,
        /// The backlog; the time in it is of the sender's clock and means nothing to the receiver.
        backlog: Backlog,
    },
    /// The process is not the scheduler, or does not know its workers yet.
    NotMeasured,
}

/// Answer to a request to explain where a job would be placed now.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum ExplainReply {
    /// Where it would be placed, and why.
    Explained(Explanation),
    /// The job can't be explained.
    Fault(ExplainFault),
    /// The process is not the scheduler, or has not read the table yet.
    NotScheduler,
}

/// RPC interface between entries about flows.
///
/// Calls are encoded by position: the order of methods and of their arguments must not change.
#[tarpc::service]
pub trait SchedulerControl {
    /// Checks that the scheduler is alive, and fetches a newer configuration from it.
    async fn probe(probe: SchedulerProbe) -> SchedulerProbeReply;
    /// Notifies the scheduler of an accepted flow; `true` if the scheduler has it now.
    async fn notify_accepted(job: FlowJob) -> bool;
    /// Notifies the scheduler of a cancelled flow; `true` if the scheduler knows of it now.
    async fn notify_cancelled(job: JobId) -> bool;
    /// Returns the phase of a flow.
    async fn get_phase(job: JobId) -> PhaseReply;
    /// Returns the number of flows of a queue of which no task has started.
    async fn count_queued(queue: QueueKey) -> QueuedCountReply;
    /// Accepts a flow for an entry that can't reach the table.
    async fn submit(job: FlowJob) -> SubmitOutcome;
    /// Cancels a flow for an entry that can't reach the table.
    async fn cancel(job: JobId) -> CancelOutcome;
    /// Grants an entry room for flows that it accepts.
    async fn grant_room() -> RoomReply;
    /// Returns the scheduler's backlog. Earlier versions don't know this call and close the connection.
    async fn get_backlog() -> BacklogReply;
    /// Explains where a job would be placed now and why, without accepting it.
    async fn explain(job: FlowJob) -> ExplainReply;
}
