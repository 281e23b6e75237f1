//! Resource accounting and control of batch work on one VM, used by its agent.
//!
//! [`Ledger`] admits attempts against the VM's capacity, [`InterferenceController`] throttles and evicts batch
//! work that slows latency-critical services, and [`ShardOwners`] holds the addresses that
//! ends are reported to.

mod admission;
mod allocation;
mod interference;
mod ledger;
mod shard_owners;

pub use admission::AdmissionDecision;
pub use allocation::{Allocation, AllocationState};
pub use interference::{Action, InterferenceController, InterferenceLimits, Measurement};
pub use ledger::{Ledger, end_kind};
pub use shard_owners::ShardOwners;
