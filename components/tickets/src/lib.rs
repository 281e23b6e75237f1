//! Configuration changes as numbered tickets in the platform's table.
//!
//! [`accept`] writes a ticket and its changes in one transaction; [`load`] and [`catch_up`] read
//! the resulting configuration.

mod accept;
mod load;
mod refusal;
mod rows;

pub use accept::accept;
pub use load::{catch_up, load, read_ticket};
pub use refusal::{Conflict, Refusal};
