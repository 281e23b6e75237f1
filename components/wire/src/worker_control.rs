//! RPC interface of the agent of a worker, called by the scheduler of flows.

use flow::{PaceOrder, PollReply, PollRequest, StartOrder, StartOutcome, StopOrder};

/// RPC interface of the agent of a worker.
///
/// Calls are encoded by position: the order of methods and of their arguments must not change.
#[tarpc::service]
pub trait WorkerControl {
    /// Extends the worker's lease, and returns its state once a run ends or the waiting time of the
    /// request has passed.
    async fn poll(request: PollRequest) -> PollReply;
    /// Starts a run on the worker.
    async fn start(order: StartOrder) -> StartOutcome;
    /// Stops a run, which can't be started again; `true` if the worker confirmed it.
    async fn stop(order: StopOrder) -> bool;
    /// Changes the percentage of the full pace at which a run works; `true` if the worker confirmed
    /// it.
    async fn pace(order: PaceOrder) -> bool;
    /// Returns how much longer the worker is slow after its start, in milliseconds; 0 if it is not.
    async fn get_cold_remaining() -> u64;
}

/// Prefix of the table key under which an agent stores its address for the scheduler; the agent's
/// name follows.
pub const AGENT_ROW_PREFIX: &str = "agents/all/";
