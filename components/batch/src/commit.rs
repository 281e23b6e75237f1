//! Group commit: one transaction per shard carries the changes since the last one.

use crate::lease::ShardRow;
use crate::rows::shard_key;
use backing::{Row, Transaction};
use model::TaskId;

/// A group commit. It is sent again unchanged until its outcome is known.
#[derive(Debug, Clone)]
pub struct CommitPlan {
    /// Transaction, conditioned on the version of the shard's lease row.
    pub txn: Transaction,
    /// Lease row that the transaction writes, with the next sequence number.
    pub row: ShardRow,
    /// Tasks whose records the transaction writes, with the revision of each written record.
    pub tasks: Vec<(TaskId, u64)>,
    /// Number of garbage rows that the transaction deletes, from the front of the shard's list.
    pub garbage: usize,
}

/// Outcome of a commit whose answer was lost, as far as the lease row shows it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CommitOutcome {
    /// The commit took effect; the lease row has this version.
    Committed(u64),
    /// The commit has not taken effect yet and has to be sent again.
    Resend,
    /// The shard has another owner, or the row is absent, unreadable or at another sequence; the
    /// commit will never take effect.
    Lost,
}

impl CommitPlan {
    /// Finds the outcome of a commit whose answer was lost, from the current lease row (`None` if
    /// there is none).
    pub fn resolve(&self, shard: u16, row: Option<&Row>) -> CommitOutcome {
        let Some(row) = row.filter(|row| row.key == shard_key(shard)) else {
            return CommitOutcome::Lost;
        };
        let Ok(current) = serde_json::from_str::<ShardRow>(&row.value) else {
            return CommitOutcome::Lost;
        };
        if current.owner != self.row.owner || current.epoch != self.row.epoch {
            return CommitOutcome::Lost;
        }
        if current.sequence == self.row.sequence {
            return CommitOutcome::Committed(row.version);
        }
        if current.sequence + 1 == self.row.sequence {
            CommitOutcome::Resend
        } else {
            CommitOutcome::Lost
        }
    }
}
