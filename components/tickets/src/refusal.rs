//! Why a ticket was not accepted.

use backing::StoreError;
use model::TicketError;
use serde::{Deserialize, Serialize};

/// Another ticket stands in the way.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Conflict {
    /// Number of the refused ticket.
    pub number: u64,
    /// Newest accepted number.
    pub head: u64,
    /// Author of the ticket that holds the number, if one does.
    pub held_by: Option<String>,
    /// What that ticket and the refused one say differently.
    pub differences: Vec<String>,
    /// What to do.
    pub advice: String,
}

/// Why a ticket was not accepted.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum Refusal {
    /// The ticket itself is wrong; it changed nothing.
    #[error(transparent)]
    Invalid(#[from] TicketError),
    /// Another ticket has the number, or the number is not the next one; it changed nothing.
    #[error("ticket {} is in conflict, the head is {}", .0.number, .0.head)]
    Conflict(Box<Conflict>),
    /// The platform could not be reached; the verdict tells whether the ticket may be accepted.
    #[error(transparent)]
    Store(#[from] StoreError),
}
