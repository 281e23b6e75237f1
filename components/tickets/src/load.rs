//! Reads the configuration from the table.

use crate::rows::{HEAD, Head, SERVICES, TEAMS, decode, ticket_key};
use backing::{Row, ScanRange, StoreError, TableStore};
use model::{Config, ServiceSpec, TeamSpec, Ticket};
use serde::de::DeserializeOwned;

/// Most rows in one page of a scan.
const PAGE_ROWS: usize = 500;
/// Most tickets that [`catch_up`] applies one by one; further behind, it reads the whole
/// configuration.
const MAX_TICKETS_TO_APPLY: u64 = 20;
/// Most attempts to read the whole configuration without a change in between.
const MAX_ATTEMPTS: usize = 10;

/// The row with the number of the newest accepted ticket (the head), and its version.
pub(crate) struct HeadRow {
    /// Content of the row; number 0 before the first ticket.
    pub head: Head,
    /// Version of the row; `None` before the first ticket.
    pub version: Option<u64>,
}

/// Reads the number of the newest accepted ticket.
pub(crate) async fn read_head(table: &dyn TableStore) -> Result<HeadRow, StoreError> {
    let rows = table.read(&[HEAD.to_owned()]).await?;
    match rows.first() {
        None => Ok(HeadRow {
            head: Head::default(),
            version: None,
        }),
        Some(row) => Ok(HeadRow {
            head: decode(row)?,
            version: Some(row.version),
        }),
    }
}

/// Reads the accepted ticket with this number; `None` if there is none.
///
/// # Errors
/// The table can't be read, or the row is unreadable.
pub async fn read_ticket(
    table: &dyn TableStore,
    number: u64,
) -> Result<Option<Ticket>, StoreError> {
    let rows = table.read(&[ticket_key(number)]).await?;
    rows.first().map(decode).transpose()
}

/// Reads the whole configuration as of one ticket. The head is read before and after; the attempt
/// is repeated if it has changed.
///
/// # Errors
/// The table can't be read, a row is unreadable, or the configuration changes during every attempt.
pub async fn load(table: &dyn TableStore) -> Result<Config, StoreError> {
    for _ in 0..MAX_ATTEMPTS {
        let before = read_head(table).await?.head;
        let services: Vec<ServiceSpec> = scan_all(table, SERVICES).await?;
        let teams: Vec<TeamSpec> = scan_all(table, TEAMS).await?;
        let after = read_head(table).await?.head;
        if before == after {
            return Ok(Config {
                number: after.number,
                services: services
                    .into_iter()
                    .map(|spec| (spec.name.clone(), spec))
                    .collect(),
                teams: teams
                    .into_iter()
                    .map(|spec| (spec.name.clone(), spec))
                    .collect(),
            });
        }
    }
    Err(StoreError::Unavailable(
        "the configuration changes too fast to be read".to_owned(),
    ))
}

/// Reads and decodes all rows with this prefix, page by page.
async fn scan_all<T: DeserializeOwned>(
    table: &dyn TableStore,
    prefix: &str,
) -> Result<Vec<T>, StoreError> {
    let mut all = Vec::new();
    let mut after = None;
    loop {
        let range = ScanRange {
            prefix: prefix.to_owned(),
            after,
            limit: PAGE_ROWS,
        };
        let rows: Vec<Row> = table.scan(&range).await?;
        for row in &rows {
            all.push(decode(row)?);
        }
        if rows.len() < PAGE_ROWS {
            return Ok(all);
        }
        after = rows.last().map(|row| row.key.clone());
    }
}

/// Updates a configuration to the newest accepted ticket. Returns whether it changed.
///
/// # Errors
/// The table can't be read, or a row is unreadable. The configuration is then unchanged or newer,
/// never older.
pub async fn catch_up(table: &dyn TableStore, config: &mut Config) -> Result<bool, StoreError> {
    let head = read_head(table).await?.head.number;
    if head <= config.number {
        return Ok(false);
    }
    if head - config.number > MAX_TICKETS_TO_APPLY {
        return Ok(config.advance_to(&load(table).await?));
    }
    let keys: Vec<String> = (config.number + 1..=head).map(ticket_key).collect();
    let rows = table.read(&keys).await?;
    let mut changed = false;
    for row in &rows {
        changed |= config.apply(&decode(row)?);
    }
    if config.number < head {
        changed |= config.advance_to(&load(table).await?);
    }
    Ok(changed)
}
