//! Stable codes of failures.

use serde::{Deserialize, Serialize};
use strum::{Display, EnumIter, EnumString, IntoStaticStr};

/// Why a request, job or ticket failed.
///
/// The codes are part of the interface for callers and operators, and stable across releases.
///
/// ```
/// use errors::Code;
/// assert_eq!(Code::NoCapacity.http_status(), 503);
/// ```
#[derive(
    Debug,
    Clone,
    Copy,
    PartialEq,
    Eq,
    Hash,
    Serialize,
    Deserialize,
    Display,
    EnumIter,
    EnumString,
    IntoStaticStr,
)]
#[serde(rename_all = "kebab-case")]
#[strum(serialize_all = "kebab-case")]
pub enum Code {
    /// The request or file is malformed.
    BadRequest,
    /// The admin token is missing or wrong.
    Unauthorized,
    /// The named service, job, ticket or team does not exist.
    NotFound,
    /// Another writer has used the number or key with different content.
    Conflict,
    /// The request body exceeds the service's `max_body_bytes`.
    TooLarge,
    /// The caller did not send its whole request in time.
    CallerTimeout,
    /// No slot is free and none is expected to become free in time.
    NoCapacity,
    /// The deadline can't be met at the rate at which queued requests currently finish.
    DeadlineUnreachable,
    /// The deadline passed before a whole answer arrived.
    DeadlineExceeded,
    /// The team already uses its share while other teams are queued.
    OverQuota,
    /// The process is shutting down and accepts no new work.
    Draining,
    /// No agent with this service is known.
    NoBackend,
    /// The connection to an agent or a backend server broke.
    ConnectionLost,
    /// The backend server sent an incomplete or malformed HTTP answer.
    BadAnswer,
    /// An earlier request already used the idempotency key.
    DuplicateKey,
    /// The platform's table or object store can't be reached.
    StoreUnavailable,
    /// A task of the job requests more resources than any worker has.
    Unplaceable,
    /// A fault in parsleythread itself.
    Internal,
}

impl Code {
    /// HTTP status of an answer with this code.
    ///
    /// ```
    /// assert_eq!(errors::Code::Conflict.http_status(), 409);
    /// ```
    pub fn http_status(self) -> u16 {
        match self {
            Self::BadRequest => 400,
            Self::Unauthorized => 401,
            Self::NotFound => 404,
            Self::CallerTimeout => 408,
            Self::Conflict | Self::DuplicateKey => 409,
            Self::TooLarge => 413,
            Self::Unplaceable => 422,
            Self::OverQuota => 429,
            Self::Internal => 500,
            Self::ConnectionLost | Self::BadAnswer => 502,
            Self::NoCapacity
            | Self::DeadlineUnreachable
            | Self::Draining
            | Self::NoBackend
            | Self::StoreUnavailable => 503,
            Self::DeadlineExceeded => 504,
        }
    }
}
