//! Classifies errors by whether the request can have reached its server.

use awc::error::{ConnectError, SendRequestError};

/// Whether a request failed before its connection was made, so that no byte of it was sent.
///
/// This excludes `ConnectError::Disconnected`, because the client also reports it when a connection
/// ends after the request was written and before its response arrived.
///
/// ```
/// use awc::error::{ConnectError, SendRequestError};
/// assert!(client::is_never_sent(&SendRequestError::Connect(ConnectError::Timeout)));
/// assert!(!client::is_never_sent(&SendRequestError::Connect(ConnectError::Disconnected)));
/// ```
pub fn is_never_sent(error: &SendRequestError) -> bool {
    match error {
        SendRequestError::Url(_) => true,
        SendRequestError::Connect(cause) => matches!(
            cause,
            ConnectError::Timeout
                | ConnectError::Io(_)
                | ConnectError::Resolver(_)
                | ConnectError::NoRecords
                | ConnectError::Unresolved
        ),
        _ => false,
    }
}
