//! Estimate of the margin that latency-critical tasks would have without fillers.

/// Rate at which the estimate follows its samples, per second. Loads swing within some ten seconds.
const RESPONSE_PER_S: f64 = 2.5;
/// Greatest share of one sample's error that the estimate takes over.
const MAX_GAIN: f64 = 0.6;
/// Longest time over which the trend is extended, in milliseconds.
const MAX_EXTRAPOLATION_MS: u64 = 1_500;
/// Smallest share of the present level that a prediction takes.
const MIN_PREDICTED_SHARE: f64 = 0.3;
/// Time without samples after which the next one replaces the estimate, in milliseconds.
const STALE_MS: u64 = 3_000;

/// Margin without fillers as a level with a trend. The tasks of one step share their load, so that
/// one estimate follows the samples of all of them.
///
/// ```
/// let mut trend = interference::MarginTrend::new(0, 2.0);
/// for step in 1..50 {
///     trend.observe(step * 100, 2.0 - 0.01 * step as f64, 1.0);
/// }
/// let ahead = trend.predict(5_900);
/// assert!((1.3..1.5).contains(&ahead), "{ahead}");
/// ```
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct MarginTrend {
    /// Margin at the last sample.
    level: f64,
    /// Change of the margin per second.
    slope_per_s: f64,
    /// When the last sample was taken, in milliseconds.
    updated_ms: u64,
}

impl MarginTrend {
    /// Estimate after the first sample.
    ///
    /// ```
    /// assert_eq!(interference::MarginTrend::new(0, 3.0).predict(500), 3.0);
    /// ```
    pub fn new(now_ms: u64, margin: f64) -> Self {
        Self {
            level: margin,
            slope_per_s: 0.0,
            updated_ms: now_ms,
        }
    }

    /// Adds a sample. `weight` is at most 1; samples that rest on a large estimated influence of fillers
    /// should weigh less.
    ///
    /// ```
    /// let mut trend = interference::MarginTrend::new(0, 3.0);
    /// trend.observe(10_000, 1.0, 1.0);
    /// assert_eq!(trend.predict(10_000), 1.0);
    /// ```
    pub fn observe(&mut self, now_ms: u64, margin: f64, weight: f64) {
        let span_ms = now_ms.saturating_sub(self.updated_ms);
        if span_ms >= STALE_MS {
            *self = Self::new(now_ms, margin);
            return;
        }
        let span_s = span_ms as f64 / 1_000.0;
        self.level += self.slope_per_s * span_s;
        self.updated_ms = self.updated_ms.max(now_ms);
        let error = margin - self.level;
        let gain = (2.0 * RESPONSE_PER_S * span_s).min(MAX_GAIN) * weight;
        let slope_gain = (RESPONSE_PER_S * RESPONSE_PER_S * span_s).min(MAX_GAIN) * weight;
        self.level += gain * error;
        self.slope_per_s += slope_gain * error;
    }

    /// Expected margin at a time, which may lie before or after the last sample.
    ///
    /// ```
    /// assert_eq!(interference::MarginTrend::new(0, 2.0).predict(60_000), 2.0);
    /// ```
    pub fn predict(&self, at_ms: u64) -> f64 {
        let limit = MAX_EXTRAPOLATION_MS as f64;
        let ahead_ms = (at_ms as f64 - self.updated_ms as f64).clamp(-limit, limit);
        let predicted = self.level + self.slope_per_s * ahead_ms / 1_000.0;
        predicted.max(self.level * MIN_PREDICTED_SHARE)
    }

    /// Least expected margin between two times.
    ///
    /// ```
    /// assert_eq!(interference::MarginTrend::new(0, 2.0).least(0, 1_000), 2.0);
    /// ```
    pub fn least(&self, from_ms: u64, to_ms: u64) -> f64 {
        self.predict(from_ms).min(self.predict(to_ms))
    }
}
