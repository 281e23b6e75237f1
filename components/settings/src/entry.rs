//! Settings of an entry.

use crate::{BatchSettings, DrainSettings, PlatformSettings, RoutingSettings};
use garde::Validate;
use model::{DomainName, EntryId};
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// Settings of an entry process.
#[derive(Debug, Clone, Serialize, Deserialize, Validate)]
#[serde(deny_unknown_fields)]
pub struct EntrySettings {
    /// Name of this entry, unique among the user's processes.
    #[garde(skip)]
    pub id: EntryId,
    /// Failure domain of this VM.
    #[garde(skip)]
    pub domain: DomainName,
    /// Address for callers.
    #[garde(skip)]
    pub listen: SocketAddr,
    /// Address for operators, metrics and health checks.
    #[garde(skip)]
    pub admin_listen: SocketAddr,
    /// Address for agents and other entries.
    #[garde(skip)]
    pub control_listen: SocketAddr,
    /// Token that admin calls carry.
    #[garde(length(min = 8))]
    pub admin_token: String,
    /// Control addresses of the other entries.
    #[serde(default)]
    #[garde(skip)]
    pub peers: Vec<SocketAddr>,
    /// Threads for traffic.
    #[serde(default = "default_threads")]
    #[garde(range(min = 1, max = 64))]
    pub threads: usize,
    /// Most caller connections that each traffic thread holds.
    #[serde(default = "default_connections")]
    #[garde(range(min = 1, max = 100_000))]
    pub max_connections: usize,
    /// Memory for bodies of callers that are held until they are sent on, in bytes.
    #[serde(default = "default_held_body_bytes")]
    #[garde(range(min = 1_048_576, max = 4_294_967_296))]
    pub held_body_bytes: u64,
    /// Share of requests that are traced when the caller asks for nothing, from 0 to 1.
    #[serde(default = "default_trace_ratio")]
    #[garde(range(min = 0.0, max = 1.0))]
    pub trace_ratio: f64,
    /// The platform's services.
    #[garde(dive)]
    pub platform: PlatformSettings,
    /// Routing of requests.
    #[serde(default)]
    #[garde(dive)]
    pub routing: RoutingSettings,
    /// Batch work.
    #[serde(default)]
    #[garde(dive)]
    pub batch: BatchSettings,
    /// Shutting down.
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
