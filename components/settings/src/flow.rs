//! Settings of processes that schedule flows.

use crate::PlatformSettings;
use garde::Validate;
use model::{AgentId, DomainName, EntryId};
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// Settings of an entry that takes flows and may become their scheduler.
#[derive(Debug, Clone, Serialize, Deserialize, Validate)]
#[serde(deny_unknown_fields)]
pub struct FlowEntrySettings {
    /// Name of this entry, unique among the user's processes.
    #[garde(skip)]
    pub id: EntryId,
    /// Failure domain of this VM.
    #[garde(skip)]
    pub domain: DomainName,
    /// Address for callers.
    #[garde(skip)]
    pub listen: SocketAddr,
    /// Address at which the balancer asks whether the entry takes callers.
    #[garde(skip)]
    pub ready_listen: SocketAddr,
    /// Address for other entries.
    #[garde(skip)]
    pub control_listen: SocketAddr,
    /// Address for metrics.
    #[garde(skip)]
    pub metrics_listen: SocketAddr,
    /// Share of a processor that this VM gives; entries with more become the scheduler first.
    #[serde(default = "default_processor_share")]
    #[garde(range(min = 0.001, max = 1_024.0))]
    pub processor_share: f64,
    /// The store.
    #[garde(dive)]
    pub store: PlatformSettings,
    /// Leases of workers.
    #[garde(dive)]
    pub leases: LeaseSettings,
    /// Time for which the state of an ended flow can be asked for, in milliseconds.
    #[serde(default = "default_keep_ended_ms")]
    #[garde(range(min = 1_000, max = 86_400_000))]
    pub keep_ended_ms: u64,
    /// Time after SIGTERM within which the process has to end, in milliseconds.
    #[serde(default = "default_grace_ms")]
    #[garde(range(min = 100, max = 600_000))]
    pub grace_ms: u64,
}

/// Leases of workers.
#[derive(Debug, Clone, Copy, Serialize, Deserialize, Validate)]
#[serde(deny_unknown_fields)]
pub struct LeaseSettings {
    /// Longest lease that a worker grants, in milliseconds.
    #[garde(range(min = 1_000, max = 600_000))]
    pub longest_ms: u64,
    /// Time after the end of a lease until nothing runs any more, in milliseconds.
    #[garde(range(min = 0, max = 60_000))]
    pub slack_ms: u64,
}

/// Settings of the agent of a worker that runs tasks of flows.
#[derive(Debug, Clone, Serialize, Deserialize, Validate)]
#[serde(deny_unknown_fields)]
pub struct FlowAgentSettings {
    /// Name of this agent, unique among the user's processes.
    #[garde(skip)]
    pub id: AgentId,
    /// Failure domain of this VM.
    #[garde(skip)]
    pub domain: DomainName,
    /// Address for the worker on this VM.
    #[garde(skip)]
    pub local_listen: SocketAddr,
    /// Address at which the worker takes orders.
    #[garde(skip)]
    pub worker: SocketAddr,
    /// Address for the scheduler.
    #[garde(skip)]
    pub control_listen: SocketAddr,
    /// Address for metrics.
    #[garde(skip)]
    pub metrics_listen: SocketAddr,
    /// The store.
    #[garde(dive)]
    pub store: PlatformSettings,
}

fn default_processor_share() -> f64 {
    1.0
}

fn default_keep_ended_ms() -> u64 {
    600_000
}

fn default_grace_ms() -> u64 {
    6_000
}
