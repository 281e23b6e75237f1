//! What a stand-in task does.

use model::Resources;
use serde::{Deserialize, Serialize};

/// What a stand-in task does; the payload of a job, as JSON.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct TaskScript {
    /// How long it runs at full speed, in milliseconds.
    pub run_ms: u64,
    /// Whether it fails at its end.
    pub fails: bool,
    /// What it really uses; what it declares if absent.
    pub uses: Option<Resources>,
}

impl Default for TaskScript {
    fn default() -> Self {
        Self {
            run_ms: 100,
            fails: false,
            uses: None,
        }
    }
}
