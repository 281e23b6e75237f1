//! Settings of batch scheduling.

use garde::Validate;
use serde::{Deserialize, Serialize};

/// How an entry schedules batch jobs.
#[derive(Debug, Clone, Serialize, Deserialize, Validate)]
#[serde(deny_unknown_fields, default)]
pub struct BatchSettings {
    /// Number of shards that jobs are hashed onto. Must be the same on every entry and must never
    /// change.
    #[garde(range(min = 1, max = 256))]
    pub shards: u16,
    /// Minimum time between two commits of one shard, in milliseconds.
    #[garde(range(min = 10, max = 10_000))]
    pub commit_interval_ms: u64,
    /// Time without a commit after which a shard may be taken over, in milliseconds.
    #[garde(range(min = 1_000, max = 600_000))]
    pub shard_lease_ms: u64,
    /// Time between two polls of the newest ticket number, in milliseconds.
    #[garde(range(min = 100, max = 5_000))]
    pub head_poll_ms: u64,
    /// Maximum number of rows that the table accepts in one transaction.
    #[garde(range(min = 10, max = 10_000))]
    pub max_rows: usize,
}

impl Default for BatchSettings {
    fn default() -> Self {
        Self {
            shards: 16,
            commit_interval_ms: 200,
            shard_lease_ms: 6_000,
            head_poll_ms: 1_000,
            max_rows: 100,
        }
    }
}
