//! Feed of changes to the table.

use crate::StoreError;
use async_trait::async_trait;

/// A row that was written or deleted.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ChangedRow {
    /// Key of the row.
    pub key: String,
    /// New content; `None` if the row was deleted.
    pub value: Option<String>,
}

/// Changes of the table since a version.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Changes {
    /// All changes since the requested version.
    Rows {
        /// Changed rows, oldest change first.
        rows: Vec<ChangedRow>,
        /// Version to request next.
        version: u64,
    },
    /// The table no longer retains all changes since the requested version; the reader has to read
    /// all rows again.
    Dropped {
        /// Version to request next.
        version: u64,
    },
}

/// Feed of changes to the table. It only shortens the delay until a change is noticed: decisions that
/// must not rest on a stale row read the row itself.
#[async_trait(?Send)]
pub trait TableFeed {
    /// Returns changes since `version` to rows whose keys start with `prefix`, waiting up to
    /// `wait_ms` for the first one.
    async fn changes(
        &self,
        prefix: &str,
        version: u64,
        wait_ms: u64,
    ) -> Result<Changes, StoreError>;
}
