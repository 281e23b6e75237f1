//! Queued requests.

use crate::{Class, Route};
use model::{AgentId, RequestId, ServiceName, TeamName};

/// One attempt of a request that is queued in the dispatcher.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PendingRequest {
    /// Number of this attempt; each attempt has its own.
    pub id: RequestId,
    /// Number of the request that this attempt belongs to.
    pub request_id: RequestId,
    /// Requested service.
    pub service: ServiceName,
    /// Team of the caller.
    pub team: TeamName,
    /// Weight of the team in fair queueing; 0 counts as 1.
    pub weight: u32,
    /// Route that the expected run time is looked up by.
    pub route: Route,
    /// Class by expected run time.
    pub class: Class,
    /// Arrival time at the entry.
    pub arrived_ms: u64,
    /// Time by which the caller needs the answer.
    pub deadline_ms: u64,
    /// Expected run time; 0 if unknown.
    pub expected_ms: u64,
    /// Earlier attempts of the request; [`Dispatcher::retry`](crate::Dispatcher::retry) adds one.
    pub previous_tries: u32,
    /// Agents at which earlier attempts failed; used only if no other agent is left.
    pub failed_agents: Vec<AgentId>,
}
