//! A timeout that follows how fast the other side answers.

use crate::Ewma;

/// Answers that the average remembers.
const SPAN: f64 = 8.0;
/// Multiple of the average time of an answer after which a call counts as lost.
const FACTOR: f64 = 4.0;

/// A timeout that follows how fast the other side answers, and doubles while it does not.
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
    /// Shortest timeout.
    least_ms: u64,
    /// Longest timeout.
    most_ms: u64,
    /// Average time of an answer.
    answer_ms: Ewma,
    /// Timeouts since the last answer.
    timeouts: u32,
}

impl AdaptiveTimeout {
    /// A timeout between two bounds, in milliseconds.
    ///
    /// ```
    /// assert_eq!(utils::AdaptiveTimeout::new(100, 200).timeout_ms(), 100);
    /// ```
    pub fn new(least_ms: u64, most_ms: u64) -> Self {
        Self {
            least_ms,
            most_ms,
            answer_ms: Ewma::new(SPAN),
            timeouts: 0,
        }
    }

    /// Takes the time of an answer.
    ///
    /// ```
    /// let mut timeout = utils::AdaptiveTimeout::new(100, 2_000);
    /// timeout.on_answer(300);
    /// assert_eq!(timeout.timeout_ms(), 1_200);
    /// ```
    pub fn on_answer(&mut self, spent_ms: u64) {
        self.answer_ms.add(spent_ms as f64);
        self.timeouts = 0;
    }

    /// Takes a call that was not answered in time.
    ///
    /// ```
    /// let mut timeout = utils::AdaptiveTimeout::new(100, 150);
    /// timeout.on_timeout();
    /// assert_eq!(timeout.timeout_ms(), 150);
    /// ```
    pub fn on_timeout(&mut self) {
        self.timeouts = self.timeouts.saturating_add(1);
    }

    /// The timeout of the next call, in milliseconds.
    ///
    /// ```
    /// assert_eq!(utils::AdaptiveTimeout::new(7, 9).timeout_ms(), 7);
    /// ```
    pub fn timeout_ms(&self) -> u64 {
        let usual_ms = self.answer_ms.get().unwrap_or(0.0) * FACTOR;
        let base_ms = (usual_ms as u64).max(self.least_ms);
        let doubled_ms = base_ms.saturating_mul(1 << self.timeouts.min(10));
        doubled_ms.min(self.most_ms)
    }
}
