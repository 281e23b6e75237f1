//! Exponential backoff with full jitter.

use rand::RngExt;

/// Delay between tries that doubles up to a limit, with full jitter.
///
/// ```
/// let mut backoff = utils::Backoff::new(10, 1_000);
/// let mut rng = rand::rng();
/// for _ in 0..20 {
///     assert!(backoff.next_delay_ms(&mut rng) <= 1_000);
/// }
/// ```
#[derive(Debug, Clone)]
pub struct Backoff {
    /// Upper end of the first delay.
    first_ms: u64,
    /// Upper end of every delay.
    limit_ms: u64,
    /// Failures since the last success.
    failures: u32,
}

impl Backoff {
    /// A backoff whose delays grow from `first_ms` to `limit_ms`.
    ///
    /// ```
    /// let _ = utils::Backoff::new(10, 1_000);
    /// ```
    pub fn new(first_ms: u64, limit_ms: u64) -> Self {
        Self {
            first_ms,
            limit_ms,
            failures: 0,
        }
    }

    /// Counts a failure and returns how long to wait, in milliseconds.
    ///
    /// ```
    /// assert!(utils::Backoff::new(8, 8).next_delay_ms(&mut rand::rng()) <= 8);
    /// ```
    pub fn next_delay_ms(&mut self, rng: &mut impl RngExt) -> u64 {
        let ceiling_ms = self
            .first_ms
            .saturating_mul(1 << self.failures.min(20))
            .min(self.limit_ms);
        self.failures = self.failures.saturating_add(1);
        rng.random_range(ceiling_ms / 2..=ceiling_ms)
    }

    /// Counts a success.
    ///
    /// ```
    /// utils::Backoff::new(8, 8).reset();
    /// ```
    pub fn reset(&mut self) {
        self.failures = 0;
    }
}
