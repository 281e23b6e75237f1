//! Progress records from the rows that hold them.

use crate::rows::parse_record_key;
use backing::Row;
use flow::FlowRecord;
use flow::record_rows::{JoinError, join};
use model::JobId;
use std::collections::BTreeMap;

/// Why the rows of a record can't be read.
#[derive(Debug, thiserror::Error)]
pub(crate) enum RecordError {
    /// They can't be joined.
    #[error(transparent)]
    Join(#[from] JoinError),
    /// They hold no record.
    #[error(transparent)]
    Json(#[from] serde_json::Error),
}

/// Rows of progress records by flow, each with its number.
pub(crate) fn group_records(rows: &[Row]) -> BTreeMap<JobId, Vec<(usize, &str)>> {
    let mut groups: BTreeMap<JobId, Vec<(usize, &str)>> = BTreeMap::new();
    for row in rows {
        if let Some((job, number)) = parse_record_key(&row.key) {
            let group = groups.entry(job).or_default();
            group.push((number, row.value.as_str()));
        }
    }
    groups
}

/// Record from its rows, each given with its number.
///
/// # Errors
/// Rows are missing, or they hold no record.
pub(crate) fn parse_record(rows: &[(usize, &str)]) -> Result<FlowRecord, RecordError> {
    Ok(serde_json::from_str(&join(rows)?)?)
}
