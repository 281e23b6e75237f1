//! Settings of a graceful shutdown.

use garde::Validate;
use serde::{Deserialize, Serialize};

/// How a process shuts down.
#[derive(Debug, Clone, Serialize, Deserialize, Validate)]
#[serde(deny_unknown_fields, default)]
pub struct DrainSettings {
    /// Time between readiness going off and new work being refused, in milliseconds.
    #[garde(range(max = 600_000))]
    pub notice_ms: u64,
    /// Time after which work in flight is cut, in milliseconds; never when absent.
    #[garde(skip)]
    pub limit_ms: Option<u64>,
    /// Whether an agent checkpoints its batch tasks for other workers; off for a mere restart.
    #[garde(skip)]
    pub evict_batch: bool,
}

impl Default for DrainSettings {
    fn default() -> Self {
        Self {
            notice_ms: 2_000,
            limit_ms: None,
            evict_batch: true,
        }
    }
}
