//! What is kept of a job that is over.

use crate::{Job, JobStatus};
use serde::{Deserialize, Serialize};

/// What the table keeps of a job that is over.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct JobSummary {
    /// Its last state.
    pub status: JobStatus,
    /// Digest of what was submitted, by which a repeated submission is told from another job.
    pub spec_digest: u64,
    /// When it ended, in milliseconds since the Unix epoch.
    pub ended_wall_ms: u64,
}

impl Job {
    /// Digest of what was submitted.
    pub fn spec_digest(&self) -> u64 {
        utils::hash64(&serde_json::to_string(&self.spec).unwrap_or_default())
    }
}
