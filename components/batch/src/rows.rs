//! Keys of the rows for batch work.

use model::{JobId, TaskId};

/// Key of a shard's lease row.
pub fn shard_key(shard: u16) -> String {
    format!("shard/{shard:03}")
}

/// Key of an accepted job. With an empty name, the prefix of all jobs of the shard.
pub fn job_key(shard: u16, job: &str) -> String {
    format!("job/{shard:03}/{job}")
}

/// Key of a job's cancellation. With an empty name, the prefix of all cancellations of the shard.
pub fn cancel_key(shard: u16, job: &str) -> String {
    format!("cancel/{shard:03}/{job}")
}

/// Key of an ended job's summary.
pub fn done_key(shard: u16, job: &JobId) -> String {
    format!("done/{shard:03}/{job}")
}

/// Prefix of the summaries of all ended jobs of a shard.
pub fn done_prefix(shard: u16) -> String {
    format!("done/{shard:03}/")
}

/// Key of the record of a task that was placed at least once.
pub fn task_key(shard: u16, task: &TaskId) -> String {
    format!("task/{shard:03}/{}/{:06}", task.job, task.index)
}

/// Prefix of the task records of a shard.
pub(crate) fn task_prefix(shard: u16) -> String {
    format!("task/{shard:03}/")
}
