//! Interface of the worker on the agent's VM.

use async_trait::async_trait;
use flow::{PaceOrder, StartOrder, StartOutcome, StopOrder, WorkerReport};

/// Call that extends the worker's lease, acknowledges ended runs, and requests a report.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct WorkerPoll {
    /// Fencing token of the scheduler.
    pub fence: u64,
    /// New end of the lease on the worker's clock; `None` leaves the lease unchanged.
    pub lease_until_clock_ms: Option<u64>,
    /// Number of the newest end that is durable, so that the worker may drop it; 0 for none.
    pub acknowledged: u64,
    /// Longest time that the worker may hold the call until a run ends, in milliseconds.
    pub wait_ms: u64,
    /// Name that the worker must have; `None` before its first heartbeat.
    pub worker: Option<String>,
}

/// Reasons why a poll of the worker gave no report.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum WorkerError {
    /// Nothing listens at the worker's address, so that it runs nothing.
    #[error("the worker refuses connections")]
    Refused,
    /// No usable answer arrived; the call may have taken effect.
    #[error("the worker did not answer: {0}")]
    NoAnswer(String),
    /// The worker has seen a higher fencing token.
    #[error("the worker has seen a newer scheduler")]
    Fenced,
    /// Another worker answers at the address; the call had no effect.
    #[error("another worker answers")]
    OtherIncarnation,
}

/// Client of the worker on the agent's VM.
#[async_trait(?Send)]
pub trait WorkerClient {
    /// Extends the lease, acknowledges ended runs, and reads the worker's report.
    async fn poll(&self, poll: &WorkerPoll) -> Result<WorkerReport, WorkerError>;

    /// Starts a run; a failed call is mapped to an outcome.
    async fn start(&self, order: &StartOrder) -> StartOutcome;

    /// Stops a run so that it can't start later either. Returns true if the worker confirmed it.
    async fn stop(&self, order: &StopOrder) -> bool;

    /// Changes the percentage of the full pace at which a run works. Returns true if the worker
    /// confirmed it.
    async fn pace(&self, order: &PaceOrder) -> bool;
}
