//! Decides whether a queued task of an urgent priority takes the place of running tasks that are less
//! urgent and save their progress.
//!
//! A preemption is worthwhile if the urgent task would otherwise miss its objective and gains more than
//! the preempted tasks lose. All functions are pure: times are arguments.

mod choice;
mod decision;

pub use choice::{Cost, cost};
pub use decision::{Reason, Room, Urgent, Verdict, decide, is_too_late};

/// Most preemptions of one task, so that it ends in a pool that is always short of room.
pub const MAX_PREEMPTIONS: u32 = 2;
/// Least time between two preemptions of the same task, in milliseconds. Meanwhile it can make progress.
pub const MIN_PAUSE_MS: u64 = 10_000;
/// Most tasks that are being preempted at a time, so that the workers' reports catch up.
pub const MAX_PREEMPTING: u32 = 4;
/// Time from the decision until the urgent task runs, in milliseconds: the stop and its report, the commit
/// and the start.
pub const PREEMPTION_MS: u64 = 500;
/// Time from the release of room until a task that is placed there runs, in milliseconds: the report of the
/// release, the commit and the start.
pub const START_MS: u64 = 300;
/// Least time by which a preemption delays the preempted task, in milliseconds: its stop, and its start
/// where there is room at once.
pub const MIN_DELAY_MS: u64 = 1_000;

/// A running task that may have to make room.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Victim {
    /// Priority of its queue; 0 is the most urgent.
    pub priority: u32,
    /// Processors that its end frees, in thousandths; 0 for a filler, which reserves none.
    pub cores_milli: u32,
    /// Memory that its end frees, in megabytes.
    pub memory_mb: u64,
    /// Work since its last checkpoint, which is lost, in core-milliseconds.
    pub lost_work: u64,
    /// Time by which its flow would end before its objective if the run goes on, in milliseconds; negative
    /// if the flow is late.
    pub slack_ms: i64,
    /// Number of times that it was preempted.
    pub preemptions: u32,
    /// When it was last preempted, in milliseconds; `None` if it never was.
    pub last_preempted_ms: Option<u64>,
}
