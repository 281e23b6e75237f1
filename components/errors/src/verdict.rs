//! Whether a request may have run.

use serde::{Deserialize, Serialize};
use strum::{Display, EnumString, IntoStaticStr};

/// What is known about the execution of a request that got no whole answer.
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
    /// Proved not to have reached a backend server.
    NotRun,
    /// May have reached a backend server; nothing more can be proved.
    MayHaveRun,
    /// Reached a backend server and ran, though its answer could not be delivered.
    Ran,
}

impl Verdict {
    /// Whether sending the request again can run it a second time.
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
