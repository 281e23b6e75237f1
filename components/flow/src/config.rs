//! Queues and pools of workers, as operators configure them.

use crate::QueueKey;
use model::ServiceName;
use serde::{Deserialize, Serialize};

/// Configuration of all queues and pools.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct FlowConfig {
    /// Version of the configuration; grows with each change.
    pub version: u64,
    /// Queues that accept flows.
    pub queues: Vec<Queue>,
    /// Pools of workers.
    pub pools: Vec<Pool>,
}

/// A queue of flows.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Queue {
    /// Host and path prefix by which callers reach it.
    pub key: QueueKey,
    /// Pool whose workers run its tasks.
    pub service: ServiceName,
    /// Priority; 0 is the most urgent.
    pub priority: u32,
    /// Number of failed runs of a task after which the flow fails.
    pub max_attempts: u32,
    /// Multiple of its longest chain of declared run times within which a flow should end.
    pub stretch: f64,
    /// Time added to that, in milliseconds.
    pub latency_target_ms: u64,
}

/// A pool of workers.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Pool {
    /// Name of the pool.
    pub name: ServiceName,
    /// Whether its workers refuse runs that exceed their capacity.
    #[serde(rename = "guards_capacity")]
    pub rejects_overload: bool,
    /// Whether its VMs are switched off until they are moved to another pool.
    pub spare: bool,
}

impl FlowConfig {
    /// Queue for a request's host and path: the one with the longest matching prefix, or `None`.
    ///
    /// ```
    /// assert!(flow::FlowConfig::default().queue_for("a.example", "/x/1").is_none());
    /// ```
    pub fn queue_for(&self, host: &str, path: &str) -> Option<&Queue> {
        let matches =
            |queue: &&Queue| queue.key.host == host && path.starts_with(&queue.key.prefix);
        let matching = self.queues.iter().filter(matches);
        matching.max_by_key(|queue| queue.key.prefix.len())
    }

    /// Queue with this key, or `None`.
    ///
    /// ```
    /// assert!(flow::FlowConfig::default().queue(&flow::QueueKey::default()).is_none());
    /// ```
    pub fn queue(&self, key: &QueueKey) -> Option<&Queue> {
        self.queues.iter().find(|queue| queue.key == *key)
    }
}
