//! Keeps the scheduler up to date about flows that other entries accepted.

use crate::coordinator::Coordinator;
use crate::messages::{FlowsSeen, StoreSeen};
use crate::reads::read_flows;
use crate::rows::FLOW_PREFIX;
use actix::Addr;
use backing::{Changes, StoreError, TableFeed, TableStore};
use std::rc::Rc;
use std::time::Duration;

/// Longest wait for a change, in milliseconds.
const WAIT_MS: u64 = 1_500;
/// Pause after a failure.
const PAUSE: Duration = Duration::from_millis(250);

/// Key and content of a row that changed.
type Changed = (String, Option<String>);

/// Watches from `version` on, as long as the entry is the scheduler of `epoch`.
pub(crate) async fn run(
    feed: Rc<dyn TableFeed>,
    table: Rc<dyn TableStore>,
    control: Addr<Coordinator>,
    epoch: u64,
    version: u64,
) {
    let mut from = version;
    loop {
        let result = next(feed.as_ref(), table.as_ref(), from).await;
        let (rows, version) = match result {
            Ok(changes) => changes,
            Err(error) => {
                control.do_send(StoreSeen(Err(error)));
                actix_rt::time::sleep(PAUSE).await;
                (Vec::new(), from)
            }
        };
        from = version;
        let goes_on = control.send(FlowsSeen { epoch, rows }).await;
        if !goes_on.unwrap_or(false) {
            return;
        }
    }
}

/// The next changes; all rows where the changes were dropped.
async fn next(
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
