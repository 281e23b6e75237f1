//! Shares of the process's memory for what callers set.

use http_server::{Budget, ConnectionCounters};

/// Bytes of a mebibyte.
const MIB: usize = 1 << 20;
/// Connections of callers for each mebibyte; an idle one takes some 17 KB.
const CONNECTIONS_PER_MIB: usize = 14;
/// Most connections of callers; each takes a descriptor, of which the process has some 4,000.
const MAX_CONNECTIONS: usize = 3_500;
/// Connections whose answers wait for their callers, for each mebibyte in eighths; one takes up to
/// some 100 KB.
const BLOCKED_CONNECTIONS_PER_8_MIB: usize = 3;
/// Share of the memory for bodies that are read and submissions that wait, in percent.
const REQUESTS_PERCENT: usize = 10;
/// Bytes of each request that are not counted, so that large requests can't crowd out small ones.
const UNCOUNTED_REQUEST_BYTES: usize = 4 << 10;
/// Share of the memory for accepted and ended flows and the states of their tasks, in percent.
const FLOWS_PERCENT: usize = 35;

/// Shares of the process's memory for what callers set; clones share their use.
#[derive(Debug, Clone)]
pub struct MemoryShares {
    /// Most connections of callers.
    pub connections: usize,
    /// Most connections whose answers wait for their callers.
    pub blocked_connections: usize,
    /// Counts of the connections.
    pub counters: ConnectionCounters,
    /// Memory for bodies that are being read, and for submissions that wait for the store.
    pub requests: Budget,
    /// Most bytes of accepted and ended flows and the states of their tasks in the scheduler. An entry
    /// that is not the scheduler holds none.
    pub flow_bytes: usize,
}

impl MemoryShares {
    /// Shares of `memory_mb` mebibytes.
    ///
    /// ```
    /// let shares = flow_entry::MemoryShares::new(160);
    /// assert_eq!((shares.connections, shares.flow_bytes), (2_240, 56 << 20));
    /// ```
    pub fn new(memory_mb: u32) -> Self {
        let memory_mib = memory_mb as usize;
        let percent = |share: usize| memory_mib * MIB * share / 100;
        Self {
            connections: (memory_mib * CONNECTIONS_PER_MIB).min(MAX_CONNECTIONS),
            blocked_connections: memory_mib * BLOCKED_CONNECTIONS_PER_8_MIB / 8,
            counters: ConnectionCounters::default(),
            requests: Budget::new(percent(REQUESTS_PERCENT), UNCOUNTED_REQUEST_BYTES),
            flow_bytes: percent(FLOWS_PERCENT),
        }
    }
}
