//! Duplicates of slow runs: when a second run of a task is worth the capacity that it takes.
//!
//! A duplicate starts where the time that it is expected to save exceeds the capacity that it takes
//! from other tasks. Idle capacity costs next to nothing; in a pool that is nearly full a duplicate must
//! save more time than it runs, which is where it also saves capacity. The number of duplicates at once
//! is bounded by a budget that shrinks as the pool fills, and by a limit of one while hardly any wins. All functions are pure: times are arguments.

mod budget;
mod decision;
mod history;

pub use budget::{Room, budget};
pub use decision::{Reason, RunView, Verdict, decide};
pub use history::History;
