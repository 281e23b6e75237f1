//! Admission of requests.

use errors::Failure;
use model::{RequestId, ServiceName};
use std::net::SocketAddr;

/// Request for a slot on a backend server.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct AdmissionRequest {
    /// Number of the request.
    pub id: RequestId,
    /// Requested service.
    pub service: ServiceName,
    /// Time from which the request is refused if it has no slot yet.
    pub deadline_ms: u64,
    /// Whether the request is classified as long; the entry decides it by earlier run times.
    pub is_long: bool,
}

/// Slot on a backend server, assigned to a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Grant {
    /// Number of the request.
    pub id: RequestId,
    /// Address of the backend server.
    pub backend: SocketAddr,
}

/// Result of an [`AdmissionRequest`].
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Admitted {
    /// The request has a slot.
    Granted(Grant),
    /// The request is queued; [`RequestTable::advance`](crate::RequestTable::advance) returns the
    /// grant or the refusal later.
    Queued,
    /// The request is refused. A new request has then not run; a repeated one may have.
    Refused(Failure),
}

/// How a request that had a slot ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outcome {
    /// No byte of the request was written to the backend server.
    NotRun,
    /// A complete answer was passed on.
    Complete,
    /// At least part of the request was written, but no complete answer was received or passed on.
    Broken,
}
