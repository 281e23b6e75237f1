//! Amounts of resources of many runs, and shares of a pool.

use model::Resources;

/// Resources of many runs or workers together.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Amount {
    /// Processors, in thousandths of one.
    pub processors_milli: u64,
    /// Memory, in mebibytes.
    pub memory_mb: u64,
    /// Accelerators, in whole devices.
    pub accelerators: u64,
}

impl Amount {
    /// Adds the resources of `count` runs or workers, saturating.
    ///
    /// ```
    /// let mut amount = fair_share::Amount::default();
    /// amount.add(&model::Resources::new(500, 100, 0), 3);
    /// assert_eq!((amount.processors_milli, amount.memory_mb), (1_500, 300));
    /// ```
    pub fn add(&mut self, each: &Resources, count: u64) {
        let add = |sum: &mut u64, each: u32| {
            *sum = sum.saturating_add(u64::from(each).saturating_mul(count));
        };
        add(&mut self.processors_milli, each.processors_milli);
        add(&mut self.memory_mb, each.memory_mb);
        add(&mut self.accelerators, each.accelerators);
    }

    /// The largest share that it is of any resource of a pool. A resource that the pool does not have is
    /// left out.
    ///
    /// ```
    /// use fair_share::{Amount, Share};
    /// let total = Amount { processors_milli: 8_000, memory_mb: 1_000, accelerators: 0 };
    /// let used = Amount { processors_milli: 2_000, memory_mb: 500, accelerators: 0 };
    /// assert_eq!(used.dominant_share(&total), Share::new(0.5));
    /// ```
    pub fn dominant_share(&self, total: &Self) -> Share {
        let parts = [
            (self.processors_milli, total.processors_milli),
            (self.memory_mb, total.memory_mb),
            (self.accelerators, total.accelerators),
        ];
        let shares = parts.iter().filter(|(_, total)| *total > 0);
        let shares = shares.map(|(used, total)| *used as f64 / *total as f64);
        Share::new(shares.fold(0.0, f64::max))
    }
}

/// Part of a pool; 1 is all of it. Demand may exceed the pool.
#[derive(Debug, Clone, Copy, Default, PartialEq, PartialOrd)]
pub struct Share(f64);

impl Share {
    /// A share; 0 for values that are negative or not finite.
    ///
    /// ```
    /// assert_eq!(fair_share::Share::new(f64::NAN).get(), 0.0);
    /// ```
    pub fn new(part: f64) -> Self {
        Self(if part.is_finite() { part.max(0.0) } else { 0.0 })
    }

    /// The part of the pool.
    ///
    /// ```
    /// assert_eq!(fair_share::Share::new(0.25).get(), 0.25);
    /// ```
    pub fn get(self) -> f64 {
        self.0
    }
}
