//! An entry for flows. It accepts and cancels flows, reports their state, and schedules them while
//! it holds the scheduler's lease. All durable state is in the table.

mod acceptance;
mod agents;
mod call_limit;
mod collection;
mod commits;
mod config_origin;
mod config_source;
mod config_view;
mod config_watch;
mod coordinator;
mod effects;
mod election;
mod evacuations;
mod explain;
mod feed_watch;
mod former;
mod handle;
mod isolation;
mod leadership;
mod learned_rows;
mod limits;
mod memory;
mod messages;
mod metric_labels;
mod metrics;
mod overlapping_reads;
mod overload;
mod reads;
mod record_reads;
mod requests;
mod room;
mod rows;
mod rpc;
mod run;
mod status;
mod store_health;

pub use config_source::{ConfigSource, ConfigUpdate, EvacuationChange, EvacuationUpdate};
pub use coordinator::Dependencies;
pub use handle::{EntryHandle, PhaseAnswer};
pub use limits::FlowTooLarge;
pub use memory::MemoryShares;
pub use metrics::Metrics;
pub use overload::Overloaded;
pub use run::start;
pub use status::{EvacuationRuns, EvacuationStatus, FlowEntryStatus};
