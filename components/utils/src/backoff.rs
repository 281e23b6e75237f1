//! Exponential backoff with jitter.

use rand::RngExt;

/// Delays between retries. The ceiling doubles with each failure up to a limit; each delay is drawn
/// at random from the upper half of the current ceiling.
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
    /// Ceiling of the first delay.
    first_ms: u64,
    /// Ceiling of every delay.
    limit_ms: u64,
    /// Failures since the last success.
    failures: u32,
}

impl Backoff {
    /// Creates a backoff whose ceiling grows from `first_ms` to `limit_ms`.
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

    /// Records a failure and returns the delay before the next try, in milliseconds.
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

    /// Records a success, so that the next delay starts from the first ceiling again.
    ///
    /// ```
    /// utils::Backoff::new(8, 8).reset();
    /// ```
    pub fn reset(&mut self) {
        self.failures = 0;
    }
}
