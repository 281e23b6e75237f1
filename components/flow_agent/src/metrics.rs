//! Metrics of the agent of a worker.

use flow::StartOutcome;
use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::histogram::{Histogram, exponential_buckets};
use prometheus_client::registry::Registry;

/// Label by which starts are counted.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub(crate) struct OutcomeLabel {
    /// Outcome of the start, as its `Display` text.
    pub outcome: String,
}

/// Kind of a call to the worker.
#[derive(Debug, Clone, Copy, PartialEq, Eq, strum::Display)]
#[strum(serialize_all = "kebab-case")]
pub(crate) enum CallKind {
    /// Poll with a lease and an acknowledgement.
    Poll,
    /// Start of a run.
    Start,
    /// Stop of a run.
    Stop,
    /// Change of a run's pace.
    Pace,
}

/// Label by which withheld calls are counted.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub(crate) struct CallLabel {
    /// Kind of the call, as its `Display` text.
    pub call: String,
}

/// Metrics of the agent of a worker; clones share their values.
#[derive(Debug, Clone)]
pub struct Metrics {
    /// Heartbeats received from the worker, stale ones included.
    pub(crate) heartbeats: Counter,
    /// Starts that were forwarded to the worker, by outcome.
    starts: Family<OutcomeLabel, Counter>,
    /// Connections that were made to the worker.
    pub(crate) connections: Counter,
    /// Calls that were withheld, as the worker has another incarnation than they were meant for.
    withheld: Family<CallLabel, Counter>,
    /// Time from forwarding a poll to the worker until its answer or failure, in seconds.
    pub(crate) poll_seconds: Histogram,
}

impl Default for Metrics {
    fn default() -> Self {
        Self {
            heartbeats: Counter::default(),
            starts: Family::default(),
            connections: Counter::default(),
            withheld: Family::default(),
            poll_seconds: Histogram::new(exponential_buckets(0.000_5, 2.0, 14)),
        }
    }
}

impl Metrics {
    /// Counts a start that was forwarded to the worker.
    pub(crate) fn count_start(&self, outcome: StartOutcome) {
        let outcome = outcome.to_string();
        self.starts.get_or_create(&OutcomeLabel { outcome }).inc();
    }

    /// Counts a call that was withheld.
    pub(crate) fn count_withheld(&self, kind: CallKind) {
        let call = kind.to_string();
        self.withheld.get_or_create(&CallLabel { call }).inc();
    }

    /// The metrics in the text format of Prometheus.
    pub fn text(&self) -> String {
        let mut registry = Registry::with_prefix("parsleythread");
        registry.register(
            "worker_heartbeats",
            "Heartbeats of the worker",
            self.heartbeats.clone(),
        );
        registry.register("worker_starts", "Starts by outcome", self.starts.clone());
        registry.register(
            "worker_connections",
            "Connections made to the worker",
            self.connections.clone(),
        );
        registry.register(
            "worker_calls_withheld",
            "Calls withheld, as they were meant for another incarnation of the worker",
            self.withheld.clone(),
        );
        registry.register(
            "worker_hold_seconds",
            "Time for which the worker held a poll",
            self.poll_seconds.clone(),
        );
        telemetry::metrics_text(registry)
    }
}
