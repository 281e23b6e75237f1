//! Polls the source of the configuration and of the requested evacuations.

use crate::config_origin::ConfigOrigin;
use crate::config_source::{ConfigSource, ConfigUpdate};
use crate::coordinator::Coordinator;
use crate::messages::{ConfigConfirmed, EvacuationsRead, NewConfig, StoreObserved};
use crate::metrics::Metrics;
use crate::overlapping_reads::{PATIENCE, first_answer};
use actix::Addr;
use backing::StoreError;
use std::rc::Rc;
use std::time::Duration;
use telemetry::{Event, log_event};
use utils::boot_ms;

/// Longest wait for a change. It bounds the age of the configuration if the source silently drops
/// changes.
const WAIT: Duration = Duration::from_millis(700);
/// Pause before the next read after a configuration that can't be decoded.
const UNREADABLE_PAUSE: Duration = Duration::from_millis(200);
/// Successful reads after which the whole configuration is read even without a change.
const READS_PER_FULL_READ: u32 = 8;

/// Answer to a read of the configuration.
struct Read {
    /// What was read.
    update: ConfigUpdate,
    /// How it was read.
    origin: ConfigOrigin,
    /// When the read was sent.
    sent_ms: u64,
    /// Time until the answer, in milliseconds.
    spent_ms: u64,
}

/// Polls for changes until the process ends, and sends each result to the control thread.
pub(crate) async fn run(
    configs: Rc<dyn ConfigSource>,
    control: Addr<Coordinator>,
    metrics: Metrics,
) {
    let mut cursor = None;
    let mut reads = 0;
    loop {
        let first_patience = cursor.map_or(PATIENCE, |_| WAIT + PATIENCE);
        let read = first_answer(
            first_patience,
            |attempt| read_once(configs.as_ref(), cursor.filter(|_| attempt == 0), &metrics),
            |error| control.do_send(StoreObserved(Err(error))),
        )
        .await;
        reads += 1;
        control.do_send(StoreObserved(Ok(())));
        let ConfigUpdate {
            config,
            evacuations,
            cursor: next,
        } = read.update;
        control.do_send(EvacuationsRead {
            update: evacuations,
            at_ms: read.sent_ms,
        });
        match config {
            Ok(config) => {
                cursor = (reads % READS_PER_FULL_READ != 0).then_some(next);
                if let Some(config) = config {
                    control.do_send(NewConfig {
                        config,
                        origin: read.origin,
                        spent_ms: read.spent_ms,
                    });
                }
                control.do_send(ConfigConfirmed {
                    at_ms: read.sent_ms,
                });
            }
            Err(error) => {
                metrics.config_read_failures.inc();
                log_failure(read.origin, read.spent_ms, &error);
                control.do_send(StoreObserved(Err(error)));
                cursor = None;
                actix_rt::time::sleep(UNREADABLE_PAUSE).await;
            }
        }
    }
}

/// Reads the change after `cursor`, or the whole configuration without one.
async fn read_once(
    configs: &dyn ConfigSource,
    cursor: Option<u64>,
    metrics: &Metrics,
) -> Result<Read, StoreError> {
    let origin = match cursor {
        Some(_) => ConfigOrigin::Feed,
        None => ConfigOrigin::WholeRead,
    };
    let sent_ms = boot_ms();
    let result = configs.next(cursor, WAIT.as_millis() as u64).await;
    let spent_ms = boot_ms().saturating_sub(sent_ms);
    metrics
        .config_read_seconds
        .observe(spent_ms as f64 / 1_000.0);
    match result {
        Ok(update) => Ok(Read {
            update,
            origin,
            sent_ms,
            spent_ms,
        }),
        Err(error) => {
            metrics.config_read_failures.inc();
            log_failure(origin, spent_ms, &error);
            Err(error)
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
