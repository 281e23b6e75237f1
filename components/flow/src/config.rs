//! Queues and pools of workers, as operators configure them.

use crate::QueueKey;
use model::ServiceName;
use serde::{Deserialize, Serialize};

/// The whole configuration.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct FlowConfig {
    /// Number, which grows with each change.
    pub version: u64,
    /// Queues.
    pub queues: Vec<Queue>,
    /// Pools of workers.
    pub pools: Vec<Pool>,
}

/// A queue of flows.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Queue {
    /// Where callers reach it.
    pub key: QueueKey,
    /// Pool whose workers run its tasks.
    pub service: ServiceName,
    /// Urgency; 0 comes first.
    pub priority: u32,
    /// Failed runs after which a task has failed for good.
    pub max_attempts: u32,
    /// Multiple of the longest chain of run times within which a flow should end.
    pub stretch: f64,
    /// Time on top of that, in milliseconds.
    pub latency_target_ms: u64,
}

/// A pool of workers.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Pool {
    /// Name of the pool.
    pub name: ServiceName,
    /// Whether its workers refuse what does not fit.
    pub guards_capacity: bool,
    /// Whether its VMs are switched off until they are moved elsewhere.
    pub spare: bool,
}

impl FlowConfig {
    /// The queue that a caller's host and path select: the one with the longest prefix.
    ///
    /// ```
    /// assert!(flow::FlowConfig::default().queue_for("a.example", "/x/1").is_none());
    /// ```
    pub fn queue_for(&self, host: &str, path: &str) -> Option<&Queue> {
        let serves = |queue: &&Queue| queue.key.host == host && path.starts_with(&queue.key.prefix);
        let matching = self.queues.iter().filter(serves);
        matching.max_by_key(|queue| queue.key.prefix.len())
    }

    /// The queue with this identity.
    ///
    /// ```
    /// assert!(flow::FlowConfig::default().queue(&flow::QueueKey::default()).is_none());
    /// ```
    pub fn queue(&self, key: &QueueKey) -> Option<&Queue> {
        self.queues.iter().find(|queue| queue.key == *key)
    }
}
