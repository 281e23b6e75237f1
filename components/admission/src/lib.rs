//! Decides whether a new job is accepted, by the work that a scheduler has not done yet.
//!
//! A job is refused only if it is expected to end so late that it is worth nothing to its caller, with
//! a factor for estimates that are wrong. Whatever is not known leads to acceptance. All functions are
//! pure: times and random numbers are arguments.

mod arrival;
mod backlog;
mod decision;
mod hysteresis;

pub use arrival::{Arrival, Demand, Repetition};
pub use backlog::{Backlog, DUE_CLASSES, KindBacklog, PoolBacklog, PriorityBacklog};
pub use decision::{Admission, admit};
pub use hysteresis::Hysteresis;
