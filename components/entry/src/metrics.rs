//! Metrics of an entry, in the Prometheus text format.

use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::encoding::text::encode;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::metrics::histogram::{Histogram, exponential_buckets};
use prometheus_client::registry::Registry;

/// Labels of the failure counter.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub(crate) struct CodeLabel {
    /// Failure code in kebab case.
    pub code: String,
    /// Verdict in kebab case.
    pub verdict: String,
}

/// Metrics of an entry; clones share the same values.
#[derive(Debug, Clone)]
pub(crate) struct Metrics {
    /// Requests received from callers.
    pub requests: Counter,
    /// Complete answers sent to callers.
    pub answers_whole: Counter,
    /// Refused and failed calls by code and verdict.
    pub failures: Family<CodeLabel, Counter>,
    /// Retries submitted.
    pub retries: Counter,
    /// Answers fetched on another connection after the first broke or stalled.
    pub answers_recovered: Counter,
    /// Answers that ended early, with a connection error for the caller.
    pub answers_cut: Counter,
    /// Requests queued for a slot.
    pub queued: Gauge,
    /// Requests sent to agents and not yet ended.
    pub in_flight: Gauge,
    /// Live agents, direct and relayed.
    pub agents: Gauge,
    /// Agents that send heartbeats to this entry.
    pub agents_direct: Gauge,
    /// Bytes of control datagrams sent, headers included.
    pub datagram_sent_bytes: Counter,
    /// Bytes of control datagrams received, headers included.
    pub datagram_received_bytes: Counter,
    /// Shards that this entry owns.
    pub shards: Gauge,
    /// Commits sent to the table, repeats included.
    pub commits: Counter,
    /// Tasks placed on workers.
    pub placements: Counter,
    /// 1 if the last call to the table succeeded, else 0.
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
            answers_whole: Counter::default(),
            failures: Family::default(),
            retries: Counter::default(),
            answers_recovered: Counter::default(),
            answers_cut: Counter::default(),
            queued: Gauge::default(),
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
    /// Counts a refused or failed call under its code and verdict.
    pub fn count_failure(&self, failure: &errors::Failure) {
        let label = CodeLabel {
            code: failure.code.to_string(),
            verdict: failure.verdict.to_string(),
        };
        self.failures.get_or_create(&label).inc();
    }

    /// Renders all metrics in the Prometheus text format.
    pub fn render(&self) -> String {
        let mut registry = Registry::with_prefix("parsleythread_entry");
        registry.register("requests", "Requests received", self.requests.clone());
        registry.register(
            "answers_whole",
            "Whole answers passed on",
            self.answers_whole.clone(),
        );
        registry.register("failures", "Refusals and failures", self.failures.clone());
        registry.register("retries", "Requests sent again", self.retries.clone());
        registry.register(
            "answers_recovered",
            "Answers fetched again",
            self.answers_recovered.clone(),
        );
        registry.register(
            "answers_cut",
            "Answers shown as cut",
            self.answers_cut.clone(),
        );
        registry.register(
            "requests_waiting",
            "Requests that wait",
            self.queued.clone(),
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
