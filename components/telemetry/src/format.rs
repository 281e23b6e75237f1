//! Forms of the log.

use strum::{Display, EnumString, VariantNames};

/// Form of the log.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, EnumString, VariantNames)]
#[strum(serialize_all = "kebab-case")]
pub enum LogFormat {
    /// One line of text an event.
    Text,
    /// One JSON object an event.
    Json,
}
