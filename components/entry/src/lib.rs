//! The entry: takes requests, jobs and tickets, routes, and owns shards of batch work.

mod admin;
mod admin_auth;
mod admin_jobs;
mod admin_tickets;
mod agents;
mod answer;
mod answer_stream;
mod body;
mod caller;
mod claims;
mod config_watch;
mod control;
mod driver;
mod hop;
mod jobs;
mod messages;
mod metrics;
mod peers;
mod resolve;
mod rpc;
mod run;
mod shard_leases;
mod snapshot;
mod status;
mod traffic;

pub use run::run;
pub use status::{AgentStatus, ClusterStatus, EntryStatus, TeamStatus};
