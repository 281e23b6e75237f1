//! Accepted and ended flows, and their rows in the table.

use crate::FlowSpec;
use model::JobId;
use serde::{Deserialize, Serialize};

/// An accepted flow, as stored in the table.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct FlowJob {
    /// Identifier that the caller chose.
    pub id: JobId,
    /// Queue to which it was submitted.
    pub queue: QueueKey,
    /// Specification by the caller.
    pub spec: FlowSpec,
    /// Time of acceptance, in milliseconds since the Unix epoch.
    pub accepted_wall_ms: u64,
}

impl FlowJob {
    /// Size of the flow's row in the table, in bytes.
    pub fn size_bytes(&self) -> u64 {
        let mut counter = ByteCounter(0);
        // Rows are plain data, whose serialization does not fail.
        let _ = serde_json::to_writer(&mut counter, self);
        counter.0 + ROW_BYTES
    }
}

/// Bytes of a flow's row besides the flow: the name of the variant and its braces.
const ROW_BYTES: u64 = 13;

/// Counts the bytes that are written, and keeps none of them.
struct ByteCounter(u64);

impl std::io::Write for ByteCounter {
    fn write(&mut self, bytes: &[u8]) -> std::io::Result<usize> {
        self.0 += bytes.len() as u64;
        Ok(bytes.len())
    }

    fn flush(&mut self) -> std::io::Result<()> {
        Ok(())
    }
}

/// Identity of a queue: the address by which callers reach it. Its text form is the name of the queue in
/// settings and metrics.
///
/// ```
/// let key = flow::QueueKey { host: "a.example".to_owned(), prefix: "/q/".to_owned() };
/// assert_eq!(key.to_string(), "a.example/q/");
/// ```
#[derive(Debug, Clone, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct QueueKey {
    /// Host name in the request.
    pub host: String,
    /// Prefix of the request's path.
    pub prefix: String,
}

impl std::fmt::Display for QueueKey {
    /// Host and prefix as one text; a prefix begins with a slash.
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(formatter, "{}{}", self.host, self.prefix)
    }
}

/// Phase of a flow, as reported to callers.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize, strum::Display, strum::EnumString,
)]
#[serde(rename_all = "kebab-case")]
#[strum(serialize_all = "kebab-case")]
pub enum FlowPhase {
    /// Accepted; no task has started.
    Queued,
    /// At least one task has started.
    Running,
    /// Every task succeeded.
    Completed,
    /// A task failed as often as its queue allows.
    Failed,
    /// Cancelled by its caller.
    Cancelled,
}

impl FlowPhase {
    /// Whether the flow has ended, so that its phase does not change any more.
    ///
    /// ```
    /// assert!(flow::FlowPhase::Failed.is_final());
    /// assert!(!flow::FlowPhase::Queued.is_final());
    /// ```
    pub fn is_final(self) -> bool {
        match self {
            Self::Queued | Self::Running => false,
            Self::Completed | Self::Failed | Self::Cancelled => true,
        }
    }
}

/// An ended flow, as stored in the table in place of the accepted one.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct FlowEnd {
    /// How it ended.
    pub phase: FlowPhase,
    /// When it ended, in milliseconds since the Unix epoch.
    pub ended_wall_ms: u64,
}

/// Row of a flow in the table, under its identifier.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum FlowRow {
    /// Accepted, and not recorded as ended.
    Accepted(FlowJob),
    /// Ended.
    Ended(FlowEnd),
}
