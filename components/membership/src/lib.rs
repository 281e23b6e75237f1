//! Which agents and entries are alive, as one entry hears it.

mod change;
mod members;
mod peers;

pub use change::Change;
pub use members::{Member, Members};
pub use peers::{Peer, Peers};
