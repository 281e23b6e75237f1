//! Calls to the worker on the agent's VM.

use async_trait::async_trait;
use flow::{PaceOrder, StartOrder, StartOutcome, StopOrder, WorkerReport};

/// Extends a worker's lease, acknowledges ends, and asks for its lists.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct WorkerPoll {
    /// Fencing token of the scheduler.
    pub fence: u64,
    /// End of the lease on the worker's clock; absent to leave it as it is.
    pub lease_until_clock_ms: Option<u64>,
    /// Newest end that is recorded for good.
    pub acknowledged: u64,
    /// Longest wait for a new end, in milliseconds.
    pub wait_ms: u64,
    /// Name of the worker that is meant, if it is known.
    pub worker: Option<String>,
}

/// Why a worker gave no report.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum WorkerError {
    /// Nothing listens at its address: it runs nothing.
    #[error("the worker refuses connections")]
    Refused,
    /// No answer; the call may have taken effect.
    #[error("the worker did not answer: {0}")]
    NoAnswer(String),
    /// It has seen a newer scheduler.
    #[error("the worker has seen a newer scheduler")]
    Fenced,
    /// Another worker answers at the address.
    #[error("another worker answers")]
    OtherIncarnation,
}

/// Calls to the worker on the agent's VM.
#[async_trait(?Send)]
pub trait WorkerClient {
    /// Extends the lease and asks for the lists.
    async fn poll(&self, poll: &WorkerPoll) -> Result<WorkerReport, WorkerError>;

    /// Starts a run.
    async fn start(&self, order: &StartOrder) -> StartOutcome;

    /// Stops a run for good; answers whether the worker confirmed it.
    async fn stop(&self, order: &StopOrder) -> bool;

    /// Changes the share at which a run works; answers whether the worker confirmed it.
    async fn pace(&self, order: &PaceOrder) -> bool;
}
