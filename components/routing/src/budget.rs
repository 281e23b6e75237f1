//! The retry budget.

/// Tokens that an unused budget holds, so that a quiet entry can retry at all.
const RESERVE: f64 = 20.0;

/// Retries that successes have earned, so that retries never multiply a load peak.
///
/// ```
/// let mut budget = routing::RetryBudget::new(10);
/// while budget.try_spend() {}
/// for _ in 0..10 {
///     budget.earn();
/// }
/// assert!(budget.try_spend());
/// assert!(!budget.try_spend());
/// ```
#[derive(Debug, Clone)]
pub struct RetryBudget {
    /// Retries earned by one success.
    per_success: f64,
    /// Retries that may be made now.
    tokens: f64,
}

impl RetryBudget {
    /// A budget of `percent` retries per hundred successes.
    ///
    /// ```
    /// assert!(routing::RetryBudget::new(10).try_spend());
    /// ```
    pub fn new(percent: u32) -> Self {
        Self {
            per_success: f64::from(percent) / 100.0,
            tokens: RESERVE,
        }
    }

    /// Counts a success.
    ///
    /// ```
    /// routing::RetryBudget::new(10).earn();
    /// ```
    pub fn earn(&mut self) {
        self.tokens = (self.tokens + self.per_success).min(RESERVE);
    }

    /// Takes one retry, if there is one.
    ///
    /// ```
    /// assert!(routing::RetryBudget::new(0).try_spend());
    /// ```
    pub fn try_spend(&mut self) -> bool {
        const ROUNDING: f64 = 1e-9;
        if self.tokens + ROUNDING < 1.0 {
            return false;
        }
        self.tokens -= 1.0;
        true
    }
}
