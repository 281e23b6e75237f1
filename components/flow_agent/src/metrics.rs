//! Metrics of the agent of a worker.

use flow::StartOutcome;
use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::histogram::{Histogram, exponential_buckets};
use prometheus_client::registry::Registry;

/// Label of starts.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub(crate) struct OutcomeLabel {
    /// What came of the start.
    pub outcome: String,
}

/// Metrics of the agent of a worker.
#[derive(Debug, Clone)]
pub struct Metrics {
    /// Heartbeats of the worker.
    pub(crate) heartbeats: Counter,
    /// Starts by outcome.
    starts: Family<OutcomeLabel, Counter>,
    /// Time for which the worker held a poll, in seconds.
    pub(crate) hold_seconds: Histogram,
}

impl Default for Metrics {
    fn default() -> Self {
        Self {
            heartbeats: Counter::default(),
            starts: Family::default(),
            hold_seconds: Histogram::new(exponential_buckets(0.000_5, 2.0, 14)),
        }
    }
}

impl Metrics {
    pub(crate) fn start(&self, outcome: StartOutcome) {
        let outcome = outcome.to_string();
        self.starts.get_or_create(&OutcomeLabel { outcome }).inc();
    }

    /// The metrics as text.
    pub fn text(&self) -> String {
        let mut registry = Registry::with_prefix("parsleythread");
        registry.register(
            "worker_heartbeats",
            "Heartbeats of the worker",
            self.heartbeats.clone(),
        );
        registry.register("worker_starts", "Starts by outcome", self.starts.clone());
        registry.register(
            "worker_hold_seconds",
            "Time for which the worker held a poll",
            self.hold_seconds.clone(),
        );
        telemetry::metrics_text(registry)
    }
}
