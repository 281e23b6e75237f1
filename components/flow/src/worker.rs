//! Heartbeats and reports of workers.

use crate::TaskKey;
use model::{DomainName, Resources, ServiceName};
use serde::{Deserialize, Serialize};

/// An incarnation of a worker; a crash or a restart ends it.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Incarnation {
    /// Name of the worker.
    pub worker: String,
    /// Start of the incarnation, in milliseconds since the Unix epoch.
    pub born_ms: u64,
}

/// Contents of a heartbeat of a worker.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct WorkerInfo {
    /// Worker and its incarnation.
    pub incarnation: Incarnation,
    /// Pool that the worker belongs to.
    pub service: ServiceName,
    /// Failure domain of the worker.
    pub domain: DomainName,
    /// Total capacity, whether it is in use or not.
    pub capacity: Resources,
    /// Labels of the worker; the second one is the name of its rack.
    pub labels: Vec<String>,
    /// Whether it accepts no new runs because it is about to leave.
    pub draining: bool,
    /// Least time until it leaves, in milliseconds; `None` unless it is draining.
    pub drain_remaining_ms: Option<u64>,
}

impl WorkerInfo {
    /// Rack of the worker, or `None` if it has no second label.
    ///
    /// ```
    /// # use model::Resources;
    /// # let incarnation = flow::Incarnation { worker: "w".to_owned(), born_ms: 1 };
    /// # let mut info = flow::WorkerInfo { incarnation, service: "s".into(), domain: "d".into(),
    /// #     capacity: Resources::default(), labels: Vec::new(), draining: false,
    /// #     drain_remaining_ms: None };
    /// info.labels = vec!["kind-a".to_owned(), "rack-3".to_owned()];
    /// assert_eq!(info.rack(), Some("rack-3"));
    /// ```
    pub fn rack(&self) -> Option<&str> {
        self.labels.get(1).map(String::as_str)
    }
}

/// A run in progress, as reported by its worker.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RunningTask {
    /// The task.
    pub task: TaskKey,
    /// Number of the run.
    pub run: u32,
    /// Newest checkpoint, if there is one.
    pub checkpoint: Option<String>,
    /// Progress, from 0 to 100. A long-running task reports 100 once it is ready.
    pub percent: u32,
    /// Tail latency in milliseconds for a latency-critical task; processors in use, in thousandths,
    /// for any other.
    pub load: u32,
}

/// How a run ended.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize, strum::Display, strum::EnumString,
)]
#[strum(serialize_all = "kebab-case")]
pub enum RunEnd {
    /// The task succeeded.
    Done,
    /// The run failed; the fault may be the task's or the worker's.
    Failed,
    /// The run was stopped by an order.
    Stopped,
    /// The run ended because the lease of its worker had expired.
    Lapsed,
    /// The run ended because another member of its gang had ended.
    Broken,
    /// The run ended because the other members of its gang did not start in time.
    Alone,
}

/// The end of a run. The worker reports it until it is acknowledged.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct EndedRun {
    /// Number of the end within this incarnation of the worker, rising from one end to the next.
    pub number: u64,
    /// The task.
    pub task: TaskKey,
    /// Number of the run.
    pub run: u32,
    /// How the run ended.
    #[serde(rename = "how")]
    pub outcome: RunEnd,
    /// Newest checkpoint, if there is one.
    pub checkpoint: Option<String>,
}

/// Report of a worker: its runs in progress and its unacknowledged ends.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct WorkerReport {
    /// Start of the worker's incarnation, in milliseconds since the Unix epoch.
    pub born_ms: u64,
    /// Monotonic clock of the worker, in milliseconds.
    pub clock_ms: u64,
    /// Runs in progress.
    pub running: Vec<RunningTask>,
    /// Ends that have not been acknowledged, oldest first.
    pub ended: Vec<EndedRun>,
    /// Whether there are further ends that did not fit into the report.
    pub has_more_ends: bool,
}
