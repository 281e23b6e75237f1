//! Scripted behaviour of stand-in tasks.

use model::Resources;
use serde::{Deserialize, Serialize};

/// Behaviour of a stand-in task, given as JSON in the payload of its job. A payload that does not
/// parse gives the default.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct TaskScript {
    /// Run time at full speed, in milliseconds.
    pub run_ms: u64,
    /// Whether it fails at the end of its run time instead of succeeding.
    pub fails: bool,
    /// Resources that it uses in fact; `None` for the declared ones.
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
