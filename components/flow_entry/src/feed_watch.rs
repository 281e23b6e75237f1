//! Watches the table for flows and cancellations that other entries stored.

use crate::coordinator::Coordinator;
use crate::messages::{ChangedFlow, FlowsChanged, StoreObserved};
use crate::overlapping_reads::{PATIENCE, first_answer};
use crate::reads::read_flows;
use crate::rows::FLOW_PREFIX;
use actix::Addr;
use backing::{Changes, StoreError, TableFeed, TableStore};
use std::rc::Rc;
use std::time::Duration;

/// Longest time that the feed waits for a change.
const WAIT: Duration = Duration::from_millis(1_500);
/// Pause after a failed read.
const RETRY_PAUSE: Duration = Duration::from_millis(250);

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
        let changes = first_answer(
            WAIT + PATIENCE,
            |attempt| read_feed(feed.as_ref(), from, attempt),
            |error| control.do_send(StoreObserved(Err(error))),
        )
        .await;
        let (rows, version) = match changed_rows(table.as_ref(), changes).await {
            Ok(changed) => changed,
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

/// Reads the changes after `from`. Only the first attempt waits for one.
async fn read_feed(feed: &dyn TableFeed, from: u64, attempt: u32) -> Result<Changes, StoreError> {
    let wait = if attempt == 0 { WAIT } else { Duration::ZERO };
    feed.changes(FLOW_PREFIX, from, wait.as_millis() as u64)
        .await
}

/// Changed rows and the version that they lead to. If the feed has dropped changes, reads all rows
/// of flows instead.
async fn changed_rows(
    table: &dyn TableStore,
    changes: Changes,
) -> Result<(Vec<ChangedFlow>, u64), StoreError> {
    match changes {
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
