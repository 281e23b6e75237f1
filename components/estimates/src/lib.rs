//! Estimates of run times, learned from tasks that have ended.
//!
//! Tasks of one kind form a class. For each class a line through the logarithms of declared and of measured
//! run times is learned, so that a class whose declared times mean little is estimated by its own
//! run times, and one whose declared times are off by a constant factor by that factor. The declared time is
//! the prior. All functions are pure: times are arguments.

mod class;
mod evidence;
mod residuals;
mod run_times;
mod siblings;
mod stored;

pub use class::TaskClass;
pub use run_times::{Estimate, EstimateErrors, RunTimes};
pub use siblings::Siblings;
pub use stored::ParseError;
