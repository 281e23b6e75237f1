//! Batch jobs.

use crate::{EndReason, JobId, KindName, Resources, TeamName};
use garde::Validate;
use serde::{Deserialize, Serialize};
use strum::Display;

/// What a team states of a batch job.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize, Validate)]
#[serde(deny_unknown_fields)]
pub struct JobSpec {
    /// Team that pays for the job.
    #[garde(custom(crate::ticket::is_name))]
    pub team: TeamName,
    /// Key that makes a repeated submission the same job.
    #[garde(custom(crate::ticket::is_name))]
    pub key: String,
    /// Kind, by which run times, sizes and interference are learnt.
    #[garde(custom(crate::ticket::is_name))]
    pub kind: KindName,
    /// Number of tasks.
    #[garde(range(min = 1, max = 100_000))]
    pub tasks: u32,
    /// What one task is declared to need.
    #[garde(skip)]
    pub need: Resources,
    /// Declared run time of one task, in milliseconds.
    #[serde(default = "default_run_ms")]
    #[garde(range(min = 1))]
    pub run_ms: u64,
    /// Whether the job may preempt other batch work.
    #[serde(default)]
    #[garde(skip)]
    pub urgent: bool,
    /// Failed attempts after which a task counts as failed.
    #[serde(default = "default_max_failures")]
    #[garde(range(min = 1, max = 100))]
    pub max_failures: u32,
    /// Text handed to the platform's worker runtime.
    #[serde(default)]
    #[garde(length(max = 16_384))]
    pub payload: String,
}

fn default_run_ms() -> u64 {
    60_000
}

fn default_max_failures() -> u32 {
    3
}

impl JobSpec {
    /// The job's identifier, the same for each submission with the same team and key.
    ///
    /// ```
    /// let spec: model::JobSpec = serde_json::from_str(
    ///     r#"{"team": "t", "key": "k", "kind": "x", "tasks": 1, "need": {"processors_milli": 1, "memory_mb": 1}}"#,
    /// ).unwrap();
    /// assert_eq!(spec.id().as_str(), "t.k");
    /// ```
    pub fn id(&self) -> JobId {
        format!("{}.{}", self.team, self.key).into()
    }
}

/// An accepted job as the table keeps it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Job {
    /// Identifier.
    pub id: JobId,
    /// What was submitted.
    pub spec: JobSpec,
    /// Time of acceptance, in milliseconds since the Unix epoch.
    pub accepted_wall_ms: u64,
}

/// A job's state as operators see it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct JobStatus {
    /// Identifier.
    pub id: JobId,
    /// Overall state.
    pub phase: JobPhase,
    /// Number of tasks.
    pub tasks: u32,
    /// Tasks that are placed on a worker.
    pub placed: u32,
    /// Tasks that ended well.
    pub succeeded: u32,
    /// Tasks that ended otherwise.
    pub failed: u32,
    /// Resumptions after an eviction or a lost worker.
    pub resumed: u32,
    /// Why the last failed task failed.
    pub reason: Option<EndReason>,
}

/// Overall state of a job.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize, Display)]
#[serde(rename_all = "kebab-case")]
#[strum(serialize_all = "kebab-case")]
pub enum JobPhase {
    /// Tasks are left to end.
    Active,
    /// Cancelled; running tasks are being stopped.
    Cancelling,
    /// All tasks ended.
    Ended,
}
