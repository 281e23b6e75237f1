//! What an agent remembers of a request.

use model::ServiceName;
use std::net::SocketAddr;

/// What an agent remembers of a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Record {
    /// Barred before it came; refused if it comes.
    Barred,
    /// Waits for a slot.
    Queued,
    /// Has a slot.
    Running {
        /// The service.
        service: ServiceName,
        /// The backend server.
        backend: SocketAddr,
        /// Bytes of the answer passed on so far.
        sent_bytes: u64,
    },
    /// Ended with a whole answer.
    Finished,
    /// Written at least in part, without a whole answer.
    Uncertain,
}
