//! Errors of calls to the platform's services.

use serde::{Deserialize, Serialize};

/// Why a call to the platform failed.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize, thiserror::Error)]
pub enum StoreError {
    /// A condition of the transaction did not hold, so nothing was written.
    #[error("the row {key} is at another version")]
    Conflict {
        /// Key of the first row whose condition failed.
        key: String,
    },
    /// The service was not reached or refused the call, so nothing was written.
    #[error("the platform's service is unavailable: {0}")]
    Unavailable(String),
    /// No usable answer arrived; the call may have taken effect.
    #[error("the platform's answer was lost: {0}")]
    Unknown(String),
    /// The call is malformed or exceeds a limit of the service.
    #[error("the platform refused the call: {0}")]
    Invalid(String),
}

impl StoreError {
    /// Whether the call may have taken effect.
    ///
    /// ```
    /// assert!(backing::StoreError::Unknown("timeout".to_owned()).is_ambiguous());
    /// ```
    pub fn is_ambiguous(&self) -> bool {
        matches!(self, Self::Unknown(_))
    }

    /// Whether the service is at fault rather than the call.
    ///
    /// ```
    /// assert!(backing::StoreError::Unavailable("down".to_owned()).is_outage());
    /// ```
    pub fn is_outage(&self) -> bool {
        matches!(self, Self::Unavailable(_) | Self::Unknown(_))
    }
}
