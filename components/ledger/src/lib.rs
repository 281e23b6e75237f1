//! Resource accounting and control of batch work on one VM, used by its agent.
//!
//! [`Ledger`] admits attempts against the VM's capacity, [`Controller`] throttles and evicts batch
//! work that slows latency-critical services, and [`ShardOwners`] holds the addresses that
//! ends are reported to.

mod admission;
mod allocation;
mod controller;
mod ledger;
mod shard_owners;

pub use admission::AdmissionDecision;
pub use allocation::{Allocation, AllocationState};
pub use controller::{Action, Controller, ControllerLimits, Measurement};
pub use ledger::{Ledger, end_kind};
pub use shard_owners::ShardOwners;
