//! Interface of the transactional table service.

use crate::StoreError;
use async_trait::async_trait;
use serde::{Deserialize, Serialize};

/// A row of the table.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Row {
    /// Key of the row, unique in the table.
    pub key: String,
    /// Version of the row, which increases with each write.
    pub version: u64,
    /// Content of the row.
    pub value: String,
}

/// Condition on the version of one row, checked when a transaction commits.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Condition {
    /// Key of the row.
    pub key: String,
    /// Version that the row must have; `None` if the row must not exist.
    pub version: Option<u64>,
}

/// One write or deletion of a transaction.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Write {
    /// Key of the row.
    pub key: String,
    /// New content; `None` to delete the row.
    pub value: Option<String>,
}

/// Writes that take effect atomically, and only if all conditions hold.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Transaction {
    /// Conditions that must all hold.
    pub conditions: Vec<Condition>,
    /// Writes and deletions to apply.
    pub writes: Vec<Write>,
}

impl Transaction {
    /// Adds a condition on a row's version; `None` requires that the row does not exist.
    ///
    /// ```
    /// let txn = backing::Transaction::default().require("a", None).put("a", "1");
    /// assert_eq!(txn.writes.len(), 1);
    /// ```
    pub fn require(mut self, key: impl Into<String>, version: Option<u64>) -> Self {
        self.conditions.push(Condition {
            key: key.into(),
            version,
        });
        self
    }

    /// Adds a write of a row.
    ///
    /// ```
    /// assert_eq!(backing::Transaction::default().put("a", "1").writes[0].key, "a");
    /// ```
    pub fn put(mut self, key: impl Into<String>, value: impl Into<String>) -> Self {
        self.writes.push(Write {
            key: key.into(),
            value: Some(value.into()),
        });
        self
    }

    /// Adds the deletion of a row.
    ///
    /// ```
    /// assert!(backing::Transaction::default().delete("a").writes[0].value.is_none());
    /// ```
    pub fn delete(mut self, key: impl Into<String>) -> Self {
        self.writes.push(Write {
            key: key.into(),
            value: None,
        });
        self
    }
}

/// Arguments for reading rows by key.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct KeyList {
    /// Keys of the rows to read.
    pub keys: Vec<String>,
}

/// Arguments for scanning a range of rows in key order.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ScanRange {
    /// Prefix that keys must have.
    pub prefix: String,
    /// Key after which the scan starts, exclusive; `None` to start at the first key.
    pub after: Option<String>,
    /// Largest number of rows to return.
    pub limit: usize,
}

/// Reads and writes rows of the table in transactions.
#[async_trait(?Send)]
pub trait TableStore {
    /// Commits a transaction and returns the version that its writes were given.
    async fn commit(&self, txn: &Transaction) -> Result<u64, StoreError>;

    /// Reads rows by key from one snapshot; rows that do not exist are left out of the result.
    async fn read(&self, keys: &[String]) -> Result<Vec<Row>, StoreError>;

    /// Reads a range of rows in key order from one snapshot.
    async fn scan(&self, range: &ScanRange) -> Result<Vec<Row>, StoreError>;
}
