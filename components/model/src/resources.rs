//! Amounts of a VM's resources.

use serde::{Deserialize, Serialize};

/// Amounts of processors, memory and accelerators.
///
/// ```
/// use model::Resources;
/// let worker = Resources::new(4_000, 8_192, 0);
/// let task = Resources::new(500, 1_024, 0);
/// assert!(task.fits_in(&worker));
/// assert_eq!(worker.minus(&task).memory_mb, 7_168);
/// ```
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Resources {
    /// Processors, in thousandths of one.
    pub processors_milli: u32,
    /// Memory, in mebibytes.
    pub memory_mb: u32,
    /// Accelerators, in whole devices.
    #[serde(default)]
    pub accelerators: u32,
}

impl Resources {
    /// Creates amounts from thousandths of a processor, mebibytes and whole devices.
    ///
    /// ```
    /// assert_eq!(model::Resources::new(1, 2, 3).accelerators, 3);
    /// ```
    pub const fn new(processors_milli: u32, memory_mb: u32, accelerators: u32) -> Self {
        Self {
            processors_milli,
            memory_mb,
            accelerators,
        }
    }

    /// Whether each amount is at most that of `available`.
    ///
    /// ```
    /// use model::Resources;
    /// assert!(!Resources::new(0, 0, 1).fits_in(&Resources::new(9, 9, 0)));
    /// ```
    pub fn fits_in(&self, available: &Self) -> bool {
        self.processors_milli <= available.processors_milli
            && self.memory_mb <= available.memory_mb
            && self.accelerators <= available.accelerators
    }

    /// Sum of each amount, saturating.
    ///
    /// ```
    /// use model::Resources;
    /// assert_eq!(Resources::new(1, 1, 1).plus(&Resources::new(1, 1, 1)).memory_mb, 2);
    /// ```
    pub fn plus(&self, other: &Self) -> Self {
        Self {
            processors_milli: self.processors_milli.saturating_add(other.processors_milli),
            memory_mb: self.memory_mb.saturating_add(other.memory_mb),
            accelerators: self.accelerators.saturating_add(other.accelerators),
        }
    }

    /// Difference of each amount, never below zero.
    ///
    /// ```
    /// use model::Resources;
    /// assert_eq!(Resources::new(1, 1, 0).minus(&Resources::new(2, 0, 0)).processors_milli, 0);
    /// ```
    pub fn minus(&self, other: &Self) -> Self {
        Self {
            processors_milli: self.processors_milli.saturating_sub(other.processors_milli),
            memory_mb: self.memory_mb.saturating_sub(other.memory_mb),
            accelerators: self.accelerators.saturating_sub(other.accelerators),
        }
    }

    /// The larger of each amount.
    ///
    /// ```
    /// use model::Resources;
    /// assert_eq!(Resources::new(1, 5, 0).max(&Resources::new(3, 2, 0)), Resources::new(3, 5, 0));
    /// ```
    pub fn max(&self, other: &Self) -> Self {
        Self {
            processors_milli: self.processors_milli.max(other.processors_milli),
            memory_mb: self.memory_mb.max(other.memory_mb),
            accelerators: self.accelerators.max(other.accelerators),
        }
    }

    /// Dominant resource share: the largest share that one of the amounts takes of `total`.
    ///
    /// It is infinite if an amount is positive and `total` has none of that resource.
    ///
    /// ```
    /// use model::Resources;
    /// let share = Resources::new(1, 50, 0).dominant_share(&Resources::new(100, 100, 0));
    /// assert_eq!(share, 0.5);
    /// ```
    pub fn dominant_share(&self, total: &Self) -> f64 {
        let shares = [
            share(self.processors_milli, total.processors_milli),
            share(self.memory_mb, total.memory_mb),
            share(self.accelerators, total.accelerators),
        ];
        shares.into_iter().fold(0.0, f64::max)
    }
}

/// Share of `part` in `whole`; 0 for no part, infinite for a part of nothing.
fn share(part: u32, whole: u32) -> f64 {
    match (part, whole) {
        (0, _) => 0.0,
        (_, 0) => f64::INFINITY,
        _ => f64::from(part) / f64::from(whole),
    }
}
