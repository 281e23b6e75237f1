//! Lengths of the parts of a run.

/// Time after the last fault in which everything accepted has to be over, in milliseconds: a
/// worker's lease of 6 s, the takeover of the scheduler, and the work itself.
const SETTLE_MS: u64 = 30_000;

/// Lengths of the parts of a run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Spans {
    /// Time during which callers come and faults begin, in milliseconds.
    pub load_ms: u64,
    /// Time after that in which all accepted work has to be over, in milliseconds.
    pub settle_ms: u64,
}

impl Spans {
    /// Spans of a run with so much load.
    ///
    /// ```
    /// assert_eq!(soak::Spans::of(10_000).load_ms, 10_000);
    /// ```
    pub fn of(load_ms: u64) -> Self {
        Self {
            load_ms,
            settle_ms: SETTLE_MS,
        }
    }
}
