//! Speeds of workers, learned from the progress and the ends of their runs.
//!
//! A run that takes longer than expected says little: the task may be long, or the estimate wrong. A worker counts
//! as slow once runs of several jobs are slow on it at the same time. All functions are pure: times
//! are arguments.

mod slow_domains;
mod speed_track;

pub use slow_domains::{DomainSample, SlowDomains};
pub use speed_track::{RunSample, SpeedChange, SpeedTrack, Standing};
