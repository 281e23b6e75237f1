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

impl WorkerPoll {
    /// Poll that only requests a report: it changes nothing in any incarnation of the worker but the
    /// fencing token that it has seen.
    ///
    /// ```
    /// let poll = flow_agent::WorkerPoll::report_only(7, Some("w1".to_owned()));
    /// assert_eq!((poll.lease_until_clock_ms, poll.acknowledged, poll.wait_ms), (None, 0, 0));
    /// ```
    pub fn report_only(fence: u64, worker: Option<String>) -> Self {
        Self {
            fence,
            lease_until_clock_ms: None,
            acknowledged: 0,
            wait_ms: 0,
            worker,
        }
    }
}

/// Reasons why a call to the worker had no usable answer.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum WorkerError {
    /// Nothing listens at the worker's address, so that it runs nothing.
    #[error("the worker refuses connections")]
    Refused,
    /// The connection had ended before the call; nothing was sent.
    #[error("the connection has ended")]
    Disconnected,
    /// No usable answer arrived; the call may have taken effect.
    #[error("the worker did not answer: {0}")]
    NoAnswer(String),
    /// The worker has seen a higher fencing token.
    #[error("the worker has seen a newer scheduler")]
    Fenced,
    /// Another worker, or another incarnation of it, answers at the address; the call had no effect.
    #[error("another worker answers")]
    OtherIncarnation,
}

/// Client of the worker on the agent's VM.
#[async_trait(?Send)]
pub trait WorkerClient {
    /// Opens a connection to whichever incarnation of the worker listens now.
    ///
    /// # Errors
    /// The connection is refused, or is not made in time.
    async fn connect(&self) -> Result<Box<dyn WorkerConnection>, WorkerError>;
}

/// Connection to one incarnation of the worker: it ends when that does, and no call on it ever
/// reaches another one. It carries one call at a time.
#[async_trait(?Send)]
pub trait WorkerConnection {
    /// Extends the lease, acknowledges ended runs, and reads the worker's report.
    ///
    /// # Errors
    /// There is no report.
    async fn poll(&self, poll: &WorkerPoll) -> Result<WorkerReport, WorkerError>;

    /// Starts a run.
    ///
    /// # Errors
    /// The worker gave no reason why it did not; only after [`WorkerError::NoAnswer`] it may have.
    async fn start(&self, order: &StartOrder) -> Result<StartOutcome, WorkerError>;

    /// Stops a run so that it can't start later either. Returns true if the worker confirmed it.
    ///
    /// # Errors
    /// There was no answer.
    async fn stop(&self, order: &StopOrder) -> Result<bool, WorkerError>;

    /// Changes the percentage of the full pace at which a run works. Returns true if the worker
    /// confirmed it.
    ///
    /// # Errors
    /// There was no answer.
    async fn pace(&self, order: &PaceOrder) -> Result<bool, WorkerError>;
}
