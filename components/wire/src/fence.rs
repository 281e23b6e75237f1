//! Fencing of requests.

use model::RequestId;
use serde::{Deserialize, Serialize};

/// Asks what became of a request, and keeps it from running if it has not begun.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct FenceRequest {
    /// The request.
    pub id: RequestId,
    /// Incarnation of the agent that it was sent to.
    pub incarnation: u64,
    /// Whether an unseen request is barred from now on.
    pub bar: bool,
}

/// What an agent knows of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum FenceAnswer {
    /// Never handed to a backend server; if barred, it never will be.
    NeverSeen,
    /// Waiting for a slot or running; so many bytes of the answer were passed on.
    Running {
        /// Bytes of the answer passed on so far.
        sent_bytes: u64,
    },
    /// Ended with a whole answer.
    Finished {
        /// Whether the answer is kept and can be fetched.
        kept: bool,
    },
    /// Handed to a backend server, without a whole answer.
    Uncertain,
    /// The agent restarted since and can prove nothing.
    OtherIncarnation,
}
