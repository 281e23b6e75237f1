//! What traffic threads read without asking the control thread.

use model::Config;

/// What traffic threads read without asking the control thread.
#[derive(Debug, Clone, Default)]
pub(crate) struct Snapshot {
    /// The configuration in force.
    pub config: Config,
    /// Whether a configuration was read since the start.
    pub loaded: bool,
    /// Whether neither the table nor any peer has answered for a while.
    pub cut_off: bool,
    /// Whether balancers are to send nothing more.
    pub leaving: bool,
    /// Whether new requests are refused.
    pub closed: bool,
}

impl Snapshot {
    /// Whether balancers may send callers here.
    pub fn is_ready(&self) -> bool {
        self.loaded && !self.cut_off && !self.leaving
    }
}
