//! The agent, which alone assigns the request slots and resources of one VM.

mod attempts;
mod backend_call;
mod config;
mod control;
mod control_requests;
mod heartbeat;
mod local;
mod messages;
mod metrics;
mod response;
mod rpc;
mod run;
mod runtime_client;
mod service_times;
mod traffic;

pub use run::run;
