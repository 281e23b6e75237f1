//! Seeded soak test: runs the real program as separate processes on loopback, injects faults from
//! outside, and checks the system's promises against what callers, workers and the store observed.

mod callers;
mod check;
mod fault;
mod fleet;
mod node;
mod options;
mod phase_durations;
mod run;

pub use callers::{SubmitOutcome, SubmittedJob};
pub use check::{Breach, Evacuation, Promise, check, check_evacuation};
pub use fault::{AgentLoss, Fault, FaultKind, plan_faults};
pub use options::Options;
pub use phase_durations::PhaseDurations;
pub use run::{Outcome, SoakError, run};
