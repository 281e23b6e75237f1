//! Watches the table for flows and cancellations that other entries stored.

use crate::coordinator::Coordinator;
use crate::messages::{FlowsChanged, StoreObserved};
use crate::reads::read_flows;
use crate::rows::FLOW_PREFIX;
use actix::Addr;
use backing::{Changes, StoreError, TableFeed, TableStore};
use std::rc::Rc;
use std::time::Duration;

/// Longest time that the feed waits for a change, in milliseconds.
const WAIT_MS: u64 = 1_500;
/// Pause after a failed read.
const RETRY_PAUSE: Duration = Duration::from_millis(250);

/// Key and value of a changed row; the value is `None` for a deleted row.
type Changed = (String, Option<String>);

/// Sends changes after `version` to the control thread, as long as this entry is the scheduler of
/// `epoch`.
pub(crate) async fn run(
    feed: Rc<dyn TableFeed>,
    table: Rc<dyn TableStore>,
    control: Addr<Coordinator>,
    epoch: u64,
    version: u64,
) {
    let mut from = version;
    loop {
        let result = next_changes(feed.as_ref(), table.as_ref(), from).await;
        let (rows, version) = match result {
            Ok(changes) => changes,
            Err(error) => {
                control.do_send(StoreObserved(Err(error)));
                actix_rt::time::sleep(RETRY_PAUSE).await;
                (Vec::new(), from)
            }
        };
        from = version;
        let is_scheduler = control.send(FlowsChanged { epoch, rows }).await;
        if !is_scheduler.unwrap_or(false) {
            return;
        }
    }
}

/// Reads the changes after `from` and the version that they lead to. If the feed has dropped
/// changes, reads all rows of flows instead.
async fn next_changes(
    feed: &dyn TableFeed,
    table: &dyn TableStore,
    from: u64,
) -> Result<(Vec<Changed>, u64), StoreError> {
    match feed.changes(FLOW_PREFIX, from, WAIT_MS).await? {
        Changes::Rows { rows, version } => {
            let rows = rows.into_iter().map(|row| (row.key, row.value)).collect();
            Ok((rows, version))
        }
        Changes::Dropped { version } => {
            let rows = read_flows(table).await?;
            let rows = rows.into_iter().map(|row| (row.key, Some(row.value)));
            Ok((rows.collect(), version))
        }
    }
}
