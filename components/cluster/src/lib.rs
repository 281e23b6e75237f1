//! Runs a complete system on loopback in one process: stand-ins, entries and agents, each on its own
//! threads. Used by the demo and by benchmarks, never in production.

mod node;
mod options;
mod ports;
mod system;

pub use node::Node;
pub use options::{ClusterOptions, WorkerOptions};
pub use ports::free_ports;
pub use system::{Backend, Cluster, EntryAddresses};
