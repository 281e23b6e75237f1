//! Reads of the table that span several calls.

use crate::rows::{FLOW_PARTS, flow_part_prefix};
use backing::{Row, ScanRange, StoreError, TableStore};

/// Rows in one page of a scan.
const PAGE_ROWS: usize = 500;

/// One row, if it exists.
pub(crate) async fn read_row(table: &dyn TableStore, key: &str) -> Result<Option<Row>, StoreError> {
    let rows = table.read(&[key.to_owned()]).await?;
    Ok(rows.into_iter().next())
}

/// All rows whose keys start with `prefix`.
pub(crate) async fn read_all(table: &dyn TableStore, prefix: &str) -> Result<Vec<Row>, StoreError> {
    let mut rows: Vec<Row> = Vec::new();
    loop {
        let range = ScanRange {
            prefix: prefix.to_owned(),
            after: rows.last().map(|row| row.key.clone()),
            limit: PAGE_ROWS,
        };
        let page = table.scan(&range).await?;
        if page.is_empty() {
            return Ok(rows);
        }
        let is_last = page.len() < PAGE_ROWS;
        rows.extend(page);
        if is_last {
            return Ok(rows);
        }
    }
}

/// All flows and their cancellations.
pub(crate) async fn read_flows(table: &dyn TableStore) -> Result<Vec<Row>, StoreError> {
    let parts = (0..FLOW_PARTS).map(|part| async move {
        let prefix = flow_part_prefix(part);
        read_all(table, &prefix).await
    });
    let parts = futures::future::try_join_all(parts).await?;
    Ok(parts.into_iter().flatten().collect())
}
