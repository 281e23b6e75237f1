//! An agent's ledger: what the VM has, what is taken, and which attempts hold it.

mod allocation;
mod controller;
mod ledger;
mod order;
mod shard_owners;

pub use allocation::{Allocation, AllocationState};
pub use controller::{Action, Controller, ControllerLimits, Measurement};
pub use ledger::{Ledger, end_kind};
pub use order::AdmissionDecision;
pub use shard_owners::ShardOwners;
