//! Counts what datagrams cost.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

/// Headers of a datagram over IPv4: 20 bytes of IP and 8 of UDP.
const HEADER_BYTES: u64 = 28;

/// Counts bytes of datagrams, headers included; clones count together.
#[derive(Debug, Clone, Default)]
pub struct Meter {
    /// Bytes sent.
    sent_bytes: Arc<AtomicU64>,
    /// Bytes received.
    received_bytes: Arc<AtomicU64>,
}

impl Meter {
    /// Counts a datagram that was sent with a payload of so many bytes.
    pub(crate) fn sent(&self, payload_bytes: usize) {
        let bytes = HEADER_BYTES + payload_bytes as u64;
        self.sent_bytes.fetch_add(bytes, Ordering::Relaxed);
    }

    /// Counts a datagram that came with a payload of so many bytes.
    pub(crate) fn received(&self, payload_bytes: usize) {
        let bytes = HEADER_BYTES + payload_bytes as u64;
        self.received_bytes.fetch_add(bytes, Ordering::Relaxed);
    }

    /// Bytes sent since the last call.
    ///
    /// ```
    /// assert_eq!(wire::Meter::default().take_sent(), 0);
    /// ```
    pub fn take_sent(&self) -> u64 {
        self.sent_bytes.swap(0, Ordering::Relaxed)
    }

    /// Bytes received since the last call.
    ///
    /// ```
    /// assert_eq!(wire::Meter::default().take_received(), 0);
    /// ```
    pub fn take_received(&self) -> u64 {
        self.received_bytes.swap(0, Ordering::Relaxed)
    }
}
