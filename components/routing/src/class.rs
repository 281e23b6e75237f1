//! Run-time classes.

use strum::{Display, EnumString};

/// Whether a request is expected to run long.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Display, EnumString)]
#[strum(serialize_all = "kebab-case")]
pub enum Class {
    /// Expected to end before the service's threshold, or nothing is known.
    Short,
    /// Expected to outrun the service's threshold.
    Long,
}
