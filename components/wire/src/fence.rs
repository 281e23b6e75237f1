//! Fencing of requests: an agent that has not seen a request yet can refuse it from then on.

use model::RequestId;
use serde::{Deserialize, Serialize};

/// Asks an agent what became of a request and, with `fence_off`, prevents an unseen request from
/// running.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct FenceRequest {
    /// Identifier of the request.
    pub id: RequestId,
    /// Incarnation of the agent to which the request was sent.
    pub incarnation: u64,
    /// Whether the agent must refuse the request from now on if it has not seen it.
    #[serde(rename = "bar")]
    pub fence_off: bool,
}

/// What an agent knows of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum FenceAnswer {
    /// The request was never sent to a backend server; if fenced off, it never will be.
    NeverSeen,
    /// The request is queued for a slot or runs.
    Running {
        /// Bytes of the answer that were sent to the entry so far.
        sent_bytes: u64,
    },
    /// The backend server sent a whole answer.
    Finished {
        /// Whether the agent retains the answer for a replay.
        kept: bool,
    },
    /// The request was sent to a backend server, which sent no whole answer.
    Uncertain,
    /// The agent has restarted since and doesn't know what became of the request.
    OtherIncarnation,
}
