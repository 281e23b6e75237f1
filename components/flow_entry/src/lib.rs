//! An entry that takes flows: accepts and cancels them, answers for their state, and schedules
//! them while it holds the scheduler's lease. What lasts is in the table.

mod commits;
mod config_source;
mod config_watch;
mod coordinator;
mod election;
mod feed_watch;
mod handle;
mod lead;
mod messages;
mod metrics;
mod node;
mod reads;
mod requests;
mod rows;
mod rpc;
mod run;
mod store_health;

pub use config_source::{ConfigSource, ConfigUpdate};
pub use coordinator::Dependencies;
pub use handle::{EntryHandle, PhaseAnswer};
pub use metrics::Metrics;
pub use run::start;
