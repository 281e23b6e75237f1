//! Retry budget of an entry.

/// Initial and maximum number of tokens. It is above zero so that an entry with little traffic
/// can retry at all.
const MAX_TOKENS: f64 = 20.0;

/// Token bucket for retries that is refilled by successful requests, so that retries never
/// multiply a load peak.
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
    /// Tokens added by one success.
    per_success: f64,
    /// Available tokens; a retry costs one.
    tokens: f64,
}

impl RetryBudget {
    /// Creates a full budget that allows `percent` retries per hundred successes.
    ///
    /// ```
    /// assert!(routing::RetryBudget::new(10).try_spend());
    /// ```
    pub fn new(percent: u32) -> Self {
        Self {
            per_success: f64::from(percent) / 100.0,
            tokens: MAX_TOKENS,
        }
    }

    /// Adds the share of a token that one success earns.
    ///
    /// ```
    /// routing::RetryBudget::new(10).earn();
    /// ```
    pub fn earn(&mut self) {
        self.tokens = (self.tokens + self.per_success).min(MAX_TOKENS);
    }

    /// Takes one token for a retry; returns `false` if there is none.
    ///
    /// ```
    /// assert!(routing::RetryBudget::new(0).try_spend());
    /// ```
    pub fn try_spend(&mut self) -> bool {
        // Sums of fractions can fall just short of a whole token: ten times 0.1 is below 1.0.
        const ROUNDING: f64 = 1e-9;
        if self.tokens + ROUNDING < 1.0 {
            return false;
        }
        self.tokens -= 1.0;
        true
    }
}
