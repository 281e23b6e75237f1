//! What an operator may tune of routing.

use strum::EnumIter;

/// How an agent is chosen.
#[derive(Debug, Clone, Copy, PartialEq, Eq, EnumIter)]
pub enum Policy {
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

/// Limits and times of routing.
#[derive(Debug, Clone, Copy)]
pub struct RoutingOptions {
    /// Choice of the agent.
    pub policy: Policy,
    /// Most requests that wait.
    pub queue_limit: usize,
    /// Retries earned per success, in percent.
    pub retry_percent: u32,
    /// Most tries of one request.
    pub max_tries: u32,
    /// Failures in a row that eject an agent.
    pub eject_failures: u32,
    /// Length of the first ejection.
    pub eject_ms: u64,
    /// Time over which a new agent's share grows.
    pub slow_start_ms: u64,
    /// Time without a heartbeat after which an agent gets nothing.
    pub heartbeat_ttl_ms: u64,
}

impl Default for RoutingOptions {
    fn default() -> Self {
        Self {
            policy: Policy::LateBinding,
            queue_limit: 20_000,
            retry_percent: 10,
            max_tries: 4,
            eject_failures: 5,
            eject_ms: 1_000,
            slow_start_ms: 2_000,
            heartbeat_ttl_ms: 2_500,
        }
    }
}
