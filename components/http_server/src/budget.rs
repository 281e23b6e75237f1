//! Memory budget that several requests share.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

/// Memory budget for the contents of requests; clones share it.
#[derive(Debug, Clone)]
pub struct Budget {
    /// Most bytes that are reserved at once.
    limit_bytes: usize,
    /// Bytes of each reservation that are not counted, so that large contents can't crowd out small
    /// ones.
    uncounted_bytes: usize,
    /// Bytes currently reserved.
    used_bytes: Arc<AtomicUsize>,
}

/// Memory reserved for one request, released on drop.
#[derive(Debug)]
pub struct Reservation {
    /// Budget that the reservation counts against.
    budget: Budget,
    /// Bytes counted against the budget.
    bytes: usize,
}

impl Budget {
    /// Creates a budget of `limit_bytes`, of which each reservation gets `uncounted_bytes` on top.
    ///
    /// ```
    /// let budget = http_server::Budget::new(100, 10);
    /// let mut first = budget.reserve();
    /// assert!(first.try_grow_to(110) && !budget.reserve().try_grow_to(11));
    /// assert!(budget.reserve().try_grow_to(10));
    /// drop(first);
    /// assert_eq!(budget.used_bytes(), 0);
    /// ```
    pub fn new(limit_bytes: usize, uncounted_bytes: usize) -> Self {
        Self {
            limit_bytes,
            uncounted_bytes,
            used_bytes: Arc::default(),
        }
    }

    /// Starts a reservation of zero bytes.
    pub fn reserve(&self) -> Reservation {
        Reservation {
            budget: self.clone(),
            bytes: 0,
        }
    }

    /// Bytes currently reserved.
    pub fn used_bytes(&self) -> usize {
        self.used_bytes.load(Ordering::Relaxed)
    }

    /// Most bytes that are reserved at once.
    pub fn limit_bytes(&self) -> usize {
        self.limit_bytes
    }
}

impl Reservation {
    /// Grows the reservation to contents of this size. Returns false, and changes nothing, if the
    /// budget does not allow it.
    pub fn try_grow_to(&mut self, content_bytes: usize) -> bool {
        let counted = content_bytes.saturating_sub(self.budget.uncounted_bytes);
        let more = counted.saturating_sub(self.bytes);
        if more == 0 {
            return true;
        }
        let limit = self.budget.limit_bytes;
        let grown = |used: usize| used.checked_add(more).filter(|used| *used <= limit);
        let used = &self.budget.used_bytes;
        let updated = used.fetch_update(Ordering::Relaxed, Ordering::Relaxed, grown);
        if updated.is_ok() {
            self.bytes = counted;
        }
        updated.is_ok()
    }
}

impl Drop for Reservation {
    fn drop(&mut self) {
        self.budget
            .used_bytes
            .fetch_sub(self.bytes, Ordering::Relaxed);
    }
}
