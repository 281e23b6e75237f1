//! Ejection of agents that fail everything.

/// Longest ejection.
const MAX_EJECT_MS: u64 = 30_000;

/// Failures in a row of one agent, and the ejection that follows from them.
///
/// ```
/// let mut ejection = routing::Ejection::default();
/// for _ in 0..3 {
///     ejection.failed(0, 3, 1_000);
/// }
/// assert!(ejection.is_out(999));
/// assert!(!ejection.is_out(1_000));
/// ```
#[derive(Debug, Clone, Copy, Default)]
pub struct Ejection {
    /// Failures since the last success.
    failures: u32,
    /// Ejections since the last success.
    ejections: u32,
    /// End of the present ejection.
    until_ms: u64,
}

impl Ejection {
    /// Counts a failure; answers whether it ejected the agent.
    pub fn failed(&mut self, now_ms: u64, limit: u32, first_ms: u64) -> bool {
        self.failures += 1;
        let on_trial = self.ejections > 0;
        if self.is_out(now_ms) || (self.failures < limit && !on_trial) {
            return false;
        }
        let length_ms = first_ms
            .saturating_mul(1 << self.ejections.min(16))
            .min(MAX_EJECT_MS);
        self.until_ms = now_ms + length_ms;
        self.ejections += 1;
        true
    }

    /// Counts a success.
    pub fn succeeded(&mut self, now_ms: u64) {
        if !self.is_out(now_ms) {
            *self = Self::default();
        }
    }

    /// Whether the agent gets no work now.
    pub fn is_out(&self, now_ms: u64) -> bool {
        now_ms < self.until_ms
    }

    /// Whether the agent is back after an ejection and has not succeeded since.
    pub fn is_on_trial(&self, now_ms: u64) -> bool {
        self.ejections > 0 && !self.is_out(now_ms)
    }
}
