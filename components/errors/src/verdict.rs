//! Verdicts: whether a request may have run.

use serde::{Deserialize, Serialize};
use strum::{Display, EnumString, IntoStaticStr};

/// Whether a request ran whose caller got no whole answer.
///
/// ```
/// use errors::Verdict;
/// assert_eq!(Verdict::NotRun.to_string(), "not-run");
/// assert_eq!("may-have-run".parse::<Verdict>().unwrap(), Verdict::MayHaveRun);
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
    EnumString,
    IntoStaticStr,
)]
#[serde(rename_all = "kebab-case")]
#[strum(serialize_all = "kebab-case")]
pub enum Verdict {
    /// The request is known not to have reached a backend server.
    NotRun,
    /// The request may have reached a backend server; whether it ran is unknown.
    MayHaveRun,
    /// The request ran on a backend server, but its answer could not be delivered.
    Ran,
}

impl Verdict {
    /// Whether the request can be sent again without the risk of running it twice.
    ///
    /// ```
    /// use errors::Verdict;
    /// assert!(Verdict::NotRun.is_safe_to_retry());
    /// assert!(!Verdict::MayHaveRun.is_safe_to_retry());
    /// ```
    pub fn is_safe_to_retry(self) -> bool {
        self == Self::NotRun
    }
}
