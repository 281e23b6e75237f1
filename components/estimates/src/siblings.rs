//! Run times of tasks of the same step of the same flow that have ended.

/// Number of run times that are kept, the newest ones.
const KEPT: usize = 8;
/// Number of run times below which each counts half, as their median may be an exception.
const FEW: usize = 3;

/// Run times of the newest tasks of a step that have ended. They are the best predictor of the others.
///
/// ```
/// let mut siblings = estimates::Siblings::default();
/// siblings.observe(900);
/// siblings.observe(1_100);
/// siblings.observe(7_000);
/// assert_eq!(siblings.median_ms(), Some(1_100));
/// ```
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Siblings {
    /// Run times, in milliseconds.
    newest_ms: [u32; KEPT],
    /// Number of observed run times.
    count: u32,
}

impl Siblings {
    /// Adds a run time.
    ///
    /// ```
    /// let mut siblings = estimates::Siblings::default();
    /// assert_eq!(siblings.median_ms(), None);
    /// siblings.observe(5);
    /// assert_eq!(siblings.median_ms(), Some(5));
    /// ```
    pub fn observe(&mut self, run_ms: u64) {
        let run_ms = u32::try_from(run_ms).unwrap_or(u32::MAX);
        self.newest_ms[self.count as usize % KEPT] = run_ms;
        self.count = self.count.wrapping_add(1);
    }

    /// Median of the kept run times, in milliseconds; `None` before the first.
    ///
    /// ```
    /// assert_eq!(estimates::Siblings::default().median_ms(), None);
    /// ```
    pub fn median_ms(&self) -> Option<u64> {
        let mut sorted = self.newest_ms;
        let kept = &mut sorted[..self.kept()];
        kept.sort_unstable();
        let middle = kept.len().checked_sub(1)? / 2;
        kept.get(middle).copied().map(u64::from)
    }

    /// Weight of the median against an estimate by class.
    pub(crate) fn weight(&self) -> f64 {
        let kept = self.kept();
        if kept < FEW {
            kept as f64 / 2.0
        } else {
            kept as f64
        }
    }

    fn kept(&self) -> usize {
        KEPT.min(self.count as usize)
    }
}
