//! Reads of single rows and of whole ranges of the table.

use crate::rows::{FLOW_PARTS, flow_part_prefix};
use backing::{Row, ScanRange, StoreError, TableStore};

/// Most rows in one page of a scan.
const PAGE_ROWS: usize = 500;

/// Reads one row; `None` if it does not exist.
pub(crate) async fn read_row(table: &dyn TableStore, key: &str) -> Result<Option<Row>, StoreError> {
    let rows = table.read(&[key.to_owned()]).await?;
    Ok(rows.into_iter().next())
}

/// Reads all rows whose keys start with `prefix`, page by page.
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

/// Reads the rows of all flows and cancellations, all parts concurrently.
pub(crate) async fn read_flows(table: &dyn TableStore) -> Result<Vec<Row>, StoreError> {
    let parts = (0..FLOW_PARTS).map(|part| async move {
        let prefix = flow_part_prefix(part);
        read_all(table, &prefix).await
    });
    let parts = futures::future::try_join_all(parts).await?;
    Ok(parts.into_iter().flatten().collect())
}
