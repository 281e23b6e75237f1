//! Faults that tests inject into the platform stand-in.

use serde::{Deserialize, Serialize};

/// Faults of the platform stand-in; in effect until the next change. The default has none.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Faults {
    /// Whether the table refuses every call and the object store every write.
    pub down: bool,
    /// Delay of the answer to each table call, in milliseconds.
    pub delay_ms: u64,
    /// Every n-th commit takes effect but its answer is lost; 0 loses none.
    pub lose_answer_every: u64,
    /// Commits that the table accepts a second; 0 is unlimited.
    pub writes_per_s: u64,
    /// Reads and scans that the table accepts a second; 0 is unlimited.
    pub reads_per_s: u64,
}
