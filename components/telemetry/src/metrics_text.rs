//! Encodes metrics in the OpenMetrics text format.

use crate::dropped_lines;
use prometheus_client::encoding::text::encode;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::registry::Registry;

/// Encodes `registry` in the OpenMetrics text format, after adding the metrics of the log.
///
/// ```
/// let registry = prometheus_client::registry::Registry::with_prefix("parsleythread");
/// assert!(telemetry::metrics_text(registry).contains("parsleythread_log_lines_dropped 0"));
/// ```
pub fn metrics_text(mut registry: Registry) -> String {
    let dropped: Gauge = Gauge::default();
    dropped.set(dropped_lines() as i64);
    registry.register(
        "log_lines_dropped",
        "Lines of the log that found no room",
        dropped,
    );
    let mut text = String::new();
    // Writing to a string can't fail.
    let _ = encode(&mut text, &registry);
    text
}
