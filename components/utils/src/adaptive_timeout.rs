//! A call timeout that adapts to the response times of the called process.

use crate::Ewma;

/// Span of the moving average of response times, in answers.
const AVERAGE_SPAN_ANSWERS: f64 = 8.0;
/// Multiple of the average response time after which a call is treated as lost.
const TIMEOUT_FACTOR: f64 = 4.0;

/// Timeout for calls to one process: a multiple of its average response time, doubled for each
/// consecutive call that timed out.
///
/// ```
/// let mut timeout = utils::AdaptiveTimeout::new(600, 3_000);
/// assert_eq!(timeout.timeout_ms(), 600);
/// timeout.on_timeout();
/// assert_eq!(timeout.timeout_ms(), 1_200);
/// timeout.on_answer(5);
/// assert_eq!(timeout.timeout_ms(), 600);
/// ```
#[derive(Debug, Clone)]
pub struct AdaptiveTimeout {
    /// Lower bound of the timeout.
    min_ms: u64,
    /// Upper bound of the timeout.
    max_ms: u64,
    /// Moving average of response times.
    average_answer_ms: Ewma,
    /// Calls that timed out since the last answer.
    consecutive_timeouts: u32,
}

impl AdaptiveTimeout {
    /// Creates a timeout that starts at `min_ms` and never exceeds `max_ms`.
    ///
    /// ```
    /// assert_eq!(utils::AdaptiveTimeout::new(100, 200).timeout_ms(), 100);
    /// ```
    pub fn new(min_ms: u64, max_ms: u64) -> Self {
        Self {
            min_ms,
            max_ms,
            average_answer_ms: Ewma::new(AVERAGE_SPAN_ANSWERS),
            consecutive_timeouts: 0,
        }
    }

    /// Records an answer that took `spent_ms` and ends the doubling.
    ///
    /// ```
    /// let mut timeout = utils::AdaptiveTimeout::new(100, 2_000);
    /// timeout.on_answer(300);
    /// assert_eq!(timeout.timeout_ms(), 1_200);
    /// ```
    pub fn on_answer(&mut self, spent_ms: u64) {
        self.average_answer_ms.add(spent_ms as f64);
        self.consecutive_timeouts = 0;
    }

    /// Records a call that timed out.
    ///
    /// ```
    /// let mut timeout = utils::AdaptiveTimeout::new(100, 150);
    /// timeout.on_timeout();
    /// assert_eq!(timeout.timeout_ms(), 150);
    /// ```
    pub fn on_timeout(&mut self) {
        self.consecutive_timeouts = self.consecutive_timeouts.saturating_add(1);
    }

    /// Returns the timeout for the next call, in milliseconds.
    ///
    /// ```
    /// assert_eq!(utils::AdaptiveTimeout::new(7, 9).timeout_ms(), 7);
    /// ```
    pub fn timeout_ms(&self) -> u64 {
        let usual_ms = self.average_answer_ms.get().unwrap_or(0.0) * TIMEOUT_FACTOR;
        let base_ms = (usual_ms as u64).max(self.min_ms);
        let doubled_ms = base_ms.saturating_mul(1 << self.consecutive_timeouts.min(10));
        doubled_ms.min(self.max_ms)
    }
}
