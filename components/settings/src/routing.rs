//! Settings of request routing.

use garde::Validate;
use serde::{Deserialize, Serialize};
use strum::{Display, EnumIter, EnumString};

/// How an entry chooses an agent for a request.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize, Display, EnumIter, EnumString,
)]
#[serde(rename_all = "kebab-case")]
#[strum(serialize_all = "kebab-case")]
pub enum RoutingPolicy {
    /// Hold the request until an agent is known to have a free slot.
    LateBinding,
    /// Any agent.
    Random,
    /// Agents in turn.
    RoundRobin,
    /// The agent with the fewest requests from this entry.
    LeastOutstanding,
    /// The better of two agents drawn at random.
    TwoChoices,
}

/// How an entry routes requests.
#[derive(Debug, Clone, Serialize, Deserialize, Validate)]
#[serde(deny_unknown_fields, default)]
pub struct RoutingSettings {
    /// Choice of the agent; all but `late-binding` are baselines for measurements.
    #[garde(skip)]
    pub policy: RoutingPolicy,
    /// Most requests that wait in this entry.
    #[garde(range(min = 1, max = 1_000_000))]
    pub queue_limit: usize,
    /// Retries allowed per success, in percent.
    #[garde(range(max = 100))]
    pub retry_percent: u32,
    /// Most tries of one request.
    #[garde(range(min = 1, max = 20))]
    pub max_tries: u32,
    /// Failures in a row after which an agent is ejected.
    #[garde(range(min = 1, max = 1_000))]
    pub eject_failures: u32,
    /// Time for which an agent is first ejected, in milliseconds.
    #[garde(range(min = 100, max = 600_000))]
    pub eject_ms: u64,
    /// Time over which a new agent's share grows to its whole, in milliseconds.
    #[garde(range(max = 600_000))]
    pub slow_start_ms: u64,
    /// Silence after which a request in flight is asked about on another connection, in milliseconds.
    #[garde(range(min = 50, max = 60_000))]
    pub probe_ms: u64,
    /// Time without a heartbeat after which an agent gets no new work, in milliseconds.
    #[garde(range(min = 500, max = 3_000))]
    pub heartbeat_ttl_ms: u64,
}

impl Default for RoutingSettings {
    fn default() -> Self {
        Self {
            policy: RoutingPolicy::LateBinding,
            queue_limit: 20_000,
            retry_percent: 10,
            max_tries: 4,
            eject_failures: 5,
            eject_ms: 1_000,
            slow_start_ms: 2_000,
            probe_ms: 500,
            heartbeat_ttl_ms: 2_500,
        }
    }
}
