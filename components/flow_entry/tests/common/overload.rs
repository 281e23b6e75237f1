//! Flows that an entry refuses, and an entry beside a stand-in for the scheduler that does so.

use super::scheduler::Answers;
use super::{Entry, SlowTable, pause};
use admission::Backlog;
use backing::Transaction;
use flow::{FlowConfig, FlowJob, FlowSpec, Queue, QueueKey, StepSpec};
use flow_entry::Overloaded;
use model::Resources;
use serde_json::json;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};
use wire::SubmitOutcome;

/// Time limit of each call, in milliseconds.
pub const LIMIT_MS: u64 = 1_000;
/// Longest wait for an entry, with room for a busy machine.
const WAIT_LIMIT: Duration = Duration::from_secs(10);

/// A configuration with one queue, in which a flow of a second has an objective of 1.75 s.
pub fn config() -> FlowConfig {
    let queue = Queue {
        key: QueueKey::default(),
        service: "pool".into(),
        priority: 0,
        max_attempts: 3,
        stretch: 1.5,
        latency_target_ms: 250,
    };
    FlowConfig {
        version: 1,
        queues: vec![queue],
        ..FlowConfig::default()
    }
}

/// A backlog of a full pool that takes `wait_ms`.
pub fn backlog(wait_ms: u64) -> Backlog {
    let mut backlog = Backlog::default();
    let kind = &mut backlog.pool_mut("pool").unwrap().ordinary;
    kind.cores_milli = 10_000;
    kind.add_running(0, wait_ms * 10);
    backlog
}

/// A flow of a second of work.
pub fn flow(id: &str) -> FlowJob {
    let step = StepSpec {
        tasks: 2,
        need: Resources::new(500, 64, 0),
        estimate_ms: 1_000,
        ..StepSpec::default()
    };
    FlowJob {
        id: id.into(),
        queue: QueueKey::default(),
        spec: FlowSpec {
            steps: vec![step],
            ..FlowSpec::default()
        },
        accepted_wall_ms: 0,
    }
}

/// Table whose lease belongs to a scheduler at this address.
pub fn table_with_scheduler(control: SocketAddr) -> Rc<SlowTable> {
    slow_table_with_scheduler(control, 5)
}

/// The same with commits that take effect after `commit_ms`.
pub fn slow_table_with_scheduler(control: SocketAddr, commit_ms: u64) -> Rc<SlowTable> {
    let table = super::table(commit_ms);
    let row = json!({ "owner": "stand-in", "incarnation": 1, "control": control, "epoch": 1,
        "sequence": 1, "released": false, "longest_lease_ms": 6_000, "away": [] });
    let txn = Transaction::default().put("lease/scheduler/owner", row.to_string());
    table.rows.commit_now(&txn).unwrap();
    table
}

/// An entry with admission.
pub async fn start(table: &Rc<SlowTable>) -> Entry {
    start_as("a", table).await
}

/// The same with this name.
pub async fn start_as(id: &str, table: &Rc<SlowTable>) -> Entry {
    let is_on = |settings: &mut settings::FlowEntrySettings| settings.policies.admission = true;
    Entry::start_with(id, table, config(), is_on).await
}

/// Submits a flow as a caller does.
pub async fn submit(entry: &Entry, id: &str) -> Result<SubmitOutcome, Overloaded> {
    entry.handle.submit_if_admitted(flow(id), LIMIT_MS).await
}

/// Whether a flow is in the table.
pub fn is_stored(table: &SlowTable, id: &str) -> bool {
    let rows = table.rows.rows("flows/");
    rows.iter().any(|row| row.key.ends_with(id))
}

/// Submits flows with new identifiers until one is refused, and returns its identifier.
pub async fn wait_for_refusal(entry: &Entry) -> (String, Overloaded) {
    let started = Instant::now();
    for number in 0.. {
        let id = format!("{number:016x}");
        if let Err(overloaded) = submit(entry, &id).await {
            return (id, overloaded);
        }
        assert!(started.elapsed() < WAIT_LIMIT, "nothing is refused");
        pause(50).await;
    }
    unreachable!("the loop ends by a refusal or by the limit");
}

/// What a scheduler answers whose pool is full for a minute.
pub fn overloaded() -> Answers {
    Answers::Backlog(backlog(60_000))
}
