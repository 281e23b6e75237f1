//! Messages between the scheduler and the agents of workers.

use crate::{Incarnation, TaskKey, WorkerInfo, WorkerReport};
use serde::{Deserialize, Serialize};

/// Asks an agent for the state of its worker, and extends the worker's lease.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PollRequest {
    /// Fencing token of the scheduler: its epoch.
    pub fence: u64,
    /// End of the worker's lease on the worker's own clock; absent until that clock is known.
    pub lease_until_clock_ms: Option<u64>,
    /// Life of the worker for which the lease and the acknowledgement are meant.
    pub born_ms: Option<u64>,
    /// Newest end that is recorded for good.
    pub acknowledged: u64,
    /// Longest wait for a new end, in milliseconds.
    pub wait_ms: u64,
}

/// An agent's answer to [`PollRequest`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum PollReply {
    /// The worker answered.
    Alive {
        /// What its heartbeats say, once one was heard.
        info: Option<WorkerInfo>,
        /// What it runs.
        report: WorkerReport,
    },
    /// The worker refuses connections: it runs nothing.
    Absent,
    /// The worker did not answer; nothing is known.
    Silent,
    /// The worker or its agent has seen a newer scheduler.
    Fenced,
    /// The worker lives another life than the request meant; nothing was done.
    OtherLife,
}

/// Starts a run.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct StartOrder {
    /// Fencing token of the scheduler.
    pub fence: u64,
    /// Life of the worker for which the order is meant.
    pub incarnation: Incarnation,
    /// End of the worker's lease on its own clock.
    pub lease_until_clock_ms: u64,
    /// The task.
    pub task: TaskKey,
    /// Number of the run.
    pub run: u32,
    /// Text for the task.
    pub payload: String,
    /// Checkpoint to resume from.
    pub checkpoint: Option<String>,
}

/// What came of a start.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize, strum::Display)]
#[strum(serialize_all = "kebab-case")]
pub enum StartOutcome {
    /// The run is there.
    Started,
    /// The worker has too little room; nothing was started.
    NoRoom,
    /// A newer scheduler was seen; nothing was started.
    Fenced,
    /// This run, or a later one, was started or stopped before; nothing was started.
    Superseded,
    /// The lease had already ended when the order arrived; nothing was started.
    Late,
    /// The worker is draining, unhealthy or gone; nothing was started.
    Unavailable,
    /// The worker can't make sense of the order; nothing was started.
    Invalid,
    /// No answer: the run may start now, or seconds later.
    Unknown,
}

/// Stops a run for good, also one that has not arrived yet.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct StopOrder {
    /// Fencing token of the scheduler.
    pub fence: u64,
    /// Life of the worker for which the order is meant.
    pub incarnation: Incarnation,
    /// The task.
    pub task: TaskKey,
    /// Number of the run.
    pub run: u32,
}

/// Changes the share at which a run works.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PaceOrder {
    /// Fencing token of the scheduler.
    pub fence: u64,
    /// Life of the worker for which the order is meant.
    pub incarnation: Incarnation,
    /// The task.
    pub task: TaskKey,
    /// Number of the run.
    pub run: u32,
    /// Share, in percent.
    pub percent: u32,
}
