//! Class of a request by its expected run time.

use strum::{Display, EnumString};

/// Class of a request by its expected run time.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Display, EnumString)]
#[strum(serialize_all = "kebab-case")]
pub enum Class {
    /// Expected to end before the service's `long_threshold_ms`, or without known run times.
    Short,
    /// Expected to run for at least the service's `long_threshold_ms`.
    Long,
}
