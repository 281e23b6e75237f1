//! Counts the network traffic of datagrams.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

/// Size of a datagram's headers over IPv4, in bytes: 20 of IP and 8 of UDP.
const HEADER_BYTES: u64 = 28;

/// Counts sent and received bytes of datagrams, headers included; clones share their counters.
#[derive(Debug, Clone, Default)]
pub struct Meter {
    /// Bytes sent since the last [`Meter::take_sent`].
    sent_bytes: Arc<AtomicU64>,
    /// Bytes received since the last [`Meter::take_received`].
    received_bytes: Arc<AtomicU64>,
}

impl Meter {
    /// Counts a sent datagram with this size of payload.
    pub(crate) fn record_sent(&self, payload_bytes: usize) {
        let bytes = HEADER_BYTES + payload_bytes as u64;
        self.sent_bytes.fetch_add(bytes, Ordering::Relaxed);
    }

    /// Counts a received datagram with this size of payload.
    pub(crate) fn record_received(&self, payload_bytes: usize) {
        let bytes = HEADER_BYTES + payload_bytes as u64;
        self.received_bytes.fetch_add(bytes, Ordering::Relaxed);
    }

    /// Returns the bytes sent since the last call, and resets the counter.
    ///
    /// ```
    /// assert_eq!(wire::Meter::default().take_sent(), 0);
    /// ```
    pub fn take_sent(&self) -> u64 {
        self.sent_bytes.swap(0, Ordering::Relaxed)
    }

    /// Returns the bytes received since the last call, and resets the counter.
    ///
    /// ```
    /// assert_eq!(wire::Meter::default().take_received(), 0);
    /// ```
    pub fn take_received(&self) -> u64 {
        self.received_bytes.swap(0, Ordering::Relaxed)
    }
}
