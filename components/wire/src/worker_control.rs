//! Calls of the scheduler of flows to the agent of a worker.

use flow::{PaceOrder, PollReply, PollRequest, StartOrder, StartOutcome, StopOrder};

/// Calls that the agent of a worker answers.
#[tarpc::service]
pub trait WorkerControl {
    /// State of the worker, once a run ends or the wait is over; extends the worker's lease.
    async fn poll(request: PollRequest) -> PollReply;
    /// Starts a run.
    async fn start(order: StartOrder) -> StartOutcome;
    /// Stops a run for good; answers whether the worker confirmed it.
    async fn stop(order: StopOrder) -> bool;
    /// Changes the share at which a run works; answers whether the worker confirmed it.
    async fn pace(order: PaceOrder) -> bool;
}

/// Key in the table before the name of an agent; the row holds its address for the scheduler.
pub const AGENT_ROW_PREFIX: &str = "agents/all/";
