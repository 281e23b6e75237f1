//! Availability of the table, as seen by this entry.

use backing::StoreError;
use telemetry::{Event, log_event};

/// Time since the first failed call after which the table counts as unavailable, in milliseconds.
const UNAVAILABLE_AFTER_MS: u64 = 400;
/// Time after a call without an answer for which writes may still be on their way, in milliseconds. An entry
/// repeats a write for as long as its caller waits, which is 3 s unless the caller states another time.
const LOST_ANSWER_MS: u64 = 3_000;

/// Availability of the table, from the results of the calls to it.
#[derive(Debug, Default)]
pub(crate) struct StoreHealth {
    /// When the table last answered; 0 if it never did.
    answered_ms: u64,
    /// When the first call after that failed; absent while the table answers.
    failed_ms: Option<u64>,
    /// Whether the current outage is logged.
    is_logged: bool,
    /// When a call was last known to have no answer; `None` if each had one.
    lost_ms: Option<u64>,
}

impl StoreHealth {
    /// Records the result of a call. Errors other than an outage count as answers.
    pub fn observe<T>(&mut self, now_ms: u64, result: &Result<T, StoreError>) {
        if result.as_ref().is_err_and(StoreError::is_ambiguous) {
            self.note_lost_answer(now_ms);
        }
        match result {
            Err(error) if error.is_outage() => self.failed(now_ms, error),
            Ok(_) | Err(_) => self.answered(now_ms),
        }
    }

    fn answered(&mut self, now_ms: u64) {
        if self.is_logged {
            let outage_ms = self
                .failed_ms
                .map_or(0, |since_ms| now_ms.saturating_sub(since_ms));
            log_event!(info, Event::StoreUp, away_ms = outage_ms);
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

    /// Whether the table counts as unavailable, so that calls are likely to fail.
    pub fn is_unavailable(&self, now_ms: u64) -> bool {
        self.failed_ms
            .is_some_and(|since_ms| now_ms.saturating_sub(since_ms) >= UNAVAILABLE_AFTER_MS)
    }

    /// Records that a call got no answer, without any other effect.
    pub fn note_lost_answer(&mut self, now_ms: u64) {
        self.lost_ms = Some(now_ms);
    }

    /// Whether a call lately got no answer, so that a write whose sender waits for its answer, here or at
    /// another entry, may take effect later than a read that is answered now.
    pub fn has_lost_answers(&self, now_ms: u64) -> bool {
        self.lost_ms
            .is_some_and(|lost_ms| now_ms < lost_ms.saturating_add(LOST_ANSWER_MS))
    }

    /// When the table last answered; 0 if it never did.
    pub fn answered_ms(&self) -> u64 {
        self.answered_ms
    }
}
