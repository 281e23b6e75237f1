//! Options of routing that an operator can set.

use strum::EnumIter;

/// How the agent for a request is chosen.
#[derive(Debug, Clone, Copy, PartialEq, Eq, EnumIter)]
pub enum Policy {
    /// Queues the request until an agent is known to have a free slot.
    LateBinding,
    /// An agent drawn at random.
    Random,
    /// The agents one after another.
    RoundRobin,
    /// The agent with the fewest requests from this entry.
    LeastOutstanding,
    /// The one with fewer requests from this entry of two agents drawn at random.
    TwoChoices,
}

/// Policy, limits and times of routing.
#[derive(Debug, Clone, Copy)]
pub struct RoutingOptions {
    /// How the agent for a request is chosen.
    pub policy: Policy,
    /// Maximum number of queued requests per service.
    pub queue_limit: usize,
    /// Retries allowed per hundred successes.
    pub retry_percent: u32,
    /// Maximum number of attempts of one request, the first one included.
    pub max_tries: u32,
    /// Consecutive failures after which an agent is ejected.
    pub eject_failures: u32,
    /// Length of the first ejection; each further one lasts twice as long.
    pub eject_ms: u64,
    /// Time over which the allowed load of a new agent grows to all of its slots.
    pub slow_start_ms: u64,
    /// Time without a heartbeat after which an agent gets no requests.
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
