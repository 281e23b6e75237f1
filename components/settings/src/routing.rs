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
    /// An agent drawn at random.
    Random,
    /// Each agent in turn.
    RoundRobin,
    /// The agent with the fewest requests in flight from this entry.
    LeastOutstanding,
    /// The less loaded of two agents drawn at random.
    TwoChoices,
}

/// How an entry routes requests.
#[derive(Debug, Clone, Serialize, Deserialize, Validate)]
#[serde(deny_unknown_fields, default)]
pub struct RoutingSettings {
    /// How an agent is chosen; all policies but `late-binding` are baselines for measurements.
    #[garde(skip)]
    pub policy: RoutingPolicy,
    /// Maximum number of requests queued in this entry.
    #[garde(range(min = 1, max = 1_000_000))]
    pub queue_limit: usize,
    /// Retry budget: retries allowed per successful request, in percent.
    #[garde(range(max = 100))]
    pub retry_percent: u32,
    /// Maximum number of attempts to send one request, including the first.
    #[garde(range(min = 1, max = 20))]
    pub max_tries: u32,
    /// Consecutive failures after which an agent is ejected.
    #[garde(range(min = 1, max = 1_000))]
    pub eject_failures: u32,
    /// Time for which an agent is ejected the first time, in milliseconds.
    #[garde(range(min = 100, max = 600_000))]
    pub eject_ms: u64,
    /// Time over which a new agent's share of requests grows to its full size, in milliseconds.
    #[garde(range(max = 600_000))]
    pub slow_start_ms: u64,
    /// Silence of a request in flight after which its state is queried over another connection, in
    /// milliseconds.
    #[garde(range(min = 50, max = 60_000))]
    pub probe_ms: u64,
    /// Time without a heartbeat after which an agent gets no new requests, in milliseconds.
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
