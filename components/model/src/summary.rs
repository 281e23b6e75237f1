//! Summaries of ended jobs.

use crate::{Job, JobStatus};
use serde::{Deserialize, Serialize};

/// Row that the table retains of an ended job.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct JobSummary {
    /// Final state of the job.
    pub status: JobStatus,
    /// Digest of the job's specification; distinguishes a repeated submission from another job with
    /// the same key.
    pub spec_digest: u64,
    /// Time at which it ended, in milliseconds since the Unix epoch.
    pub ended_wall_ms: u64,
}

impl Job {
    /// Digest of the job's specification, as stored in [`JobSummary`].
    pub fn spec_digest(&self) -> u64 {
        utils::hash64(&serde_json::to_string(&self.spec).unwrap_or_default())
    }
}
