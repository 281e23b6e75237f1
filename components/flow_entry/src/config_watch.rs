//! Polls the source of the configuration.

use crate::config_source::ConfigSource;
use crate::coordinator::Coordinator;
use crate::messages::{NewConfig, StoreObserved};
use actix::Addr;
use std::rc::Rc;
use std::time::Duration;

/// Longest wait for a change, in milliseconds. It bounds the age of the configuration if the source
/// silently drops changes.
const WAIT_MS: u64 = 700;
/// Pause before a failed read is retried.
const RETRY_PAUSE: Duration = Duration::from_millis(200);
/// Successful reads after which the whole configuration is read even without a change.
const READS_PER_FULL_READ: u32 = 8;

/// Polls for changes until the process ends, and sends each result to the control thread.
pub(crate) async fn run(configs: Rc<dyn ConfigSource>, control: Addr<Coordinator>) {
    let mut cursor = None;
    let mut reads = 0;
    loop {
        let result = configs.next(cursor, WAIT_MS).await;
        match result {
            Ok(update) => {
                reads += 1;
                cursor = (reads % READS_PER_FULL_READ != 0).then_some(update.cursor);
                control.do_send(StoreObserved(Ok(())));
                if let Some(config) = update.config {
                    control.do_send(NewConfig(config));
                }
            }
            Err(error) => {
                cursor = None;
                control.do_send(StoreObserved(Err(error)));
                actix_rt::time::sleep(RETRY_PAUSE).await;
            }
        }
    }
}
