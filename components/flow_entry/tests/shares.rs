//! Metrics of the shares of queues, by an entry that is the scheduler.

mod common;

use common::{Entry, lease, pause};
use flow::{FlowConfig, FlowJob, FlowSpec, Queue, QueueKey, StepSpec};
use settings::{FairShareSettings, FlowEntrySettings};
use std::time::{Duration, Instant};
use wire::SubmitOutcome;

/// Time limit of each call, in milliseconds.
const LIMIT_MS: u64 = 2_000;
/// Longest wait for a metric, which is updated every 3 s, with room for a busy machine.
const WAIT_LIMIT: Duration = Duration::from_secs(12);
/// Metric of the longest wait in the only queue.
const WAIT_METRIC: &str = "parsleythread_flow_queue_wait_seconds{queue=\"a.example/q/\"}";

fn queue() -> Queue {
    Queue {
        key: QueueKey {
            host: "a.example".to_owned(),
            prefix: "/q/".to_owned(),
        },
        service: "pool".into(),
        priority: 0,
        max_attempts: 3,
        stretch: 1.5,
        latency_target_ms: 250,
    }
}

fn flow(id: &str) -> FlowJob {
    let step = StepSpec {
        tasks: 1,
        ..StepSpec::default()
    };
    FlowJob {
        id: id.into(),
        queue: queue().key,
        spec: FlowSpec {
            steps: vec![step],
            ..FlowSpec::default()
        },
        accepted_wall_ms: 0,
    }
}

/// Metrics of an entry with a flow that waits, once they show its wait or after `limit`.
async fn metrics_beside_a_wait(change: fn(&mut FlowEntrySettings), limit: Duration) -> String {
    let table = common::table(5);
    let config = FlowConfig {
        version: 1,
        queues: vec![queue()],
        ..FlowConfig::default()
    };
    let entry = Entry::start_with("a", &table, config, change).await;
    lease(&table).await;
    let outcome = entry.handle.submit(flow("00000000000000aa"), LIMIT_MS);
    assert_eq!(outcome.await, SubmitOutcome::Accepted);
    let started = Instant::now();
    loop {
        let metrics = entry.handle.metrics();
        if metrics.contains(WAIT_METRIC) || started.elapsed() > limit {
            return metrics;
        }
        pause(50).await;
    }
}

/// Guards against a setting that does not reach the scheduler, and against metrics without it.
#[actix_rt::test]
async fn queues_have_metrics_if_the_setting_is_present() {
    let with_shares: fn(&mut FlowEntrySettings) = |settings| {
        settings.policies.fair_shares = Some(FairShareSettings::default());
    };
    let metrics = metrics_beside_a_wait(with_shares, WAIT_LIMIT).await;
    assert!(metrics.contains(WAIT_METRIC), "{metrics}");
    let metrics = metrics_beside_a_wait(|_| (), Duration::from_secs(4)).await;
    assert!(!metrics.contains("flow_queue_wait_seconds{"), "{metrics}");
}
