//! Table service of the platform stand-in.

use backing::{Row, ScanRange, StoreError, Transaction};
use std::collections::BTreeMap;

/// Largest number of rows that one transaction may write.
const MAX_ROWS: usize = 100;
/// Largest value of a row, in bytes.
const MAX_ROW_BYTES: usize = 64 << 10;

/// Versioned rows in memory, with transactions and the limits of the table service.
#[derive(Debug, Default)]
pub(crate) struct Table {
    /// Version and value of each row, by key.
    rows: BTreeMap<String, (u64, String)>,
    /// Version given to the rows of the last commit; each commit increases it.
    version: u64,
    /// Commits that took effect.
    pub commits: u64,
    /// Reads and scans that were served.
    pub reads: u64,
}

impl Table {
    /// Applies all writes if every condition holds; returns the version of the new rows.
    ///
    /// # Errors
    /// `Invalid` if the transaction exceeds the limits, `Conflict` if a condition does not hold.
    pub fn commit(&mut self, txn: &Transaction) -> Result<u64, StoreError> {
        let too_large = |value: &String| value.len() > MAX_ROW_BYTES;
        if txn.writes.len() > MAX_ROWS
            || txn
                .writes
                .iter()
                .any(|write| write.value.as_ref().is_some_and(too_large))
        {
            return Err(StoreError::Invalid(
                "the transaction is over the table's limits".to_owned(),
            ));
        }
        for condition in &txn.conditions {
            let version = self.rows.get(&condition.key).map(|(version, _)| *version);
            if version != condition.version {
                return Err(StoreError::Conflict {
                    key: condition.key.clone(),
                });
            }
        }
        self.version += 1;
        self.commits += 1;
        for write in &txn.writes {
            match &write.value {
                Some(value) => {
                    self.rows
                        .insert(write.key.clone(), (self.version, value.clone()));
                }
                None => {
                    self.rows.remove(&write.key);
                }
            }
        }
        Ok(self.version)
    }

    pub fn read(&mut self, keys: &[String]) -> Vec<Row> {
        self.reads += 1;
        keys.iter()
            .filter_map(|key| self.rows.get_key_value(key))
            .map(to_row)
            .collect()
    }

    /// Rows of the range in order of key; `after` is exclusive.
    pub fn scan(&mut self, range: &ScanRange) -> Vec<Row> {
        self.reads += 1;
        let start = range.after.clone().unwrap_or_else(|| range.prefix.clone());
        let after = |key: &String| range.after.as_ref().is_none_or(|after| key > after);
        let rows = self.rows.range(start..).filter(|(key, _)| after(key));
        let rows = rows.take_while(|(key, _)| key.starts_with(&range.prefix));
        rows.take(range.limit).map(to_row).collect()
    }
}

fn to_row((key, (version, value)): (&String, &(u64, String))) -> Row {
    Row {
        key: key.clone(),
        version: *version,
        value: value.clone(),
    }
}
