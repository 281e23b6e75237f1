//! Shares of the queues that compete for a pool: how much each is entitled to, and how far a queue has
//! exceeded that within a sliding window.
//!
//! A queue is charged only for what other queues waited for, so that lent idle capacity costs nothing.
//! All functions are pure: times are arguments.

mod amount;
mod entitlement;
mod window;

pub use amount::{Amount, Share};
pub use entitlement::{MAX_WEIGHT, MIN_WEIGHT, QueueUse, entitlements};
pub use window::{FairShares, MAX_QUEUES, WINDOW_MS};
