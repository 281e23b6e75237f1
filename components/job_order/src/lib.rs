//! Order in which jobs are served when there may be too little room for all of them. All functions
//! are pure: times are arguments.

mod job_view;
mod large_jobs;
mod rank;
mod selection;

pub use job_view::{JobView, LATE_FACTOR, Outlook, Ranked};
pub use rank::rank;
