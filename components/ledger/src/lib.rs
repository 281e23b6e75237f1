//! An agent's ledger: what the VM has, what is taken, and which attempts hold it.

mod book;
mod controller;
mod held;
mod order;
mod owners;

pub use book::{Ledger, end_kind};
pub use controller::{Action, Controller, ControllerLimits, Measurement};
pub use held::{Held, HeldState};
pub use order::OrderDecision;
pub use owners::Owners;
