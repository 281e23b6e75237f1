//! Metrics of an entry for flows.

use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::metrics::histogram::{Histogram, exponential_buckets};
use prometheus_client::registry::Registry;

/// Label by which submissions, decisions and ends are counted.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub(crate) struct OutcomeLabel {
    /// Outcome, kind or state, as its `Display` text.
    pub outcome: String,
}

/// Metrics of an entry for flows; clones share their values.
#[derive(Debug, Clone)]
pub struct Metrics {
    /// Submissions by outcome.
    pub(crate) submissions: Family<OutcomeLabel, Counter>,
    /// Decisions of the scheduler by kind.
    pub(crate) decisions: Family<OutcomeLabel, Counter>,
    /// Flows that ended, by state.
    pub(crate) ends: Family<OutcomeLabel, Counter>,
    /// Group commits that took effect.
    pub(crate) commits: Counter,
    /// 1 while this entry is the scheduler, else 0.
    pub(crate) is_scheduler: Gauge,
    /// Times that this entry became the scheduler.
    pub(crate) terms_started: Counter,
    /// Flows that have not ended, by the scheduler; not updated in other entries.
    pub(crate) flows: Gauge,
    /// Flows of which nothing runs although a task could, by the scheduler.
    pub(crate) flows_waiting: Gauge,
    /// Version of the configuration in force.
    pub(crate) config: Gauge,
    /// Time of a read of the configuration, its wait for a change included, in seconds.
    pub(crate) config_read_seconds: Histogram,
    /// Reads of the configuration that failed or were not answered in time.
    pub(crate) config_read_failures: Counter,
    /// Time from a submission's arrival to its answer, in seconds.
    pub(crate) submit_seconds: Histogram,
    /// Time from the first attempt of a group commit until it is known to be durable, in seconds.
    pub(crate) commit_seconds: Histogram,
}

impl Default for Metrics {
    fn default() -> Self {
        let buckets = || Histogram::new(exponential_buckets(0.001, 2.0, 16));
        Self {
            submissions: Family::default(),
            decisions: Family::default(),
            ends: Family::default(),
            commits: Counter::default(),
            is_scheduler: Gauge::default(),
            terms_started: Counter::default(),
            flows: Gauge::default(),
            flows_waiting: Gauge::default(),
            config: Gauge::default(),
            config_read_seconds: buckets(),
            config_read_failures: Counter::default(),
            submit_seconds: buckets(),
            commit_seconds: buckets(),
        }
    }
}

impl Metrics {
    /// Adds one to the counter of `outcome`.
    pub(crate) fn count(family: &Family<OutcomeLabel, Counter>, outcome: &impl ToString) {
        let outcome = outcome.to_string();
        family.get_or_create(&OutcomeLabel { outcome }).inc();
    }

    /// The metrics in the text format of Prometheus.
    pub fn text(&self) -> String {
        let mut registry = Registry::with_prefix("parsleythread");
        registry.register(
            "flow_submissions",
            "Submissions by outcome",
            self.submissions.clone(),
        );
        registry.register(
            "flow_decisions",
            "Decisions by kind",
            self.decisions.clone(),
        );
        registry.register("flow_ends", "Flows that ended, by state", self.ends.clone());
        registry.register("flow_commits", "Group commits", self.commits.clone());
        registry.register(
            "flow_is_scheduler",
            "Whether this entry is the scheduler",
            self.is_scheduler.clone(),
        );
        registry.register(
            "flow_terms",
            "Times that this entry became the scheduler",
            self.terms_started.clone(),
        );
        registry.register("flows", "Flows that are not over", self.flows.clone());
        registry.register(
            "flows_waiting",
            "Flows of which nothing has run for a while although a task could",
            self.flows_waiting.clone(),
        );
        registry.register(
            "flow_config",
            "Number of the configuration in force",
            self.config.clone(),
        );
        registry.register(
            "flow_config_read_seconds",
            "Time of a read of the configuration, its wait for a change included",
            self.config_read_seconds.clone(),
        );
        registry.register(
            "flow_config_read_failures",
            "Reads of the configuration that failed",
            self.config_read_failures.clone(),
        );
        registry.register(
            "flow_submit_seconds",
            "Time of a submission",
            self.submit_seconds.clone(),
        );
        registry.register(
            "flow_commit_seconds",
            "Time of a group commit",
            self.commit_seconds.clone(),
        );
        telemetry::metrics_text(registry)
    }
}
