//! Membership of a cluster: the live agents and entries, by heartbeats and gossip.
//!
//! An agent sends heartbeats to a few entries, its homes. These relay its state to the others.

mod change;
mod home_selector;
mod member;
mod members;
mod peers;
mod view;

pub use change::MembershipChange;
pub use home_selector::HomeSelector;
pub use member::{HeartbeatSource, Member};
pub use members::Members;
pub use peers::{Peer, Peers};
