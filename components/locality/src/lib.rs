//! Decides how long a task waits for a place near its data, or a gang for a rack that takes all its
//! members, before it runs elsewhere and takes longer.
//!
//! A wait is worthwhile while it costs less time than a remote run would add. It is bounded by that
//! time in total, and by the slack of the job to its objective. All functions are pure: times are
//! arguments.

mod decision;
mod gang;

pub use decision::{NearPlace, Reason, Verdict, decide, extra_ms};
pub use gang::gang_place;
