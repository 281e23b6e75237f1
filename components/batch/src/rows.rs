//! Keys of the table's rows for batch work.

use model::{JobId, TaskId};

/// Key of a shard's lease.
pub fn shard_key(shard: u16) -> String {
    format!("shard/{shard:03}")
}

/// Key of an accepted job, or prefix of a shard's jobs with an empty name.
pub fn job_key(shard: u16, job: &str) -> String {
    format!("job/{shard:03}/{job}")
}

/// Key of a job's cancellation.
pub fn cancel_key(shard: u16, job: &str) -> String {
    format!("cancel/{shard:03}/{job}")
}

/// Key of an ended job's summary.
pub fn done_key(shard: u16, job: &JobId) -> String {
    format!("done/{shard:03}/{job}")
}

/// Prefix of the summaries of a shard's ended jobs.
pub fn done_prefix(shard: u16) -> String {
    format!("done/{shard:03}/")
}

/// Key of a placed task.
pub fn task_key(shard: u16, task: &TaskId) -> String {
    format!("task/{shard:03}/{}/{:06}", task.job, task.index)
}

/// Prefix of a shard's placed tasks.
pub(crate) fn task_prefix(shard: u16) -> String {
    format!("task/{shard:03}/")
}
