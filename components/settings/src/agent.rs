//! Settings of an agent process.

use crate::{DrainSettings, PlatformSettings};
use garde::Validate;
use model::{AgentId, DomainName, Resources};
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// Settings of the agent of a backend server VM (role `agent`).
#[derive(Debug, Clone, Serialize, Deserialize, Validate)]
#[serde(deny_unknown_fields)]
pub struct AgentSettings {
    /// Name of this VM; must be the name that the platform's worker runtime uses.
    #[garde(skip)]
    pub id: AgentId,
    /// Failure domain of this VM.
    #[garde(skip)]
    pub domain: DomainName,
    /// Address on which requests from entries are accepted.
    #[garde(skip)]
    pub listen: SocketAddr,
    /// Address that entries use for requests; `listen` when absent.
    #[serde(default)]
    #[garde(skip)]
    pub advertise: Option<SocketAddr>,
    /// Address for announcements of backend servers on this VM, metrics and health checks.
    #[garde(skip)]
    pub local_listen: SocketAddr,
    /// Address for control RPCs from entries.
    #[garde(skip)]
    pub control_listen: SocketAddr,
    /// Control addresses of the entries to contact first; these report the addresses of others.
    #[garde(length(min = 1))]
    pub entries: Vec<SocketAddr>,
    /// Total resources of the VM.
    #[garde(skip)]
    pub capacity: Resources,
    /// Number of threads that serve requests.
    #[serde(default = "default_threads")]
    #[garde(range(min = 1, max = 64))]
    pub threads: usize,
    /// Time between heartbeats to entries, in milliseconds.
    #[serde(default = "default_heartbeat_ms")]
    #[garde(range(min = 100, max = 5_000))]
    pub heartbeat_ms: u64,
    /// Number of entries that receive heartbeats directly; these pass them on to the others.
    #[serde(default = "default_heartbeat_homes")]
    #[garde(range(min = 1, max = 64))]
    pub heartbeat_homes: usize,
    /// Time without a renewed announcement after which a backend server counts as left, in
    /// milliseconds.
    #[serde(default = "default_announce_ttl_ms")]
    #[garde(range(min = 500, max = 3_000))]
    pub announce_ttl_ms: u64,
    /// Maximum number of requests that may be queued for a slot, per backend server.
    #[serde(default = "default_queue_per_backend")]
    #[garde(range(max = 1_000))]
    pub queue_per_backend: u32,
    /// Length of a batch task's lease in the worker runtime, in milliseconds.
    #[serde(default = "default_task_lease_ms")]
    #[garde(range(min = 1_000, max = 600_000))]
    pub task_lease_ms: u64,
    /// Time for which request records, claims and answers are retained, in milliseconds.
    #[serde(default = "default_record_ttl_ms")]
    #[garde(range(min = 1_000, max = 3_600_000))]
    pub record_ttl_ms: u64,
    /// Memory for retained answers, in bytes.
    #[serde(default = "default_answer_cache_bytes")]
    #[garde(range(max = 1_073_741_824))]
    pub answer_cache_bytes: u64,
    /// Address and timeout of the platform's services.
    #[garde(dive)]
    pub platform: PlatformSettings,
    /// Graceful shutdown.
    #[serde(default)]
    #[garde(dive)]
    pub drain: DrainSettings,
}

fn default_threads() -> usize {
    1
}

fn default_heartbeat_ms() -> u64 {
    1_000
}

fn default_heartbeat_homes() -> usize {
    3
}

fn default_announce_ttl_ms() -> u64 {
    2_500
}

fn default_queue_per_backend() -> u32 {
    1
}

fn default_task_lease_ms() -> u64 {
    10_000
}

fn default_record_ttl_ms() -> u64 {
    600_000
}

fn default_answer_cache_bytes() -> u64 {
    8 << 20
}
