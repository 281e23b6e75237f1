//! Metrics of an entry for flows.

use crate::memory::MemoryShares;
use crate::metric_labels::{
    DirectionLabel, EstimateLabel, KindLabel, MemoryUse, OutcomeLabel, OutlookLabel, PriorityLabel,
    QueueLabel,
};
use admission::Backlog;
use flow::{LearnedView, Outlooks, QueueShare};
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::metrics::histogram::{Histogram, exponential_buckets};
use prometheus_client::registry::Registry;
use std::sync::atomic::AtomicU64;

/// Metrics of an entry for flows; clones share their values.
#[derive(Debug, Clone)]
pub struct Metrics {
    /// Submissions by outcome.
    pub(crate) submissions: Family<OutcomeLabel, Counter>,
    /// Flows that were refused because they could not end in time, by priority.
    pub(crate) refusals: Family<PriorityLabel, Counter>,
    /// Time in which the fullest pool does all work that is known, by kind of work, in seconds.
    pub(crate) backlog_seconds: Family<KindLabel, Gauge<f64, AtomicU64>>,
    /// Decisions of the scheduler by kind.
    pub(crate) decisions: Family<OutcomeLabel, Counter>,
    /// Duplicates of slow runs by outcome.
    pub(crate) duplicates: Family<OutcomeLabel, Counter>,
    /// Ordered paces of fillers by direction.
    pub(crate) pace_orders: Family<DirectionLabel, Counter>,
    /// Placed tasks that are faster near their data or their gang, by where they were placed.
    pub(crate) locality_waits: Family<OutcomeLabel, Counter>,
    /// Preemptions of runs by outcome.
    pub(crate) preemptions: Family<OutcomeLabel, Counter>,
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
    /// Evacuations in force, by the scheduler.
    pub(crate) evacuations: Gauge,
    /// Runs on workers of evacuated failure domains, by the scheduler.
    pub(crate) evacuation_runs_left: Gauge,
    /// Time from the request for an evacuation until the domain has no runs, in seconds.
    pub(crate) evacuation_seconds: Histogram,
    /// Flows that have not ended by what they can still achieve, by the scheduler; 0 while the order under
    /// overload is off.
    pub(crate) jobs_by_outlook: Family<OutlookLabel, Gauge>,
    /// Mean part of its pool that a queue used within the window, in percent, by the scheduler; nothing while
    /// queues don't have shares.
    pub(crate) queue_share_percent: Family<QueueLabel, Gauge<f64, AtomicU64>>,
    /// What a queue used beyond its share while others waited, in percent of its share.
    pub(crate) queue_debt_percent: Family<QueueLabel, Gauge<f64, AtomicU64>>,
    /// Longest wait of a queue's flows of which no task has started, in seconds.
    pub(crate) queue_wait_seconds: Family<QueueLabel, Gauge<f64, AtomicU64>>,
    /// Classes of tasks with learned run times, by the scheduler.
    pub(crate) estimate_classes: Gauge,
    /// Mean errors of run times, in percent of the measured ones, by the scheduler.
    pub(crate) estimate_error_percent: Family<EstimateLabel, Gauge>,
    /// Slow workers, by the scheduler.
    pub(crate) workers_slow: Gauge,
    /// Memory that callers set, by kind of use, in bytes.
    pub(crate) memory_bytes: Family<KindLabel, Gauge>,
    /// Limits of this memory, by kind of use, in bytes; that of `flows` holds for all of the scheduler.
    pub(crate) memory_limit_bytes: Family<KindLabel, Gauge>,
    /// Open connections of callers.
    pub(crate) connections: Gauge,
    /// Connections whose answers wait for their callers.
    pub(crate) blocked_connections: Gauge,
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
            refusals: Family::default(),
            backlog_seconds: Family::default(),
            decisions: Family::default(),
            duplicates: Family::default(),
            pace_orders: Family::default(),
            locality_waits: Family::default(),
            preemptions: Family::default(),
            ends: Family::default(),
            commits: Counter::default(),
            is_scheduler: Gauge::default(),
            terms_started: Counter::default(),
            flows: Gauge::default(),
            flows_waiting: Gauge::default(),
            evacuations: Gauge::default(),
            evacuation_runs_left: Gauge::default(),
            evacuation_seconds: Histogram::new(exponential_buckets(0.1, 2.0, 14)),
            jobs_by_outlook: Family::default(),
            queue_share_percent: Family::default(),
            queue_debt_percent: Family::default(),
            queue_wait_seconds: Family::default(),
            estimate_classes: Gauge::default(),
            estimate_error_percent: Family::default(),
            workers_slow: Gauge::default(),
            memory_bytes: Family::default(),
            memory_limit_bytes: Family::default(),
            connections: Gauge::default(),
            blocked_connections: Gauge::default(),
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

    /// Sets the memory in use for one kind, in bytes.
    pub(crate) fn set_memory(&self, kind: MemoryUse, bytes: usize) {
        let label = KindLabel { kind: kind.into() };
        self.memory_bytes.get_or_create(&label).set(bytes as i64);
    }

    /// Sets the numbers of flows by what they can still achieve.
    pub(crate) fn set_outlooks(&self, outlooks: Outlooks) {
        for (outlook, flows) in outlooks.by_name() {
            self.jobs_by_outlook
                .get_or_create(&OutlookLabel { outlook })
                .set(flows as i64);
        }
    }

    /// Sets the use of queues, and removes the labels of queues that are not among them.
    pub(crate) fn set_queue_shares(&self, shares: &[QueueShare]) {
        self.queue_share_percent.clear();
        self.queue_debt_percent.clear();
        self.queue_wait_seconds.clear();
        for share in shares {
            let label = QueueLabel {
                queue: share.queue.clone(),
            };
            self.queue_share_percent
                .get_or_create(&label)
                .set(share.share_percent);
            self.queue_debt_percent
                .get_or_create(&label)
                .set(share.debt_percent);
            self.queue_wait_seconds
                .get_or_create(&label)
                .set(share.wait_ms as f64 / 1_000.0);
        }
    }

    /// Counts a flow that was refused because it could not end in time.
    pub(crate) fn count_refusal(&self, priority: u32) {
        let label = PriorityLabel { priority };
        self.refusals.get_or_create(&label).inc();
    }

    /// Sets the backlog; removes it if it is not known.
    pub(crate) fn set_backlog(&self, backlog: Option<&Backlog>) {
        let Some(backlog) = backlog else {
            self.backlog_seconds.clear();
            return;
        };
        let pools = || backlog.pools.iter();
        let ordinary_ms = pools().filter_map(|pool| pool.ordinary.total_ms()).max();
        let fillers_ms = pools().filter_map(|pool| pool.fillers.total_ms()).max();
        for (kind, time_ms) in [("ordinary", ordinary_ms), ("fillers", fillers_ms)] {
            let seconds = time_ms.unwrap_or(0) as f64 / 1_000.0;
            let label = KindLabel { kind };
            self.backlog_seconds.get_or_create(&label).set(seconds);
        }
    }

    /// Updates the metrics of what the scheduler has learned.
    pub(crate) fn observe_learned(&self, learned: &LearnedView) {
        self.estimate_classes.set(learned.classes as i64);
        self.workers_slow.set(learned.slow_workers as i64);
        let errors = [
            ("learned", learned.errors.learned_percent),
            ("declared", learned.errors.declared_percent),
        ];
        for (source, percent) in errors {
            let label = EstimateLabel { source };
            let gauge = self.estimate_error_percent.get_or_create(&label);
            gauge.set(percent.round() as i64);
        }
    }

    /// Updates the metrics of connections, of the memory for requests, and of the limits.
    pub(crate) fn observe_memory(&self, shares: &MemoryShares) {
        self.connections.set(shares.counters.open() as i64);
        self.blocked_connections
            .set(shares.counters.blocked() as i64);
        self.set_memory(MemoryUse::Requests, shares.requests.used_bytes());
        let limits = [
            (MemoryUse::Requests, shares.requests.limit_bytes()),
            (MemoryUse::Flows, shares.flow_bytes),
        ];
        for (kind, bytes) in limits {
            let label = KindLabel { kind: kind.into() };
            self.memory_limit_bytes
                .get_or_create(&label)
                .set(bytes as i64);
        }
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
            "flow_refusals",
            "Flows that were refused because they could not end in time, by priority",
            self.refusals.clone(),
        );
        registry.register(
            "flow_backlog_seconds",
            "Time in which the fullest pool does all known work, by kind of work",
            self.backlog_seconds.clone(),
        );
        registry.register(
            "flow_decisions",
            "Decisions by kind",
            self.decisions.clone(),
        );
        registry.register(
            "flow_duplicates",
            "Duplicates of slow runs by outcome",
            self.duplicates.clone(),
        );
        registry.register(
            "flow_pace_orders",
            "Ordered paces of fillers by direction",
            self.pace_orders.clone(),
        );
        registry.register(
            "flow_locality_waits",
            "Placed tasks that are faster near their data or their gang, by outcome",
            self.locality_waits.clone(),
        );
        registry.register(
            "flow_preemptions",
            "Preemptions of runs by outcome",
            self.preemptions.clone(),
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
            "flow_evacuations",
            "Evacuations of failure domains in force",
            self.evacuations.clone(),
        );
        registry.register(
            "flow_evacuation_runs_left",
            "Runs on workers of evacuated failure domains",
            self.evacuation_runs_left.clone(),
        );
        registry.register(
            "flow_evacuation_seconds",
            "Time until an evacuated failure domain has no runs",
            self.evacuation_seconds.clone(),
        );
        registry.register(
            "flow_jobs_by_outlook",
            "Flows that are not over, by what they can still achieve",
            self.jobs_by_outlook.clone(),
        );
        registry.register(
            "flow_queue_share_percent",
            "Mean part of its pool that a queue used within the last 10 s, in percent",
            self.queue_share_percent.clone(),
        );
        registry.register(
            "flow_queue_debt_percent",
            "What a queue used beyond its share while others waited, in percent of its share",
            self.queue_debt_percent.clone(),
        );
        registry.register(
            "flow_queue_wait_seconds",
            "Longest wait of a queue's flows of which no task has started",
            self.queue_wait_seconds.clone(),
        );
        registry.register(
            "flow_estimate_classes",
            "Classes of tasks with learned run times",
            self.estimate_classes.clone(),
        );
        registry.register(
            "flow_estimate_error_percent",
            "Mean error of estimated and of declared run times, in percent of the measured ones",
            self.estimate_error_percent.clone(),
        );
        registry.register(
            "flow_workers_slow",
            "Workers that are slow by the progress of their runs",
            self.workers_slow.clone(),
        );
        registry.register(
            "flow_memory_bytes",
            "Memory that callers set, by kind of use",
            self.memory_bytes.clone(),
        );
        registry.register(
            "flow_memory_limit_bytes",
            "Limits of this memory, by kind of use",
            self.memory_limit_bytes.clone(),
        );
        registry.register(
            "flow_connections",
            "Open connections of callers",
            self.connections.clone(),
        );
        registry.register(
            "flow_blocked_connections",
            "Connections whose answers wait for their callers",
            self.blocked_connections.clone(),
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
