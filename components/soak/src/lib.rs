//! A seeded soak: runs the real programs as separate processes on loopback, injects faults from
//! outside, and checks the promises by what callers, workers and the store saw.

mod callers;
mod check;
mod fault;
mod fleet;
mod node;
mod options;
mod run;
mod spans;

pub use callers::{Handed, Told};
pub use check::{Breach, Promise, check};
pub use fault::{Fault, FaultKind, plan};
pub use options::Options;
pub use run::{Outcome, SoakError, run};
pub use spans::Spans;
