//! Splits the text of a record over rows of the table, and joins it again.

use model::JobId;
use utils::hash64;

/// Bytes of a row reserved for its header: number of rows, hash of the text and separators.
const HEADER_BYTES: usize = 32;
/// Bytes that a row takes in a commit besides its value: its key and the fields around it.
const ROW_OVERHEAD_BYTES: usize = 256;

/// Limits of one commit of records.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CommitLimits {
    /// Most rows that are written or deleted.
    pub rows: usize,
    /// Most bytes of their values and keys together.
    pub bytes: usize,
    /// Most bytes of the value of one row; at least 64.
    pub row_bytes: usize,
}

/// The record of a flow in a group commit.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RecordRows {
    /// The flow.
    pub job: JobId,
    /// Revision of the flow that the record holds.
    pub revision: u64,
    /// Values of the rows that hold the record, by number.
    pub values: Vec<String>,
    /// Number of rows that held the former record; those without a value now are deleted.
    pub former_rows: usize,
}

/// Why rows can't be joined to a record.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum JoinError {
    /// There is no row with the number 0.
    #[error("the first row is missing")]
    NoFirst,
    /// The first row has no valid header.
    #[error("the first row has no valid header")]
    Header,
    /// A row with the given number is missing.
    #[error("row {0} is missing")]
    Missing(usize),
    /// The rows are not of one record.
    #[error("the rows are not of one record")]
    Mixed,
}

impl CommitLimits {
    /// Takes the room that a record needs. Returns false, and takes nothing, if there is too little.
    pub(crate) fn take(&mut self, record: &RecordRows) -> bool {
        let (rows, bytes) = (record.entries(), record.bytes());
        let fits = rows <= self.rows && bytes <= self.bytes;
        if fits {
            self.rows -= rows;
            self.bytes -= bytes;
        }
        fits
    }
}

impl RecordRows {
    /// Number of rows that are written or deleted.
    pub fn entries(&self) -> usize {
        self.values.len().max(self.former_rows)
    }

    /// Bytes of all values and keys, counted with a margin.
    pub fn bytes(&self) -> usize {
        let values: usize = self.values.iter().map(String::len).sum();
        values + self.entries() * ROW_OVERHEAD_BYTES
    }
}

/// Splits the text of a record, which is a JSON object, into values of at most `row_bytes`. A text
/// that fits one row stays as it is. Otherwise the first value begins with a header, by which
/// [`join`] detects missing rows and rows of another record.
///
/// ```
/// let text = format!("{{\"a\":\"{}\"}}", "x".repeat(100));
/// let rows = flow::record_rows::split(&text, 64);
/// assert!(rows.len() > 1 && rows.iter().all(|row| row.len() <= 64));
/// let numbered: Vec<(usize, &str)> = rows.iter().map(String::as_str).enumerate().collect();
/// assert_eq!(flow::record_rows::join(&numbered), Ok(text));
/// ```
pub fn split(text: &str, row_bytes: usize) -> Vec<String> {
    if text.len() <= row_bytes {
        return vec![text.to_owned()];
    }
    let length = row_bytes.saturating_sub(HEADER_BYTES).max(4);
    let mut values = Vec::new();
    let mut rest = text;
    while !rest.is_empty() {
        let (value, after) = rest.split_at(rest.floor_char_boundary(length));
        values.push(value.to_owned());
        rest = after;
    }
    let header = format!("{} {:016x}\n", values.len(), hash64(text));
    values[0].insert_str(0, &header);
    values
}

/// Joins the rows of a record, each given with its number, to the text of the record. Rows beyond
/// those that the first row names are ignored.
///
/// # Errors
/// Rows are missing, or are not of one record.
pub fn join(rows: &[(usize, &str)]) -> Result<String, JoinError> {
    let value = |number: usize| rows.iter().find(|row| row.0 == number).map(|row| row.1);
    let first = value(0).ok_or(JoinError::NoFirst)?;
    if first.starts_with('{') {
        return Ok(first.to_owned());
    }
    let (header, first) = first.split_once('\n').ok_or(JoinError::Header)?;
    let (count, hash) = header.split_once(' ').ok_or(JoinError::Header)?;
    let count: usize = count.parse().map_err(|_| JoinError::Header)?;
    let hash = u64::from_str_radix(hash, 16).map_err(|_| JoinError::Header)?;
    let mut text = first.to_owned();
    for number in 1..count {
        text.push_str(value(number).ok_or(JoinError::Missing(number))?);
    }
    if hash64(&text) != hash {
        return Err(JoinError::Mixed);
    }
    Ok(text)
}
