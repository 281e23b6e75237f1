//! Where a configuration was obtained.

use strum::Display;

/// How an entry obtained a configuration. Its text form is a field of the log.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
#[strum(serialize_all = "kebab-case")]
pub(crate) enum ConfigOrigin {
    /// Read whole from its source.
    WholeRead,
    /// Reported by its source as a change.
    Feed,
    /// Received from the scheduler.
    Scheduler,
}
