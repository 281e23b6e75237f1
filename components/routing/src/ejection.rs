//! Temporary ejection of agents that fail repeatedly.

/// Maximum length of an ejection.
const MAX_EJECT_MS: u64 = 30_000;

/// Consecutive failures of one agent and the ejections that follow from them.
///
/// Each further ejection without a success in between lasts twice as long, up to 30 s. After an
/// ejection the agent is on probation until its first success: one failure ejects it again.
///
/// ```
/// let mut ejection = routing::Ejection::default();
/// for _ in 0..3 {
///     ejection.record_failure(0, 3, 1_000);
/// }
/// assert!(ejection.is_ejected(999));
/// assert!(!ejection.is_ejected(1_000));
/// ```
#[derive(Debug, Clone, Copy, Default)]
pub struct Ejection {
    /// Failures since the last success.
    failures: u32,
    /// Ejections since the last success.
    ejections: u32,
    /// End of the latest ejection; 0 if there was none.
    until_ms: u64,
}

impl Ejection {
    /// Records a failure and returns whether it ejects the agent.
    ///
    /// `limit` is the number of consecutive failures that eject, `first_ms` the length of the
    /// first ejection.
    pub fn record_failure(&mut self, now_ms: u64, limit: u32, first_ms: u64) -> bool {
        self.failures += 1;
        let on_probation = self.ejections > 0;
        if self.is_ejected(now_ms) || (self.failures < limit && !on_probation) {
            return false;
        }
        let length_ms = first_ms
            .saturating_mul(1 << self.ejections.min(16))
            .min(MAX_EJECT_MS);
        self.until_ms = now_ms + length_ms;
        self.ejections += 1;
        true
    }

    /// Records a success. Successes of requests that were sent before an ejection don't end it.
    pub fn record_success(&mut self, now_ms: u64) {
        if !self.is_ejected(now_ms) {
            *self = Self::default();
        }
    }

    /// Whether the agent is ejected and gets no requests at `now_ms`.
    pub fn is_ejected(&self, now_ms: u64) -> bool {
        now_ms < self.until_ms
    }

    /// Whether the last ejection has ended and no request has succeeded since.
    pub fn is_on_probation(&self, now_ms: u64) -> bool {
        self.ejections > 0 && !self.is_ejected(now_ms)
    }
}
