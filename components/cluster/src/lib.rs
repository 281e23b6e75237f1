//! A whole system on loopback in one process: stand-ins, entries and agents, each with threads of
//! its own. For the demo and for measurements; nothing of it runs in production.

mod builder;
mod node;
mod ports;
mod system;

pub use builder::{ClusterOptions, WorkerOptions};
pub use node::Node;
pub use ports::free_ports;
pub use system::{Backend, Cluster, EntryAddresses};
