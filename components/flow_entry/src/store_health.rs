//! Whether the table answers this entry.

use backing::StoreError;
use telemetry::{Event, log_event};

/// Time without an answer after which the table counts as away, in milliseconds.
const AWAY_AFTER_MS: u64 = 400;

/// Whether the table answers this entry.
#[derive(Debug, Default)]
pub(crate) struct StoreHealth {
    /// When it last answered.
    answered_ms: u64,
    /// When the first call since then failed.
    failed_ms: Option<u64>,
    /// Whether its loss was logged.
    is_logged: bool,
}

impl StoreHealth {
    /// Takes what came of a call.
    pub fn observe<T>(&mut self, now_ms: u64, result: &Result<T, StoreError>) {
        match result {
            Err(error) if error.is_outage() => self.failed(now_ms, error),
            Ok(_) | Err(_) => self.answered(now_ms),
        }
    }

    fn answered(&mut self, now_ms: u64) {
        if self.is_logged {
            let away_ms = self
                .failed_ms
                .map_or(0, |since_ms| now_ms.saturating_sub(since_ms));
            log_event!(info, Event::StoreUp, away_ms);
        }
        self.answered_ms = now_ms;
        self.failed_ms = None;
        self.is_logged = false;
    }

    fn failed(&mut self, now_ms: u64, error: &StoreError) {
        self.failed_ms.get_or_insert(now_ms);
        if !self.is_logged {
            log_event!(warn, Event::StoreDown, reason = %error);
            self.is_logged = true;
        }
    }

    /// Whether calls are likely to fail.
    pub fn is_away(&self, now_ms: u64) -> bool {
        self.failed_ms
            .is_some_and(|since_ms| now_ms.saturating_sub(since_ms) >= AWAY_AFTER_MS)
    }

    /// When the table last answered.
    pub fn answered_ms(&self) -> u64 {
        self.answered_ms
    }
}
