//! Which agents and entries are alive, and who tells whom.

mod change;
mod homes;
mod member;
mod members;
mod peers;
mod view;

pub use change::Change;
pub use homes::Homes;
pub use member::{Member, Source};
pub use members::Members;
pub use peers::{Peer, Peers};
