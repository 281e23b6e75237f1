//! Errors of the platform's services.

use serde::{Deserialize, Serialize};

/// Why a call to the platform gave no result.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize, thiserror::Error)]
pub enum StoreError {
    /// A condition did not hold; nothing was written.
    #[error("the row {key} is at another version")]
    Conflict {
        /// Key of the first row whose condition failed.
        key: String,
    },
    /// The service refused; nothing was written.
    #[error("the platform's service is unavailable: {0}")]
    Unavailable(String),
    /// The answer was lost; the call may have taken effect.
    #[error("the platform's answer was lost: {0}")]
    Unknown(String),
    /// The call itself is wrong, or breaks a limit of the service.
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

    /// Whether the service, rather than the call, is at fault.
    ///
    /// ```
    /// assert!(backing::StoreError::Unavailable("down".to_owned()).is_outage());
    /// ```
    pub fn is_outage(&self) -> bool {
        matches!(self, Self::Unavailable(_) | Self::Unknown(_))
    }
}
