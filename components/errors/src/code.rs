//! Stable codes for failures.

use serde::{Deserialize, Serialize};
use strum::{Display, EnumIter, EnumString, IntoStaticStr};

/// Why a request, job or ticket failed; stable across releases.
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
    /// No such service, job, ticket or team.
    NotFound,
    /// Another writer holds the number or key with other content.
    Conflict,
    /// The request body exceeds the service's limit.
    TooLarge,
    /// The caller sent its request too slowly.
    CallerTimeout,
    /// No slot is free and none is expected in time.
    NoCapacity,
    /// The deadline can't be met at the present drain rate.
    DeadlineUnreachable,
    /// The deadline passed.
    DeadlineExceeded,
    /// The team already uses its share and others are waiting.
    OverQuota,
    /// The process is shutting down.
    Draining,
    /// No agent with this service is known.
    NoBackend,
    /// The connection to an agent or backend server broke.
    ConnectionLost,
    /// The backend server answered with something that is not a whole HTTP answer.
    BadAnswer,
    /// The idempotency key was already used by an earlier request.
    DuplicateKey,
    /// The platform's table or object store can't be reached.
    StoreUnavailable,
    /// The job asks for more than any worker has.
    Unplaceable,
    /// A fault in parsleythread itself.
    Internal,
}

impl Code {
    /// The HTTP status that carries this code.
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
