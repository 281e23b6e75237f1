//! Failures of operations, with their verdicts.

use crate::{Code, Verdict};
use serde::{Deserialize, Serialize};

/// A failed operation: whether it may have run, why it failed, and when to retry.
///
/// ```
/// use errors::{Code, Failure, Verdict};
/// let failure = Failure::not_run(Code::NoCapacity, "no free slot").retry_after(200);
/// assert_eq!(failure.verdict, Verdict::NotRun);
/// assert_eq!(failure.to_string(), "no-capacity (not-run): no free slot");
/// ```
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize, thiserror::Error)]
#[error("{code} ({verdict}): {message}")]
pub struct Failure {
    /// Whether the operation may have run.
    pub verdict: Verdict,
    /// Why it failed, as a stable code.
    pub code: Code,
    /// Details for a human reader; not stable.
    pub message: String,
    /// Delay after which a retry can succeed, in milliseconds; `None` if it is not known.
    pub retry_after_ms: Option<u64>,
}

impl Failure {
    /// Creates a failure without a retry delay.
    ///
    /// ```
    /// use errors::{Code, Failure, Verdict};
    /// let failure = Failure::new(Verdict::Ran, Code::BadAnswer, "short body");
    /// assert_eq!(failure.code, Code::BadAnswer);
    /// ```
    pub fn new(verdict: Verdict, code: Code, message: impl Into<String>) -> Self {
        Self {
            verdict,
            code,
            message: message.into(),
            retry_after_ms: None,
        }
    }

    /// Creates a failure of an operation that is known not to have run.
    ///
    /// ```
    /// use errors::{Code, Failure};
    /// assert!(Failure::not_run(Code::Draining, "leaving").verdict.is_safe_to_retry());
    /// ```
    pub fn not_run(code: Code, message: impl Into<String>) -> Self {
        Self::new(Verdict::NotRun, code, message)
    }

    /// Creates a failure of an operation that may have run.
    ///
    /// ```
    /// use errors::{Code, Failure};
    /// assert!(!Failure::may_have_run(Code::ConnectionLost, "reset").verdict.is_safe_to_retry());
    /// ```
    pub fn may_have_run(code: Code, message: impl Into<String>) -> Self {
        Self::new(Verdict::MayHaveRun, code, message)
    }

    /// Sets the delay after which a retry can succeed, in milliseconds.
    ///
    /// ```
    /// use errors::{Code, Failure};
    /// let failure = Failure::not_run(Code::NoCapacity, "full").retry_after(50);
    /// assert_eq!(failure.retry_after_ms, Some(50));
    /// ```
    pub fn retry_after(mut self, delay_ms: u64) -> Self {
        self.retry_after_ms = Some(delay_ms);
        self
    }
}
