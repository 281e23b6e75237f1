//! Faults that the platform stand-in shows.

use serde::{Deserialize, Serialize};

/// Faults that the platform stand-in shows until they are changed.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Faults {
    /// Whether table and object store refuse every call.
    pub down: bool,
    /// Delay of each call of the table, in milliseconds.
    pub delay_ms: u64,
    /// One in so many commits takes effect and loses its answer; none if 0.
    pub lose_answer_every: u64,
    /// Commits that the table takes a second; unlimited if 0.
    pub writes_per_s: u64,
    /// Reads that the table takes a second; unlimited if 0.
    pub reads_per_s: u64,
}
