//! Errors of the acceptance of tickets.

use backing::StoreError;
use model::TicketError;
use serde::{Deserialize, Serialize};

/// Conflict of a refused ticket with accepted ones, as it is sent to the operator.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Conflict {
    /// Number of the refused ticket.
    pub number: u64,
    /// Number of the newest accepted ticket.
    pub head: u64,
    /// Author of the accepted ticket with the same number; `None` if there is none.
    pub held_by: Option<String>,
    /// Differences between that ticket and the refused one, one line each.
    pub differences: Vec<String>,
    /// What the operator should do next.
    pub advice: String,
}

/// Reason for which a ticket was not accepted.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum Refusal {
    /// The ticket is not valid for the current configuration; it changed nothing.
    #[error(transparent)]
    Invalid(#[from] TicketError),
    /// The number is taken by another ticket or is not the next free one; nothing was changed.
    #[error("ticket {} is in conflict, the head is {}", .0.number, .0.head)]
    Conflict(Box<Conflict>),
    /// The table failed; after [`StoreError::Unknown`] the ticket may have been accepted
    /// nonetheless.
    #[error(transparent)]
    Store(#[from] StoreError),
}
