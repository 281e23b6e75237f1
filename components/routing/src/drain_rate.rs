//! Estimate of how fast a queue drains.

use utils::Ewma;

/// Dispatches that the moving average covers.
const EWMA_SAMPLES: f64 = 64.0;
/// Gap between dispatches after which the earlier average is discarded.
const STALE_MS: u64 = 1_000;

/// Moving average of the time between two dispatches while the queue is not empty.
///
/// ```
/// let mut rate = routing::DrainRate::default();
/// rate.record_dispatch(0, true);
/// rate.record_dispatch(10, true);
/// assert_eq!(rate.expected_wait_ms(5), Some(50));
/// ```
#[derive(Debug, Clone, Copy)]
pub struct DrainRate {
    /// Average gap between dispatches, in milliseconds.
    gap_ms: Ewma,
    /// Time of the last dispatch; `None` if it left the queue empty.
    last_ms: Option<u64>,
}

impl Default for DrainRate {
    fn default() -> Self {
        Self {
            gap_ms: Ewma::new(EWMA_SAMPLES),
            last_ms: None,
        }
    }
}

impl DrainRate {
    /// Records a dispatch; `others_wait` is whether the queue still holds requests after it.
    pub fn record_dispatch(&mut self, now_ms: u64, others_wait: bool) {
        if let Some(last_ms) = self.last_ms {
            let gap_ms = now_ms.saturating_sub(last_ms);
            if gap_ms > STALE_MS {
                self.gap_ms = Ewma::new(EWMA_SAMPLES);
            } else {
                self.gap_ms.add(gap_ms as f64);
            }
        }
        self.last_ms = others_wait.then_some(now_ms);
    }

    /// Expected time in the queue behind `ahead` requests; `None` before the first measured gap.
    pub fn expected_wait_ms(&self, ahead: usize) -> Option<u64> {
        self.gap_ms
            .get()
            .map(|gap_ms| (gap_ms * ahead as f64) as u64)
    }
}
