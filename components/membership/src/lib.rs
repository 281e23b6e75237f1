//! Which agents and entries are alive, and who tells whom.

mod change;
mod homes;
mod member;
mod members;
mod peers;
mod view;

pub use change::MembershipChange;
pub use homes::HomeSelector;
pub use member::{HeartbeatSource, Member};
pub use members::Members;
pub use peers::{Peer, Peers};
