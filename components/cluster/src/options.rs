//! What a system in one process is made of.

use model::Resources;
use settings::{AgentSettings, EntrySettings, RoutingPolicy};

/// One worker.
#[derive(Debug, Clone)]
pub struct WorkerOptions {
    /// What the VM has.
    pub capacity: Resources,
    /// Slots of its backend server; none without one.
    pub slots: u32,
    /// Run time of a request that names none, in milliseconds.
    pub work_ms: u64,
}

/// What a system in one process is made of.
#[derive(Debug, Clone)]
pub struct ClusterOptions {
    /// Number of entries.
    pub entries: usize,
    /// Workers, each with an agent; spread over the failure domains in turn.
    pub workers: Vec<WorkerOptions>,
    /// Names of the failure domains.
    pub domains: Vec<String>,
    /// Service that the backend servers announce.
    pub service: String,
    /// Choice of the agent.
    pub policy: RoutingPolicy,
    /// Requests that may wait at an agent, per backend server.
    pub queue_per_backend: u32,
    /// Changes each entry's settings before it starts.
    pub adjust_entry: fn(&mut EntrySettings),
    /// Changes each agent's settings before it starts.
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
