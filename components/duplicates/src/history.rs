//! Whether duplicates have been of use lately.

/// Number of the newest results that count.
const WINDOW: u32 = 16;
/// Number of results from which they limit further duplicates.
const MIN_RESULTS: u32 = 8;
/// Least number of duplicates of four that must have won.
const MIN_WON_OF_FOUR: u32 = 1;

/// Results of the newest duplicates. Where tasks are slow by nature, a second run is as slow as the first
/// and never wins.
///
/// ```
/// let mut history = duplicates::History::default();
/// assert_eq!(history.limit(), u32::MAX);
/// (0..16).for_each(|_| history.observe(false));
/// assert_eq!(history.limit(), 1);
/// ```
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct History {
    /// One bit for each of the newest results, set if the duplicate won; the newest is the lowest.
    won_bits: u32,
    /// Number of results, [`WINDOW`] at most.
    results: u32,
}

impl History {
    /// Adds the result of a duplicate: whether it, or the first run, succeeded first.
    pub fn observe(&mut self, won: bool) {
        let newest_bits = (1 << WINDOW) - 1;
        self.won_bits = (self.won_bits << 1 | u32::from(won)) & newest_bits;
        self.results = (self.results + 1).min(WINDOW);
    }

    /// Most duplicates that may run at once besides the budget: any number, or a single one that shows
    /// whether this has changed, if hardly any has won lately.
    pub fn limit(&self) -> u32 {
        let won = self.won_bits.count_ones();
        let is_useless = won * 4 < self.results * MIN_WON_OF_FOUR;
        if self.results >= MIN_RESULTS && is_useless {
            1
        } else {
            u32::MAX
        }
    }
}
