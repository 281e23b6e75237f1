//! Settings of the graceful shutdown.

use garde::Validate;
use serde::{Deserialize, Serialize};

/// How a process shuts down after SIGTERM.
#[derive(Debug, Clone, Serialize, Deserialize, Validate)]
#[serde(deny_unknown_fields, default)]
pub struct DrainSettings {
    /// Time between reporting not ready and refusing new work, in milliseconds.
    #[garde(range(max = 600_000))]
    pub notice_ms: u64,
    /// Time after which work in flight is aborted, in milliseconds; no limit when absent.
    #[garde(skip)]
    pub limit_ms: Option<u64>,
    /// Whether an agent checkpoints its batch tasks so that other workers resume them; set to false
    /// for a mere restart.
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
