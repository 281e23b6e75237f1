//! Where the configuration comes from.

use async_trait::async_trait;
use backing::StoreError;
use flow::FlowConfig;

/// What a look for a configuration gave.
#[derive(Debug, Clone, PartialEq)]
pub struct ConfigUpdate {
    /// The configuration, if it changed.
    pub config: Option<FlowConfig>,
    /// Where to go on from.
    pub cursor: u64,
}

/// Where the configuration comes from.
#[async_trait(?Send)]
pub trait ConfigSource {
    /// The configuration if it changed since `cursor`, or in any case without one; waits up to
    /// `wait_ms` for a change.
    async fn next(&self, cursor: Option<u64>, wait_ms: u64) -> Result<ConfigUpdate, StoreError>;
}
