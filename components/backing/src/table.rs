//! The transactional table service.

use crate::StoreError;
use async_trait::async_trait;
use serde::{Deserialize, Serialize};

/// A row of the table.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Row {
    /// Key, unique in the table.
    pub key: String,
    /// Version, which grows with each write of the row.
    pub version: u64,
    /// Content.
    pub value: String,
}

/// What must hold of one row for a transaction to take effect.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Condition {
    /// Key of the row.
    pub key: String,
    /// The version that the row must have; absent if the row must not exist.
    pub version: Option<u64>,
}

/// One write of a transaction.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Write {
    /// Key of the row.
    pub key: String,
    /// New content; absent to delete the row.
    pub value: Option<String>,
}

/// Writes that take effect together, and only if all conditions hold.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Transaction {
    /// What must hold.
    pub conditions: Vec<Condition>,
    /// What to write.
    pub writes: Vec<Write>,
}

impl Transaction {
    /// Adds a condition on a row's version; absent if the row must not exist.
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

    /// Adds a write.
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

    /// Adds a deletion.
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

/// Keys to read.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct KeyList {
    /// The keys.
    pub keys: Vec<String>,
}

/// A range of keys to scan.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ScanRange {
    /// What each key starts with.
    pub prefix: String,
    /// Only keys above this one.
    pub after: Option<String>,
    /// Most rows to return.
    pub limit: usize,
}

/// The transactional table service.
#[async_trait(?Send)]
pub trait TableStore {
    /// Commits a transaction and returns the version that its writes got.
    async fn commit(&self, txn: &Transaction) -> Result<u64, StoreError>;

    /// Reads rows by key, as one snapshot; a missing row is absent from the result.
    async fn read(&self, keys: &[String]) -> Result<Vec<Row>, StoreError>;

    /// Reads rows in order of keys, as one snapshot.
    async fn scan(&self, range: &ScanRange) -> Result<Vec<Row>, StoreError>;
}
