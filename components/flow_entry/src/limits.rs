//! Limits of the table on transactions, less what a commit contains beside the records.

use crate::leadership::encode;
use flow::{CommitLimits, FlowJob, FlowRow};

/// A flow whose specification is larger than the table accepts in a row.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
#[error("the job takes {bytes} bytes in the store, at most {limit_bytes}")]
pub struct FlowTooLarge {
    /// Bytes that it takes.
    pub bytes: usize,
    /// Most bytes of a row.
    pub limit_bytes: usize,
}

/// Checks that the row of an accepted flow has at most `limit_bytes`.
///
/// # Errors
/// It is larger.
pub(crate) fn check_size(flow: &FlowJob, limit_bytes: usize) -> Result<(), FlowTooLarge> {
    let bytes = encode(&FlowRow::Accepted(flow.clone())).len();
    if bytes > limit_bytes {
        return Err(FlowTooLarge { bytes, limit_bytes });
    }
    Ok(())
}

/// Most conditions, writes and deletions that the table accepts in a transaction.
pub(crate) const MAX_ENTRIES: usize = 100;
/// Entries of a commit beside records: the lease, the condition on it, and a learned row;
/// with a reserve.
const OTHER_ENTRIES: usize = 10;
/// Most bytes of the values and keys in a commit. The table accepts 1 MB in a transaction, in an
/// encoding that makes values larger by a third.
const MAX_COMMIT_BYTES: usize = 700_000;

/// Limits of the records in a commit to a table that accepts values of `row_bytes`.
pub(crate) fn commit_limits(row_bytes: usize) -> CommitLimits {
    CommitLimits {
        rows: MAX_ENTRIES - OTHER_ENTRIES,
        // One more row is reserved for a learned one.
        bytes: MAX_COMMIT_BYTES - row_bytes,
        row_bytes,
    }
}
