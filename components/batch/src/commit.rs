//! Group commit: one transaction a shard carries all transitions since the last.

use crate::lease::ShardRow;
use crate::rows::shard_key;
use backing::{Row, Transaction};
use model::TaskId;

/// One group commit; sent again unchanged until its outcome is known.
#[derive(Debug, Clone)]
pub struct CommitPlan {
    /// The transaction.
    pub txn: Transaction,
    /// The lease row that it writes.
    pub row: ShardRow,
    /// Tasks whose records it carries, with the revision that it carries.
    pub tasks: Vec<(TaskId, u64)>,
    /// Rows that it deletes and that were garbage.
    pub garbage: usize,
}

/// What reading the lease row tells of a commit whose answer was lost.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CommitOutcome {
    /// It took effect; the row has this version.
    Committed(u64),
    /// It has not taken effect yet; send it again.
    Resend,
    /// Another entry owns the shard; it will never take effect.
    Lost,
}

impl CommitPlan {
    /// Settles a commit whose answer was lost, by the lease row as it is now.
    pub fn resolve(&self, shard: u16, row: Option<&Row>) -> CommitOutcome {
        let Some(row) = row.filter(|row| row.key == shard_key(shard)) else {
            return CommitOutcome::Lost;
        };
        let Ok(now) = serde_json::from_str::<ShardRow>(&row.value) else {
            return CommitOutcome::Lost;
        };
        if now.owner != self.row.owner || now.epoch != self.row.epoch {
            return CommitOutcome::Lost;
        }
        if now.sequence == self.row.sequence {
            return CommitOutcome::Committed(row.version);
        }
        if now.sequence + 1 == self.row.sequence {
            CommitOutcome::Resend
        } else {
            CommitOutcome::Lost
        }
    }
}
