//! Reads of single rows and of whole ranges of the table.

use crate::rows::{FLOW_PARTS, flow_part_prefix};
use backing::{Row, ScanRange, StoreError, TableStore};
use std::future::Future;

/// Most rows in one page of a scan.
const PAGE_ROWS: usize = 500;
/// Rows of the first page of flows, whose sizes are not known.
const FIRST_PAGE_ROWS: usize = 16;
/// Size of further pages of flows, in bytes.
const PAGE_BYTES: usize = 512 << 10;

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

/// Reads the rows of all flows and cancellations, all parts concurrently, and passes them on page by
/// page. Ends early if `pass_on` returns false. Returns the number of rows.
pub(crate) async fn read_flow_pages<F: Future<Output = bool>>(
    table: &dyn TableStore,
    pass_on: impl Fn(Vec<Row>) -> F,
) -> Result<usize, StoreError> {
    let parts = (0..FLOW_PARTS).map(|part| {
        let prefix = flow_part_prefix(part);
        read_pages(table, prefix, &pass_on)
    });
    let counts = futures::future::try_join_all(parts).await?;
    Ok(counts.into_iter().sum())
}

/// Reads the rows whose keys start with `prefix`, page by page.
async fn read_pages<F: Future<Output = bool>>(
    table: &dyn TableStore,
    prefix: String,
    pass_on: impl Fn(Vec<Row>) -> F,
) -> Result<usize, StoreError> {
    let (mut after, mut limit, mut count) = (None, FIRST_PAGE_ROWS, 0);
    loop {
        let range = ScanRange {
            prefix: prefix.clone(),
            after,
            limit,
        };
        let page = table.scan(&range).await?;
        let is_last = page.len() < limit;
        count += page.len();
        limit = next_limit(&page);
        after = page.last().map(|row| row.key.clone());
        let goes_on = page.is_empty() || pass_on(page).await;
        if is_last || !goes_on {
            return Ok(count);
        }
    }
}

/// Most rows of the page after this one, so that it has some [`PAGE_BYTES`].
fn next_limit(page: &[Row]) -> usize {
    let bytes: usize = page.iter().map(|row| row.value.len()).sum();
    let row_bytes = (bytes / page.len().max(1)).max(1);
    (PAGE_BYTES / row_bytes).clamp(FIRST_PAGE_ROWS, PAGE_ROWS)
}
