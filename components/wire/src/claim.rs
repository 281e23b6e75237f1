//! Claims on idempotency keys, by which a repeated request runs once.

use model::{AgentId, EntryId, RequestId, ServiceName};
use serde::{Deserialize, Serialize};

/// Claim of an idempotency key by one request.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Claim {
    /// Service of the request; keys of different services are independent.
    pub service: ServiceName,
    /// Key that the caller sent with the request.
    pub key: String,
    /// Request that the key is claimed for.
    pub request: RequestId,
    /// Entry that handles the request.
    pub entry: EntryId,
}

/// Outcome of a claim.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum ClaimAnswer {
    /// The request now holds the key.
    Granted,
    /// An earlier request holds the key, with this claim.
    Held(Claim),
    /// The agent can't guarantee that the key is unused: its table of claims is full, or it started
    /// too recently to know of earlier claims.
    Refused,
}

/// What an entry knows of a request that it handles or handled.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RequestState {
    /// Agent that the request was sent to last; `None` if it was sent to none.
    pub agent: Option<AgentId>,
    /// Identifier of the try that was sent there.
    pub sent_as: RequestId,
    /// Incarnation of that agent at the time.
    pub incarnation: u64,
    /// Whether the entry is still handling the request.
    pub active: bool,
}
