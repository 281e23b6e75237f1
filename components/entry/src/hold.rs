//! Memory for the bodies that an entry holds.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

/// Part of each body that is not counted, so that large bodies crowd out no small ones.
const FREE_BYTES: usize = 16 << 10;

/// Memory for the bodies that an entry holds; clones share it.
#[derive(Debug, Clone)]
pub(crate) struct HeldBodies {
    /// Most bytes of all bodies together.
    limit_bytes: usize,
    /// Bytes in use.
    used_bytes: Arc<AtomicUsize>,
}

/// Memory of one body, given back when it is dropped.
#[derive(Debug)]
pub(crate) struct Hold {
    /// What it is part of.
    all: HeldBodies,
    /// Bytes counted for this body.
    bytes: usize,
}

impl HeldBodies {
    /// Memory of so many bytes.
    pub fn new(limit_bytes: usize) -> Self {
        Self {
            limit_bytes,
            used_bytes: Arc::default(),
        }
    }

    /// Room for a body that is empty so far.
    pub fn hold(&self) -> Hold {
        Hold {
            all: self.clone(),
            bytes: 0,
        }
    }
}

impl Hold {
    /// Makes room for a body of so many bytes; answers whether there is any.
    pub fn grow_to(&mut self, body_bytes: usize) -> bool {
        let counted = body_bytes.saturating_sub(FREE_BYTES);
        let more = counted.saturating_sub(self.bytes);
        if more == 0 {
            return true;
        }
        let limit = self.all.limit_bytes;
        let grown = |used: usize| used.checked_add(more).filter(|used| *used <= limit);
        let used = &self.all.used_bytes;
        let taken = used.fetch_update(Ordering::Relaxed, Ordering::Relaxed, grown);
        if taken.is_ok() {
            self.bytes = counted;
        }
        taken.is_ok()
    }
}

impl Drop for Hold {
    fn drop(&mut self) {
        self.all.used_bytes.fetch_sub(self.bytes, Ordering::Relaxed);
    }
}
