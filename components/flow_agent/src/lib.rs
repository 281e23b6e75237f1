//! The agent of a worker that runs tasks of flows: passes the scheduler's orders on, and refuses
//! what is out of date. It keeps nothing that can't be learnt again from the worker.

mod metrics;
mod registration;
mod relay;
mod rpc;
mod run;
mod worker_client;

pub use metrics::Metrics;
pub use run::{AgentHandle, start};
pub use worker_client::{WorkerClient, WorkerError, WorkerPoll};
