//! Limit of the calls of the table that are in flight for callers.

use std::time::Duration;
use tokio::sync::{Semaphore, SemaphorePermit};
use utils::boot_ms;

/// Limits calls in flight; further ones wait for their turn.
#[derive(Debug)]
pub(crate) struct CallLimit(Semaphore);

impl CallLimit {
    /// Creates a limit of `calls` calls in flight.
    pub fn new(calls: usize) -> Self {
        Self(Semaphore::new(calls))
    }

    /// Waits for a turn until `until_ms`. `None` if there was none, so that nothing may be called.
    pub async fn turn(&self, until_ms: u64) -> Option<SemaphorePermit<'_>> {
        if let Ok(turn) = self.0.try_acquire() {
            return Some(turn);
        }
        let wait = Duration::from_millis(until_ms.saturating_sub(boot_ms()));
        let turn = tokio::time::timeout(wait, self.0.acquire()).await;
        turn.ok()?.ok()
    }
}
