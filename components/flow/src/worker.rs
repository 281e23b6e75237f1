//! What a worker tells of itself.

use crate::TaskKey;
use model::{DomainName, Resources, ServiceName};
use serde::{Deserialize, Serialize};

/// One life of a worker; it ends with a crash or a restart.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Incarnation {
    /// Name of the worker.
    pub worker: String,
    /// When this life began, in milliseconds since the Unix epoch.
    pub born_ms: u64,
}

/// What a worker says of itself in its heartbeats.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct WorkerInfo {
    /// Which life of which worker.
    pub incarnation: Incarnation,
    /// Pool to which it belongs.
    pub service: ServiceName,
    /// Its failure domain.
    pub domain: DomainName,
    /// What it has.
    pub capacity: Resources,
    /// Its labels; the second one names its rack.
    pub labels: Vec<String>,
    /// Whether it takes no new work because it is about to leave.
    pub draining: bool,
    /// While draining, the least time until it leaves, in milliseconds.
    pub drain_remaining_ms: Option<u64>,
}

impl WorkerInfo {
    /// Rack in which the worker stands.
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

/// A run that a worker has.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RunningTask {
    /// The task.
    pub task: TaskKey,
    /// Number of the run.
    pub run: u32,
    /// Newest checkpoint, if there is one.
    pub checkpoint: Option<String>,
    /// Progress, from 0 to 100.
    pub percent: u32,
    /// Tail latency in milliseconds of a task that serves, processors in use of others.
    pub load: u32,
}

/// How a run ended.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize, strum::Display, strum::EnumString,
)]
#[strum(serialize_all = "kebab-case")]
pub enum RunEnd {
    /// It succeeded.
    Done,
    /// It failed, through its own fault or the worker's.
    Failed,
    /// It was stopped on request.
    Stopped,
    /// Its lease expired.
    Lapsed,
    /// Another member of its gang ended.
    Broken,
    /// The rest of its gang did not come in time.
    Alone,
}

/// A run that ended and whose end has not been acknowledged.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct EndedRun {
    /// Number of the end in this life of the worker.
    pub number: u64,
    /// The task.
    pub task: TaskKey,
    /// Number of the run.
    pub run: u32,
    /// How it ended.
    pub how: RunEnd,
    /// Newest checkpoint, if there is one.
    pub checkpoint: Option<String>,
}

/// Everything that a worker runs or has to report.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct WorkerReport {
    /// When this life of the worker began, in milliseconds since the Unix epoch.
    pub born_ms: u64,
    /// The worker's own steady clock.
    pub clock_ms: u64,
    /// Runs that it has.
    pub running: Vec<RunningTask>,
    /// Ends that were not acknowledged, oldest first.
    pub ended: Vec<EndedRun>,
    /// Whether there are more ends than the report holds.
    pub has_more_ends: bool,
}
