//! Admission of requests.

use errors::Failure;
use model::{RequestId, ServiceName};
use std::net::SocketAddr;

/// A request that asks for a slot.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct AdmissionRequest {
    /// The request.
    pub id: RequestId,
    /// The service that it is for.
    pub service: ServiceName,
    /// Time at which it is of no use any more.
    pub deadline_ms: u64,
    /// Whether it is expected to run long.
    pub long: bool,
}

/// A slot on a backend server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Grant {
    /// The request.
    pub id: RequestId,
    /// Address of the backend server.
    pub backend: SocketAddr,
}

/// Outcome of an admission.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Admitted {
    /// It has a slot now.
    Granted(Grant),
    /// It waits; a grant or refusal follows.
    Queued,
    /// It was not taken and has not run.
    Refused(Failure),
}

/// How a request with a slot ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outcome {
    /// No byte of it was written to a backend server.
    NotRun,
    /// A whole answer was passed on.
    Whole,
    /// It was written at least in part and no whole answer came or could be passed on.
    Broken,
}
