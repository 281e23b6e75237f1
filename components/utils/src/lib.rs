//! Clocks, timeouts, backoff, hashing and collections that several crates share.

mod adaptive_timeout;
mod backoff;
mod boot_clock;
mod clock;
mod collections;
mod ewma;
mod hop_headers;
mod recent_set;
mod rendezvous;
mod wait_until_drained;

pub use adaptive_timeout::AdaptiveTimeout;
pub use backoff::Backoff;
pub use boot_clock::boot_ms;
pub use clock::{Clock, wall_ms};
pub use collections::{Map, Set};
pub use ewma::Ewma;
pub use hop_headers::is_hop_header;
pub use recent_set::RecentSet;
pub use rendezvous::{hash64, rank};
pub use wait_until_drained::wait_until_drained;
