//! State of the cluster as operators see it.

use model::{AgentId, DomainName, EntryId, Resources, TeamName};
use serde::{Deserialize, Serialize};
use wire::ServiceLoad;

/// State of the whole cluster, as one entry sees it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ClusterStatus {
    /// The entry that answered.
    pub entry: EntryId,
    /// Number of the configuration in force there.
    pub config: u64,
    /// Whether the table answers.
    pub store_up: bool,
    /// Shards that this entry owns.
    pub shards: Vec<u16>,
    /// Requests that wait for a slot here.
    pub waiting: usize,
    /// All entries heard of late, this one included.
    pub entries: Vec<EntryStatus>,
    /// All agents heard of late.
    pub agents: Vec<AgentStatus>,
    /// Teams with what their tasks in this entry's shards hold.
    pub teams: Vec<TeamStatus>,
}

/// State of an entry.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct EntryStatus {
    /// The entry.
    pub entry: EntryId,
    /// Number of the configuration in force there.
    pub config: u64,
    /// Whether it is shutting down.
    pub draining: bool,
}

/// State of an agent and its VM.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct AgentStatus {
    /// The agent.
    pub agent: AgentId,
    /// Its failure domain.
    pub domain: DomainName,
    /// Number of the configuration in force there.
    pub config: u64,
    /// Whether it is shutting down.
    pub draining: bool,
    /// Whether it is set aside because it fails all batch work.
    pub quarantined: bool,
    /// What the VM has.
    pub capacity: Resources,
    /// What is free.
    pub free: Resources,
    /// Its services with their slots.
    pub services: Vec<ServiceLoad>,
}

/// What a team uses of its quota.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct TeamStatus {
    /// The team.
    pub team: TeamName,
    /// What it may hold.
    pub quota: Resources,
    /// What its running tasks hold, if this entry owns the team's shard.
    pub used: Option<Resources>,
}
