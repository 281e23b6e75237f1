//! Orders and reports about attempts at tasks.

use backing::AttemptRef;
use model::{Attempt, KindName, Resources};
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// Order to start an attempt that is durably placed on the agent.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct StartOrder {
    /// The attempt.
    pub attempt: AttemptRef,
    /// Kind of work.
    pub kind: KindName,
    /// What it is expected to need.
    pub need: Resources,
    /// Whether it may push other batch work aside.
    pub urgent: bool,
    /// Text for the task.
    pub payload: String,
    /// Attempt whose checkpoint to start from.
    pub checkpoint: Option<Attempt>,
}

/// Outcome of a start order.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum StartResult {
    /// The attempt runs or is being started; its end will be reported.
    Accepted,
    /// It did not start here and never will under this number.
    Refused,
    /// The order came from an entry that no longer owns the shard.
    StaleOwner,
    /// The agent does not know yet whether the attempt ran here; order again.
    Unready,
}

/// Order to stop an attempt.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct StopOrder {
    /// The attempt.
    pub attempt: AttemptRef,
    /// Whether to write a checkpoint first.
    pub checkpoint: bool,
}

/// Tells an agent which entry owns a shard.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct ShardOwner {
    /// The shard.
    pub shard: u16,
    /// Number of shards in all.
    pub shards: u16,
    /// Epoch of the owner's lease.
    pub epoch: u64,
    /// Control address of the owner.
    pub owner: SocketAddr,
}

/// End of an attempt, proved by the agent.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct AttemptEnd {
    /// The attempt.
    pub attempt: AttemptRef,
    /// How it ended.
    pub kind: EndKind,
    /// Highest usage measured.
    pub peak: Resources,
    /// How long it ran, in milliseconds.
    pub run_ms: u64,
}

/// How an attempt ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum EndKind {
    /// It did its work.
    Succeeded,
    /// It failed by itself.
    Failed,
    /// It was stopped, or never started; without a checkpoint.
    Stopped,
    /// It was stopped after its checkpoint was written.
    Checkpointed,
}
