//! A request that waits to be sent.

use crate::{Class, Route};
use model::{AgentId, RequestId, ServiceName, TeamName};

/// A request that waits to be sent.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PendingRequest {
    /// This try of the request; each has a number of its own.
    pub id: RequestId,
    /// The request.
    pub origin: RequestId,
    /// Service that it is for.
    pub service: ServiceName,
    /// Team that sent it.
    pub team: TeamName,
    /// Weight of the team.
    pub weight: u32,
    /// Route, by which its run time is expected.
    pub route: Route,
    /// Expected class.
    pub class: Class,
    /// When it came.
    pub arrived_ms: u64,
    /// When it is of no use any more.
    pub deadline_ms: u64,
    /// Expected run time.
    pub expected_ms: u64,
    /// Tries so far.
    pub tries: u32,
    /// Agents that failed it.
    pub avoid: Vec<AgentId>,
}
