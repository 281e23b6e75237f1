//! Polls the source of the configuration.

use crate::config_origin::ConfigOrigin;
use crate::config_source::ConfigSource;
use crate::coordinator::Coordinator;
use crate::messages::{NewConfig, StoreObserved};
use crate::metrics::Metrics;
use actix::Addr;
use backing::StoreError;
use std::rc::Rc;
use std::time::Duration;
use telemetry::{Event, log_event};
use utils::boot_ms;

/// Longest wait for a change, in milliseconds. It bounds the age of the configuration if the source
/// silently drops changes.
const WAIT_MS: u64 = 700;
/// Pause before a failed read is retried.
const RETRY_PAUSE: Duration = Duration::from_millis(200);
/// Successful reads after which the whole configuration is read even without a change.
const READS_PER_FULL_READ: u32 = 8;

/// Polls for changes until the process ends, and sends each result to the control thread.
pub(crate) async fn run(
    configs: Rc<dyn ConfigSource>,
    control: Addr<Coordinator>,
    metrics: Metrics,
) {
    let mut cursor = None;
    let mut reads = 0;
    loop {
        let origin = match cursor {
            Some(_) => ConfigOrigin::Feed,
            None => ConfigOrigin::WholeRead,
        };
        let sent_ms = boot_ms();
        let result = configs.next(cursor, WAIT_MS).await;
        let spent_ms = boot_ms().saturating_sub(sent_ms);
        metrics
            .config_read_seconds
            .observe(spent_ms as f64 / 1_000.0);
        match result {
            Ok(update) => {
                reads += 1;
                cursor = (reads % READS_PER_FULL_READ != 0).then_some(update.cursor);
                control.do_send(StoreObserved(Ok(())));
                if let Some(config) = update.config {
                    control.do_send(NewConfig {
                        config,
                        origin,
                        spent_ms,
                    });
                }
            }
            Err(error) => {
                log_failure(origin, spent_ms, &error);
                metrics.config_read_failures.inc();
                cursor = None;
                control.do_send(StoreObserved(Err(error)));
                actix_rt::time::sleep(RETRY_PAUSE).await;
            }
        }
    }
}

/// Logs a failed read; an answer that can't be decoded is an event of its own.
fn log_failure(origin: ConfigOrigin, spent_ms: u64, error: &StoreError) {
    match error {
        StoreError::Invalid(reason) => {
            log_event!(error, Event::ConfigUnreadable, origin = %origin, reason);
        }
        error => {
            log_event!(info, Event::ConfigReadFailed, origin = %origin, spent_ms, reason = %error);
        }
    }
}
