//! Prometheus metrics of an agent.

use prometheus_client::encoding::text::encode;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::registry::Registry;

/// Counters and gauges of an agent; clones share their values.
#[derive(Debug, Default, Clone)]
pub(crate) struct Metrics {
    /// Requests that got a slot at once, without being queued.
    pub admitted: Counter,
    /// Requests that were refused.
    pub refused: Counter,
    /// Requests that ended without a complete answer.
    pub broken: Counter,
    /// Cached answers that were fetched again.
    pub replayed: Counter,
    /// Requests that are running or queued.
    pub in_flight: Gauge,
    /// Batch attempts with resources allocated on the VM.
    pub attempts: Gauge,
    /// Ended attempts whose shard owner has not confirmed the end.
    pub unconfirmed_ends: Gauge,
    /// Number of the configuration in force.
    pub config_number: Gauge,
}

impl Metrics {
    /// Renders the metrics in the text format of Prometheus.
    pub fn render(&self) -> String {
        let mut registry = Registry::with_prefix("parsleythread_agent");
        registry.register(
            "requests_admitted",
            "Requests that got a slot",
            self.admitted.clone(),
        );
        registry.register(
            "requests_refused",
            "Requests that were refused",
            self.refused.clone(),
        );
        registry.register(
            "requests_broken",
            "Requests without a whole answer",
            self.broken.clone(),
        );
        registry.register(
            "answers_replayed",
            "Answers fetched again",
            self.replayed.clone(),
        );
        registry.register(
            "requests_in_flight",
            "Requests that run or wait",
            self.in_flight.clone(),
        );
        registry.register(
            "attempts",
            "Batch attempts on the VM",
            self.attempts.clone(),
        );
        registry.register(
            "unconfirmed_ends",
            "Unconfirmed ends",
            self.unconfirmed_ends.clone(),
        );
        registry.register(
            "config_number",
            "Configuration in force",
            self.config_number.clone(),
        );
        let mut text = String::new();
        let _ = encode(&mut text, &registry);
        text
    }
}
