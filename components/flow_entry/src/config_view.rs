//! The configuration in force, shared between the control thread and the servers.

use arc_swap::ArcSwap;
use flow::FlowConfig;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

/// Time since the last confirmation after which the configuration may be outdated, in milliseconds.
/// The platform allows a change this long until it is in force.
const MAX_CONFIRMED_AGE_MS: u64 = 2_000;

/// The configuration in force and when it was last confirmed as the newest; clones share both.
#[derive(Debug, Clone, Default)]
pub(crate) struct ConfigView {
    /// Configuration in force; its version is 0 until one was read.
    config: Arc<ArcSwap<FlowConfig>>,
    /// When the last answered read of the source was sent; 0 before the first.
    confirmed_ms: Arc<AtomicU64>,
}

impl ConfigView {
    /// The configuration in force.
    pub fn load(&self) -> Arc<FlowConfig> {
        self.config.load_full()
    }

    /// Puts a configuration in force.
    pub fn store(&self, config: FlowConfig) {
        self.config.store(Arc::new(config));
    }

    /// Records that the configuration in force was the newest at `at_ms`.
    pub fn confirm(&self, at_ms: u64) {
        self.confirmed_ms.fetch_max(at_ms, Ordering::Relaxed);
    }

    /// Whether the configuration in force was confirmed recently enough that no change can have
    /// been due since.
    pub fn is_confirmed(&self, now_ms: u64) -> bool {
        now_ms <= self.confirmed_ms.load(Ordering::Relaxed) + MAX_CONFIRMED_AGE_MS
    }
}
