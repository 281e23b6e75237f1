//! Settings of an entry process.

use crate::{BatchSettings, DrainSettings, PlatformSettings, RoutingSettings};
use garde::Validate;
use model::{DomainName, EntryId};
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// Settings of an entry that routes requests and schedules batch jobs (role `entry`).
#[derive(Debug, Clone, Serialize, Deserialize, Validate)]
#[serde(deny_unknown_fields)]
pub struct EntrySettings {
    /// Name of this entry, unique among the user's processes.
    #[garde(skip)]
    pub id: EntryId,
    /// Failure domain of this VM.
    #[garde(skip)]
    pub domain: DomainName,
    /// Address on which callers' requests are accepted.
    #[garde(skip)]
    pub listen: SocketAddr,
    /// Address of the admin interface, metrics and health checks.
    #[garde(skip)]
    pub admin_listen: SocketAddr,
    /// Address for control RPCs from agents and other entries.
    #[garde(skip)]
    pub control_listen: SocketAddr,
    /// Bearer token that admin calls must carry.
    #[garde(length(min = 8))]
    pub admin_token: String,
    /// Control addresses of the other entries.
    #[serde(default)]
    #[garde(skip)]
    pub peers: Vec<SocketAddr>,
    /// Number of threads that serve requests.
    #[serde(default = "default_threads")]
    #[garde(range(min = 1, max = 64))]
    pub threads: usize,
    /// Maximum number of open caller connections per thread.
    #[serde(default = "default_connections")]
    #[garde(range(min = 1, max = 100_000))]
    pub max_connections: usize,
    /// Memory for request bodies that are buffered until they are forwarded, in bytes.
    #[serde(default = "default_held_body_bytes")]
    #[garde(range(min = 1_048_576, max = 4_294_967_296))]
    pub held_body_bytes: u64,
    /// Share of requests to trace when the caller sends no trace context, from 0 to 1.
    #[serde(default = "default_trace_ratio")]
    #[garde(range(min = 0.0, max = 1.0))]
    pub trace_ratio: f64,
    /// Address and timeout of the platform's services.
    #[garde(dive)]
    pub platform: PlatformSettings,
    /// Request routing.
    #[serde(default)]
    #[garde(dive)]
    pub routing: RoutingSettings,
    /// Batch scheduling.
    #[serde(default)]
    #[garde(dive)]
    pub batch: BatchSettings,
    /// Graceful shutdown.
    #[serde(default)]
    #[garde(dive)]
    pub drain: DrainSettings,
}

fn default_threads() -> usize {
    2
}

fn default_connections() -> usize {
    2_000
}

fn default_held_body_bytes() -> u64 {
    64 << 20
}

fn default_trace_ratio() -> f64 {
    0.01
}
