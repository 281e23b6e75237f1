//! The rate at which a queue drains.

use utils::Ewma;

/// Requests that an average remembers.
const SPAN: f64 = 64.0;
/// Pause after which the rate is measured anew.
const STALE_MS: u64 = 1_000;

/// Mean time between two dispatches while others wait.
///
/// ```
/// let mut rate = routing::DrainRate::default();
/// rate.dispatched(0, true);
/// rate.dispatched(10, true);
/// assert_eq!(rate.wait_ms(5), Some(50));
/// ```
#[derive(Debug, Clone, Copy)]
pub struct DrainRate {
    /// Mean gap between dispatches.
    gap_ms: Ewma,
    /// Time of the last dispatch that left others waiting.
    last_ms: Option<u64>,
}

impl Default for DrainRate {
    fn default() -> Self {
        Self {
            gap_ms: Ewma::new(SPAN),
            last_ms: None,
        }
    }
}

impl DrainRate {
    /// Counts a dispatch; `others_wait` tells whether the queue is not empty after it.
    pub fn dispatched(&mut self, now_ms: u64, others_wait: bool) {
        if let Some(last_ms) = self.last_ms {
            let gap_ms = now_ms.saturating_sub(last_ms);
            if gap_ms > STALE_MS {
                self.gap_ms = Ewma::new(SPAN);
            } else {
                self.gap_ms.add(gap_ms as f64);
            }
        }
        self.last_ms = others_wait.then_some(now_ms);
    }

    /// Expected wait behind `ahead` others, once anything is known.
    pub fn wait_ms(&self, ahead: usize) -> Option<u64> {
        self.gap_ms
            .get()
            .map(|gap_ms| (gap_ms * ahead as f64) as u64)
    }
}
