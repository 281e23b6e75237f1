//! Interface of the source of the configuration.

use async_trait::async_trait;
use backing::StoreError;
use flow::FlowConfig;

/// Result of one read of the configuration.
#[derive(Debug, Clone, PartialEq)]
pub struct ConfigUpdate {
    /// The whole configuration; `None` if it has not changed.
    pub config: Option<FlowConfig>,
    /// Cursor for the next read.
    pub cursor: u64,
}

/// Source from which an entry reads the configuration.
#[async_trait(?Send)]
pub trait ConfigSource {
    /// Reads the configuration if it changed since `cursor`, and waits up to `wait_ms` for a
    /// change. Without a cursor, reads it in any case.
    async fn next(&self, cursor: Option<u64>, wait_ms: u64) -> Result<ConfigUpdate, StoreError>;
}
