//! Options for a system in one process.

use model::Resources;
use settings::{AgentSettings, EntrySettings, RoutingPolicy};

/// Options for one worker.
#[derive(Debug, Clone)]
pub struct WorkerOptions {
    /// Resources of the worker's VM.
    pub capacity: Resources,
    /// Slots of the worker's backend server; 0 for a worker without one.
    pub slots: u32,
    /// Run time of a request that does not state one, in milliseconds.
    pub work_ms: u64,
}

/// Size, topology and settings of a system in one process.
#[derive(Debug, Clone)]
pub struct ClusterOptions {
    /// Number of entries, spread over the failure domains in turn.
    pub entries: usize,
    /// Workers, each with its own agent, spread over the failure domains in turn.
    pub workers: Vec<WorkerOptions>,
    /// Names of the failure domains; at least one.
    pub domains: Vec<String>,
    /// Service that all backend servers announce.
    pub service: String,
    /// Policy by which entries choose an agent for a request.
    pub policy: RoutingPolicy,
    /// Requests that may be queued at an agent, per backend server.
    pub queue_per_backend: u32,
    /// Adjusts the settings of each entry before it starts.
    pub adjust_entry: fn(&mut EntrySettings),
    /// Adjusts the settings of each agent before it starts.
    pub adjust_agent: fn(&mut AgentSettings),
}

impl Default for ClusterOptions {
    fn default() -> Self {
        let worker = WorkerOptions {
            capacity: Resources::new(16_000, 61_440, 0),
            slots: 8,
            work_ms: 10,
        };
        Self {
            entries: 2,
            workers: vec![worker; 3],
            domains: vec!["a".to_owned(), "b".to_owned(), "c".to_owned()],
            service: "rooms".to_owned(),
            policy: RoutingPolicy::LateBinding,
            queue_per_backend: 1,
            adjust_entry: |_| {},
            adjust_agent: |_| {},
        }
    }
}
