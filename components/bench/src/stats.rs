//! Percentiles of latencies.

use hdrhistogram::Histogram;

/// Largest recorded value, one hour; greater ones count as this.
const MAX_RECORDED_US: u64 = 3_600_000_000;
/// Microseconds in a millisecond.
const US_PER_MS: f64 = 1_000.0;

/// Percentile of durations in milliseconds, at three significant digits; 0 for no values.
pub fn percentile_ms(values_ms: impl Iterator<Item = f64>, percent: f64) -> f64 {
    let mut histogram =
        Histogram::<u64>::new_with_bounds(1, MAX_RECORDED_US, 3).expect("the bounds are allowed");
    for value_ms in values_ms {
        histogram.saturating_record((value_ms.max(0.0) * US_PER_MS) as u64);
    }
    histogram.value_at_percentile(percent) as f64 / US_PER_MS
}
