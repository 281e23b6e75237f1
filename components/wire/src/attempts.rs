//! Orders to run attempts at batch tasks, and reports of their ends.

use backing::AttemptRef;
use model::{Attempt, KindName, Resources};
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// Order to start an attempt; its placement on the agent is already stored.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct StartOrder {
    /// Attempt to start.
    pub attempt: AttemptRef,
    /// Kind of work; statistics of run time and usage are kept by kind.
    pub kind: KindName,
    /// Expected use of resources.
    pub need: Resources,
    /// Whether it may preempt other batch work.
    pub urgent: bool,
    /// Text handed to the task.
    pub payload: String,
    /// Earlier attempt whose checkpoint to resume from; `None` to start afresh.
    pub checkpoint: Option<Attempt>,
}

/// Outcome of a start order.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum StartResult {
    /// The attempt runs or is being started; the agent will report its end.
    Accepted,
    /// The attempt did not start on this agent and never will under this number.
    Refused,
    /// The order came from an entry that no longer owns the shard; nothing was done.
    StaleOwner,
    /// The agent does not know yet whether the attempt ran here; the owner must repeat the order.
    Unready,
}

/// Order to stop an attempt.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct StopOrder {
    /// Attempt to stop.
    pub attempt: AttemptRef,
    /// Whether the attempt writes a checkpoint before it stops.
    pub checkpoint: bool,
}

/// The entry that owns a shard of the batch jobs; an agent obeys the owner with the highest epoch.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct ShardOwner {
    /// Number of the shard, from 0.
    pub shard: u16,
    /// Number of all shards.
    pub shards: u16,
    /// Epoch of the owner's lease.
    pub epoch: u64,
    /// Control address of the owner.
    pub owner: SocketAddr,
}

/// End of an attempt, reported by an agent that knows that the attempt no longer runs.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct AttemptEnd {
    /// Attempt that ended.
    pub attempt: AttemptRef,
    /// How it ended.
    pub kind: EndKind,
    /// Highest use of each resource during the attempt.
    pub peak: Resources,
    /// Run time, in milliseconds.
    pub run_ms: u64,
}

/// How an attempt ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum EndKind {
    /// The task completed.
    Succeeded,
    /// The task failed by itself.
    Failed,
    /// The attempt was stopped or never started; there is no checkpoint of it.
    Stopped,
    /// The attempt was stopped after it had written a checkpoint.
    Checkpointed,
}
