//! The entry: accepts requests, jobs and tickets, routes requests to agents and schedules the batch
//! work of the shards that it owns.

mod admin;
mod admin_auth;
mod admin_jobs;
mod admin_tickets;
mod agent_call;
mod agent_links;
mod answer;
mod answer_stream;
mod batch_state;
mod body;
mod caller;
mod claims;
mod commits;
mod config_watch;
mod control;
mod control_members;
mod control_peers;
mod control_requests;
mod control_state;
mod control_status;
mod exchange;
mod in_flight_try;
mod jobs;
mod keyed;
mod messages;
mod metrics;
mod orders;
mod peer_calls;
mod resolve;
mod routing_options;
mod rpc;
mod run;
mod shard_leases;
mod snapshot;
mod status;
mod traffic;

pub use run::run;
pub use status::{AgentStatus, ClusterStatus, EntryStatus, TeamStatus};
