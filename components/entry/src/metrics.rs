//! Metrics of an entry.

use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::encoding::text::encode;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::metrics::histogram::{Histogram, exponential_buckets};
use prometheus_client::registry::Registry;

/// Label of refusals and failures.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub(crate) struct CodeLabel {
    /// Failure code.
    pub code: String,
    /// Verdict.
    pub verdict: String,
}

/// Metrics of an entry.
#[derive(Debug, Clone)]
pub(crate) struct Metrics {
    /// Requests received.
    pub requests: Counter,
    /// Whole answers passed on.
    pub whole: Counter,
    /// Refusals and failures by code and verdict.
    pub failures: Family<CodeLabel, Counter>,
    /// Requests sent again.
    pub retries: Counter,
    /// Answers fetched on another connection after the first went silent.
    pub recovered: Counter,
    /// Answers that were cut and shown as cut.
    pub cut: Counter,
    /// Requests that wait for a slot.
    pub waiting: Gauge,
    /// Requests in flight.
    pub in_flight: Gauge,
    /// Agents that are alive.
    pub agents: Gauge,
    /// Agents that the entry hears itself.
    pub agents_direct: Gauge,
    /// Bytes of datagrams sent for control, headers included.
    pub datagram_sent_bytes: Counter,
    /// Bytes of datagrams received for control, headers included.
    pub datagram_received_bytes: Counter,
    /// Shards that this entry owns.
    pub shards: Gauge,
    /// Commits to the table.
    pub commits: Counter,
    /// Tasks placed.
    pub placements: Counter,
    /// Whether the table answers.
    pub store_up: Gauge,
    /// Number of the configuration in force.
    pub config_number: Gauge,
    /// Time from a request's arrival to the head of its answer, in seconds.
    pub latency: Histogram,
}

impl Default for Metrics {
    fn default() -> Self {
        Self {
            requests: Counter::default(),
            whole: Counter::default(),
            failures: Family::default(),
            retries: Counter::default(),
            recovered: Counter::default(),
            cut: Counter::default(),
            waiting: Gauge::default(),
            in_flight: Gauge::default(),
            agents: Gauge::default(),
            agents_direct: Gauge::default(),
            datagram_sent_bytes: Counter::default(),
            datagram_received_bytes: Counter::default(),
            shards: Gauge::default(),
            commits: Counter::default(),
            placements: Counter::default(),
            store_up: Gauge::default(),
            config_number: Gauge::default(),
            latency: Histogram::new(exponential_buckets(0.001, 2.0, 16)),
        }
    }
}

impl Metrics {
    /// Counts a refusal or failure.
    pub fn count_failure(&self, failure: &errors::Failure) {
        let label = CodeLabel {
            code: failure.code.to_string(),
            verdict: failure.verdict.to_string(),
        };
        self.failures.get_or_create(&label).inc();
    }

    /// The metrics in the text format of Prometheus.
    pub fn render(&self) -> String {
        let mut registry = Registry::with_prefix("parsleythread_entry");
        registry.register("requests", "Requests received", self.requests.clone());
        registry.register(
            "answers_whole",
            "Whole answers passed on",
            self.whole.clone(),
        );
        registry.register("failures", "Refusals and failures", self.failures.clone());
        registry.register("retries", "Requests sent again", self.retries.clone());
        registry.register(
            "answers_recovered",
            "Answers fetched again",
            self.recovered.clone(),
        );
        registry.register("answers_cut", "Answers shown as cut", self.cut.clone());
        registry.register(
            "requests_waiting",
            "Requests that wait",
            self.waiting.clone(),
        );
        registry.register(
            "requests_in_flight",
            "Requests in flight",
            self.in_flight.clone(),
        );
        registry.register("agents", "Agents that are alive", self.agents.clone());
        registry.register(
            "agents_direct",
            "Agents that the entry hears itself",
            self.agents_direct.clone(),
        );
        registry.register(
            "datagram_sent_bytes",
            "Bytes of datagrams sent for control, headers included",
            self.datagram_sent_bytes.clone(),
        );
        registry.register(
            "datagram_received_bytes",
            "Bytes of datagrams received for control, headers included",
            self.datagram_received_bytes.clone(),
        );
        registry.register("shards", "Shards owned", self.shards.clone());
        registry.register("commits", "Commits to the table", self.commits.clone());
        registry.register("placements", "Tasks placed", self.placements.clone());
        registry.register(
            "store_up",
            "Whether the table answers",
            self.store_up.clone(),
        );
        registry.register(
            "config_number",
            "Configuration in force",
            self.config_number.clone(),
        );
        registry.register("latency_seconds", "Arrival to answer", self.latency.clone());
        let mut text = String::new();
        let _ = encode(&mut text, &registry);
        text
    }
}
