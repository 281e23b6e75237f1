//! Counts of connections, shared by the threads of a server.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

/// Counts of a server's connections; clones share them.
#[derive(Debug, Clone, Default)]
pub struct ConnectionCounters {
    /// Open connections that are served.
    open: Arc<AtomicUsize>,
    /// Connections of which a client does not take the answers.
    blocked: Arc<AtomicUsize>,
    /// Connections beyond the limit that are being refused.
    refused: Arc<AtomicUsize>,
}

/// What a [`CountGuard`] counts.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Counted {
    Open,
    Blocked,
    Refused,
}

/// One counted connection, until it is dropped.
#[derive(Debug)]
pub(crate) struct CountGuard(Arc<AtomicUsize>);

impl ConnectionCounters {
    /// Open connections that are served.
    ///
    /// ```
    /// assert_eq!(http_server::ConnectionCounters::default().open(), 0);
    /// ```
    pub fn open(&self) -> usize {
        self.open.load(Ordering::Relaxed)
    }

    /// Connections of which a client does not take the answers.
    ///
    /// ```
    /// assert_eq!(http_server::ConnectionCounters::default().blocked(), 0);
    /// ```
    pub fn blocked(&self) -> usize {
        self.blocked.load(Ordering::Relaxed)
    }

    /// Counts one more connection, unless there are `limit` already.
    pub(crate) fn count(&self, what: Counted, limit: usize) -> Option<CountGuard> {
        let count = match what {
            Counted::Open => &self.open,
            Counted::Blocked => &self.blocked,
            Counted::Refused => &self.refused,
        };
        let grown = |number: usize| (number < limit).then_some(number + 1);
        let updated = count.fetch_update(Ordering::Relaxed, Ordering::Relaxed, grown);
        updated.ok().map(|_| CountGuard(count.clone()))
    }
}

impl Drop for CountGuard {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}
