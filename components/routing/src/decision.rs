//! What the dispatcher decides.

use crate::Class;
use errors::Failure;
use model::{AgentId, RequestId};
use std::net::SocketAddr;

/// Where a request is sent.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Dispatch {
    /// The request.
    pub id: RequestId,
    /// The agent.
    pub agent: AgentId,
    /// Its address for requests.
    pub traffic: SocketAddr,
    /// Its address for control calls.
    pub control: SocketAddr,
    /// Its incarnation.
    pub incarnation: u64,
    /// Class under which the request counts.
    pub class: Class,
}

/// A decision about a waiting request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Decision {
    /// Send it.
    Send(Dispatch),
    /// Refuse it; it has not run.
    Refuse(RequestId, Failure),
}
