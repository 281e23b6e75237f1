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
mod commits;
mod config_watch;
mod control;
mod control_members;
mod control_requests;
mod control_state;
mod control_status;
mod driver;
mod exchange;
mod flight;
mod hop;
mod jobs;
mod messages;
mod metrics;
mod orders;
mod peers;
mod resolve;
mod rpc;
mod run;
mod shard_leases;
mod snapshot;
mod status;
mod traffic;
mod tuning;

pub use run::run;
pub use status::{AgentStatus, ClusterStatus, EntryStatus, TeamStatus};
