//! Memory budget for buffered request bodies.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

/// Bytes of each body that are not counted, so that large bodies can't crowd out small ones.
const UNCOUNTED_BYTES: usize = 16 << 10;

/// Memory budget for request bodies; clones share it.
#[derive(Debug, Clone)]
pub(crate) struct BodyBudget {
    /// Maximum total size, from `held_body_bytes`.
    limit_bytes: usize,
    /// Bytes currently reserved.
    used_bytes: Arc<AtomicUsize>,
}

/// Memory reserved for one body, released on drop.
#[derive(Debug)]
pub(crate) struct BodyReservation {
    /// Budget that the reservation counts against.
    budget: BodyBudget,
    /// Bytes counted against the budget for this body.
    bytes: usize,
}

impl BodyBudget {
    /// Creates a budget of this many bytes.
    pub fn new(limit_bytes: usize) -> Self {
        Self {
            limit_bytes,
            used_bytes: Arc::default(),
        }
    }

    /// Starts a reservation of zero bytes.
    pub fn reserve(&self) -> BodyReservation {
        BodyReservation {
            budget: self.clone(),
            bytes: 0,
        }
    }
}

impl BodyReservation {
    /// Grows the reservation to a body of this size. Returns false, and changes nothing, if the
    /// budget does not allow it.
    pub fn try_grow_to(&mut self, body_bytes: usize) -> bool {
        let counted = body_bytes.saturating_sub(UNCOUNTED_BYTES);
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

impl Drop for BodyReservation {
    fn drop(&mut self) {
        self.budget
            .used_bytes
            .fetch_sub(self.bytes, Ordering::Relaxed);
    }
}
