//! Output formats of the log.

use strum::{Display, EnumString, VariantNames};

/// Output format of the log, parsed from the `--log-format` option.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, EnumString, VariantNames)]
#[strum(serialize_all = "kebab-case")]
pub enum LogFormat {
    /// One line of text per event.
    Text,
    /// One JSON object per event, each on its own line.
    Json,
}
