//! Messages between the scheduler and the agents of workers.

use crate::{Incarnation, TaskKey, WorkerInfo, WorkerReport};
use serde::{Deserialize, Serialize};

/// Request to an agent for its worker's report; also extends the worker's lease.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PollRequest {
    /// Fencing token of the scheduler: its epoch.
    pub fence: u64,
    /// End of the worker's lease on the worker's own clock, in milliseconds; `None` until that
    /// clock is known.
    pub lease_until_clock_ms: Option<u64>,
    /// Incarnation of the worker that the lease and the acknowledgement are meant for.
    pub born_ms: Option<u64>,
    /// Number of the newest end whose record is durable.
    pub acknowledged: u64,
    /// Longest time to wait for a new end before answering, in milliseconds.
    pub wait_ms: u64,
}

/// Reply of an agent to a [`PollRequest`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum PollReply {
    /// The worker answered.
    Alive {
        /// Contents of its last heartbeat; `None` before the first.
        info: Option<WorkerInfo>,
        /// Report of the worker.
        report: WorkerReport,
    },
    /// The worker refuses connections, so it runs nothing.
    Absent,
    /// The worker did not answer, so its state is unknown.
    Silent,
    /// The worker or its agent has seen a newer scheduler.
    Fenced,
    /// The worker is in another incarnation than the request was meant for; nothing was done.
    OtherLife,
}

/// Order to start a run.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct StartOrder {
    /// Fencing token of the scheduler: its epoch.
    pub fence: u64,
    /// Incarnation of the worker that the order is meant for.
    pub incarnation: Incarnation,
    /// End of the worker's lease on the worker's own clock, in milliseconds.
    pub lease_until_clock_ms: u64,
    /// The task.
    pub task: TaskKey,
    /// Number of the run.
    pub run: u32,
    /// Payload of the flow.
    pub payload: String,
    /// Checkpoint to resume from; `None` to start from the beginning.
    pub checkpoint: Option<String>,
}

/// Outcome of a start order.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize, strum::Display)]
#[strum(serialize_all = "kebab-case")]
pub enum StartOutcome {
    /// The run has started.
    Started,
    /// The worker has too little free capacity; nothing was started.
    NoRoom,
    /// The worker or its agent has seen a newer scheduler; nothing was started.
    Fenced,
    /// This run, or a later run of the task, was started or stopped before; nothing was started.
    Superseded,
    /// The lease in the order had expired when the order arrived; nothing was started.
    Late,
    /// The worker is draining, unhealthy or terminated; nothing was started.
    Unavailable,
    /// The order is invalid to the worker; nothing was started.
    Invalid,
    /// There was no answer: the run may have started, or may start seconds later.
    Unknown,
}

/// Order to stop a run; one whose start order arrives later is not started.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct StopOrder {
    /// Fencing token of the scheduler: its epoch.
    pub fence: u64,
    /// Incarnation of the worker that the order is meant for.
    pub incarnation: Incarnation,
    /// The task.
    pub task: TaskKey,
    /// Number of the run.
    pub run: u32,
}

/// Order to change the pace of a run.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PaceOrder {
    /// Fencing token of the scheduler: its epoch.
    pub fence: u64,
    /// Incarnation of the worker that the order is meant for.
    pub incarnation: Incarnation,
    /// The task.
    pub task: TaskKey,
    /// Number of the run.
    pub run: u32,
    /// Percentage of the full pace at which the run works from now on, from 0 to 100.
    pub percent: u32,
}
