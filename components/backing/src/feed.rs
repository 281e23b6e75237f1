//! Changes of the table as they happen.

use crate::StoreError;
use async_trait::async_trait;

/// A row that changed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ChangedRow {
    /// Key of the row.
    pub key: String,
    /// New content; absent if the row was deleted.
    pub value: Option<String>,
}

/// Changes since a version.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Changes {
    /// The rows that changed, oldest first, and the version to go on from.
    Rows {
        /// The rows.
        rows: Vec<ChangedRow>,
        /// Version to go on from.
        version: u64,
    },
    /// The table no longer has the changes; everything has to be read anew.
    Dropped {
        /// Version to go on from.
        version: u64,
    },
}

/// Changes of the table as they happen. A hint for speed: what has to be sure is read.
#[async_trait(?Send)]
pub trait TableFeed {
    /// Changes of rows whose keys start with `prefix` since `version`; waits up to `wait_ms` for
    /// the first one.
    async fn changes(
        &self,
        prefix: &str,
        version: u64,
        wait_ms: u64,
    ) -> Result<Changes, StoreError>;
}
