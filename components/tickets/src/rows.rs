//! Keys and encoding of the configuration's rows.

use backing::{Row, StoreError};
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};

/// Key of the row that holds the newest accepted number.
pub(crate) const HEAD: &str = "config/head";
/// Prefix of the rows of service specifications; the service's name follows.
pub(crate) const SERVICES: &str = "config/service/";
/// Prefix of the rows of team specifications; the team's name follows.
pub(crate) const TEAMS: &str = "config/team/";

/// Content of the head row, on whose version each acceptance is conditioned.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Head {
    /// Number of the newest accepted ticket; 0 before the first.
    pub number: u64,
}

/// Key of an accepted ticket, padded so that keys sort by number.
pub(crate) fn ticket_key(number: u64) -> String {
    format!("config/ticket/{number:012}")
}

/// Decodes a row's value from JSON; fails with [`StoreError::Invalid`], which names the row.
pub(crate) fn decode<T: DeserializeOwned>(row: &Row) -> Result<T, StoreError> {
    let invalid = |error| StoreError::Invalid(format!("row {} is unreadable: {error}", row.key));
    serde_json::from_str(&row.value).map_err(invalid)
}

/// Encodes a row's value as JSON.
pub(crate) fn encode<T: Serialize>(value: &T) -> String {
    serde_json::to_string(value).unwrap_or_default()
}
