//! Decisions of the dispatcher about queued requests.

use crate::Class;
use errors::Failure;
use model::{AgentId, RequestId};
use std::net::SocketAddr;

/// Assignment of a request to an agent.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Dispatch {
    /// Number of this attempt of the request.
    pub id: RequestId,
    /// Agent that the request is sent to.
    pub agent: AgentId,
    /// Address of the agent for requests.
    pub traffic: SocketAddr,
    /// Address of the agent for control calls.
    pub control: SocketAddr,
    /// Incarnation of the agent; fencing of the request must name the same one.
    pub incarnation: u64,
    /// Class that the agent counts the request under.
    pub class: Class,
}

/// Decision about a queued request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Decision {
    /// The request is sent to an agent.
    Send(Dispatch),
    /// The request is refused; it has not run.
    Refuse(RequestId, Failure),
}
