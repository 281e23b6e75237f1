//! State that the control thread publishes to the other threads.

use model::Config;

/// State of the entry that other threads read without a message to the control thread.
#[derive(Debug, Clone, Default)]
pub(crate) struct Snapshot {
    /// Configuration in force.
    pub config: Config,
    /// Whether a configuration was received since the start.
    pub has_config: bool,
    /// Whether the entry has had no contact to the table or any peer for the isolation timeout.
    pub is_isolated: bool,
    /// Whether the entry is shutting down, so that load balancers must stop sending callers.
    pub is_draining: bool,
    /// Whether new requests are refused.
    pub refuses_requests: bool,
}

impl Snapshot {
    /// Whether load balancers may send callers here.
    pub fn is_ready(&self) -> bool {
        self.has_config && !self.is_isolated && !self.is_draining
    }
}
