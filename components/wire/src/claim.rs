//! Claims on idempotency keys.

use model::{AgentId, EntryId, RequestId, ServiceName};
use serde::{Deserialize, Serialize};

/// Claims a key for one request.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Claim {
    /// Service that the key belongs to.
    pub service: ServiceName,
    /// The caller's key.
    pub key: String,
    /// The request that wants to run.
    pub request: RequestId,
    /// Entry that acts for the request.
    pub entry: EntryId,
}

/// Outcome of a claim.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum ClaimAnswer {
    /// The key is now held by this request.
    Granted,
    /// The key is held by an earlier request.
    Held(Claim),
    /// The agent is too full or too new to promise anything.
    Refused,
}

/// What an entry knows of a request that it acts or acted for.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RequestState {
    /// Agent that it was sent to last, if any.
    pub agent: Option<AgentId>,
    /// Try that was sent there.
    pub sent_as: RequestId,
    /// Incarnation of that agent.
    pub incarnation: u64,
    /// Whether the entry still works on it.
    pub active: bool,
}
