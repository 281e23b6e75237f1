//! The agent: sole owner of one VM's slots and resources.

mod answer;
mod attempts;
mod backend_call;
mod config;
mod control;
mod control_requests;
mod heartbeat;
mod local;
mod messages;
mod metrics;
mod rpc;
mod run;
mod runtime_driver;
mod service_times;
mod traffic;

pub use run::run;
