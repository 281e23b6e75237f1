//! An accepted flow.

use crate::FlowSpec;
use model::JobId;
use serde::{Deserialize, Serialize};

/// An accepted flow, as the table keeps it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct FlowJob {
    /// Identifier, chosen by the caller.
    pub id: JobId,
    /// Queue to which it was submitted.
    pub queue: QueueKey,
    /// What the caller states.
    pub spec: FlowSpec,
    /// Time of acceptance, in milliseconds since the Unix epoch.
    pub accepted_wall_ms: u64,
}

/// Identity of a queue: where callers reach it.
#[derive(Debug, Clone, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct QueueKey {
    /// Host name that callers name.
    pub host: String,
    /// Start of the path.
    pub prefix: String,
}

/// State of a flow as callers see it.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize, strum::Display, strum::EnumString,
)]
#[serde(rename_all = "kebab-case")]
#[strum(serialize_all = "kebab-case")]
pub enum FlowPhase {
    /// No task has started.
    Queued,
    /// A task has started.
    Running,
    /// Every task succeeded.
    Completed,
    /// A task failed too often.
    Failed,
    /// Cancelled by its caller.
    Cancelled,
}

impl FlowPhase {
    /// Whether the flow is over.
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

/// A flow that is over, as the table keeps it in place of the accepted one.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct FlowEnd {
    /// How it ended.
    pub phase: FlowPhase,
    /// When it ended, in milliseconds since the Unix epoch.
    pub ended_wall_ms: u64,
}

/// What the table keeps of a flow under its identifier.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum FlowRow {
    /// Accepted and not known to be over.
    Accepted(FlowJob),
    /// Over.
    Ended(FlowEnd),
}
