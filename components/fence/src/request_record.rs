//! State of a request at an agent.

use model::ServiceName;
use std::net::SocketAddr;

/// State of a request at an agent, from which fence requests are answered.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum RequestRecord {
    /// Fenced off before it got a slot; refused if it arrives later.
    FencedOff,
    /// Queued for a slot.
    Queued,
    /// Has a slot and may have reached the backend server.
    Running {
        /// Service of the request.
        service: ServiceName,
        /// Address of the backend server.
        backend: SocketAddr,
        /// Bytes of the answer passed on so far.
        sent_bytes: u64,
    },
    /// Ended with a complete answer.
    Finished,
    /// Ended without a complete answer after at least part of it was written.
    Uncertain,
}
