//! Rows of the configuration.

use backing::{Row, StoreError};
use model::Ticket;
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};

/// Key of the head.
pub(crate) const HEAD: &str = "config/head";
/// Prefix of services' rows.
pub(crate) const SERVICES: &str = "config/service/";
/// Prefix of teams' rows.
pub(crate) const TEAMS: &str = "config/team/";

/// The newest accepted ticket.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Head {
    /// Its number.
    pub number: u64,
}

/// Key of a ticket's row.
pub(crate) fn ticket_key(number: u64) -> String {
    format!("config/ticket/{number:012}")
}

/// Reads a row's content.
pub(crate) fn decode<T: DeserializeOwned>(row: &Row) -> Result<T, StoreError> {
    let broken = |error| StoreError::Invalid(format!("row {} is unreadable: {error}", row.key));
    serde_json::from_str(&row.value).map_err(broken)
}

/// Writes a row's content.
pub(crate) fn encode<T: Serialize>(value: &T) -> String {
    serde_json::to_string(value).unwrap_or_default()
}

/// Whether two tickets say the same.
pub(crate) fn is_same(left: &Ticket, right: &Ticket) -> bool {
    left == right
}
