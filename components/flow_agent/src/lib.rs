//! The agent of a worker that runs tasks of flows. It forwards the scheduler's polls and orders to
//! the worker and refuses stale ones. It stores nothing: after a restart, it gets its state from
//! the worker again.

mod connections;
mod heartbeat_order;
mod metrics;
mod pool;
mod registration;
mod relay;
mod rpc;
mod run;
mod worker_client;

pub use metrics::Metrics;
pub use run::{AgentHandle, start};
pub use worker_client::{WorkerClient, WorkerConnection, WorkerError, WorkerPoll};
