//! Status report of the cluster for operators.

use model::{AgentId, DomainName, EntryId, Resources, TeamName};
use serde::{Deserialize, Serialize};
use wire::ServiceLoad;

/// State of the cluster as one entry sees it; the body of `/v1/status`.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ClusterStatus {
    /// Entry that reports.
    pub entry: EntryId,
    /// Number of the configuration in force at this entry.
    pub config: u64,
    /// Whether this entry's last call to the table succeeded.
    pub store_up: bool,
    /// Shards that this entry owns.
    pub shards: Vec<u16>,
    /// Requests queued for a slot at this entry.
    pub waiting: usize,
    /// Live entries, this one included.
    pub entries: Vec<EntryStatus>,
    /// Live agents, direct and relayed.
    pub agents: Vec<AgentStatus>,
    /// All teams, with the quota usage that this entry knows.
    pub teams: Vec<TeamStatus>,
}

/// State of one entry.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct EntryStatus {
    /// Id of the entry.
    pub entry: EntryId,
    /// Number of the configuration in force at it.
    pub config: u64,
    /// Whether it is shutting down.
    pub draining: bool,
}

/// State of an agent and its VM.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct AgentStatus {
    /// Id of the agent.
    pub agent: AgentId,
    /// Failure domain of its VM.
    pub domain: DomainName,
    /// Number of the configuration in force at it.
    pub config: u64,
    /// Whether it is shutting down.
    pub draining: bool,
    /// Whether it gets no batch work for a while because it fails all of it.
    pub quarantined: bool,
    /// Total resources of the VM.
    pub capacity: Resources,
    /// Resources that are not allocated.
    pub free: Resources,
    /// Services on the VM with their slots.
    pub services: Vec<ServiceLoad>,
}

/// Quota and usage of a team.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct TeamStatus {
    /// Name of the team.
    pub team: TeamName,
    /// Maximum resources of its running tasks.
    pub quota: Resources,
    /// Resources allocated to its running tasks; `None` unless this entry owns the team's shard.
    pub used: Option<Resources>,
}
