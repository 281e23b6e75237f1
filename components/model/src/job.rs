//! Batch jobs and their states.

use crate::{EndReason, JobId, KindName, Resources, TeamName};
use garde::Validate;
use serde::{Deserialize, Serialize};
use strum::Display;

/// Specification of a batch job, as a team submits it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize, Validate)]
#[serde(deny_unknown_fields)]
pub struct JobSpec {
    /// Team whose quota the job counts towards.
    #[garde(custom(crate::ticket::is_name))]
    pub team: TeamName,
    /// Idempotency key: a repeated submission with the same team and key is the same job.
    #[garde(custom(crate::ticket::is_name))]
    pub key: String,
    /// Kind of work; run times, resource use and interference are learned by kind.
    #[garde(custom(crate::ticket::is_name))]
    pub kind: KindName,
    /// Number of tasks of the job.
    #[garde(range(min = 1, max = 100_000))]
    pub tasks: u32,
    /// Declared resources of one task.
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
    /// Text handed to each task through the platform's worker runtime.
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
    /// Identifier of the job, `team.key`; a repeated submission gets the same one.
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

/// An accepted job, as stored in the table.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Job {
    /// Identifier, derived from team and key.
    pub id: JobId,
    /// Specification as submitted.
    pub spec: JobSpec,
    /// Time of acceptance, in milliseconds since the Unix epoch.
    pub accepted_wall_ms: u64,
}

/// State of a job, as shown to operators.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct JobStatus {
    /// Identifier of the job.
    pub id: JobId,
    /// Overall state.
    pub phase: JobPhase,
    /// Number of all tasks.
    pub tasks: u32,
    /// Tasks that are placed on a worker and have not ended.
    pub placed: u32,
    /// Tasks that succeeded.
    pub succeeded: u32,
    /// Tasks that failed or were cancelled.
    pub failed: u32,
    /// Number of times that a task was resumed after an eviction or the loss of its worker.
    pub resumed: u32,
    /// Why the last task that did not succeed ended; `None` if there is none.
    pub reason: Option<EndReason>,
}

/// Overall state of a job.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize, Display)]
#[serde(rename_all = "kebab-case")]
#[strum(serialize_all = "kebab-case")]
pub enum JobPhase {
    /// Some tasks have not ended.
    Active,
    /// The job is cancelled and its running tasks are being stopped.
    Cancelling,
    /// All tasks have ended.
    Ended,
}
