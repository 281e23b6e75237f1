//! State that the control thread publishes to the other threads.

use model::Config;

/// State of the entry that other threads read without a message to the control thread.
#[derive(Debug, Clone, Default)]
pub(crate) struct Snapshot {
    /// Configuration in force.
    pub config: Config,
    /// Whether a configuration was received since the start.
    pub has_config: bool,
    /// Whether neither the table nor any peer has been in contact for some seconds.
    pub cut_off: bool,
    /// Whether the entry is shutting down, so that load balancers must stop sending callers.
    pub is_draining: bool,
    /// Whether new requests are refused.
    pub refuses_requests: bool,
}

impl Snapshot {
    /// Whether load balancers may send callers here.
    pub fn is_ready(&self) -> bool {
        self.has_config && !self.cut_off && !self.is_draining
    }
}
