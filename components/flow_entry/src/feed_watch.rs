//! Watches the table for flows and cancellations that other entries stored.

use crate::coordinator::Coordinator;
use crate::messages::{ChangedFlow, FlowsChanged, StoreObserved};
use crate::overlapping_reads::{PATIENCE, first_answer};
use crate::reads::read_flow_pages;
use crate::rows::FLOW_PREFIX;
use actix::Addr;
use backing::{Changes, Row, StoreError, TableFeed, TableStore};
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
        let pass_on = |rows| pass_on(&control, epoch, rows);
        let passed = match changes {
            Changes::Rows { rows, version } => {
                let rows = rows.into_iter().map(|row| (row.key, row.value));
                Ok((pass_on(rows.collect()).await, version))
            }
            // The feed has dropped changes: all rows of flows are read instead.
            Changes::Dropped { version } => {
                let read = read_flow_pages(table.as_ref(), |rows: Vec<Row>| {
                    let rows = rows.into_iter().map(|row| (row.key, Some(row.value)));
                    pass_on(rows.collect())
                });
                read.await.map(|_| (true, version))
            }
        };
        let is_scheduler = match passed {
            Ok((is_scheduler, version)) => {
                from = version;
                is_scheduler
            }
            Err(error) => {
                control.do_send(StoreObserved(Err(error)));
                actix_rt::time::sleep(RETRY_PAUSE).await;
                pass_on(Vec::new()).await
            }
        };
        if !is_scheduler {
            return;
        }
    }
}

/// Sends changed rows to the control thread. Returns whether this entry is still the scheduler.
async fn pass_on(control: &Addr<Coordinator>, epoch: u64, rows: Vec<ChangedFlow>) -> bool {
    let is_scheduler = control.send(FlowsChanged { epoch, rows }).await;
    is_scheduler.unwrap_or(false)
}

/// Reads the changes after `from`. Only the first attempt waits for one.
async fn read_feed(feed: &dyn TableFeed, from: u64, attempt: u32) -> Result<Changes, StoreError> {
    let wait = if attempt == 0 { WAIT } else { Duration::ZERO };
    feed.changes(FLOW_PREFIX, from, wait.as_millis() as u64)
        .await
}
