//! What each of the queues that compete for a pool is entitled to.

use crate::Share;

/// Least weight of a queue; lower ones are raised to it.
pub const MIN_WEIGHT: f64 = 0.01;
/// Greatest weight of a queue; higher ones are lowered to it.
pub const MAX_WEIGHT: f64 = 100.0;

/// Use of a pool by a queue.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct QueueUse<'a> {
    /// Name of the queue.
    pub queue: &'a str,
    /// Weight, relative to those of the other queues.
    pub weight: f64,
    /// Dominant share of what it uses and what its queued tasks need, of the pool.
    pub demand: Share,
    /// Dominant share of what its placed runs take, of the pool.
    pub used: Share,
}

impl QueueUse<'_> {
    /// Weight within [`MIN_WEIGHT`] and [`MAX_WEIGHT`]; 1 if it is not a number.
    pub(crate) fn bounded_weight(&self) -> f64 {
        if self.weight.is_nan() {
            return 1.0;
        }
        self.weight.clamp(MIN_WEIGHT, MAX_WEIGHT)
    }

    /// Demand, which is at least what is used.
    fn bounded_demand(&self) -> f64 {
        self.demand.get().max(self.used.get())
    }
}

/// The part of the pool that each queue is entitled to, in the order of `uses`. What they use together is
/// divided by weight; what a queue does not demand is divided among the others (weighted max-min).
///
/// A queue uses more than its entitlement only while another one waits and uses less than its own: the
/// entitlements add up to what is used.
///
/// ```
/// use fair_share::{QueueUse, Share, entitlements};
/// let queue = |demand, used| QueueUse {
///     queue: "q", weight: 1.0, demand: Share::new(demand), used: Share::new(used),
/// };
/// // The first demands little; the second lends nothing to the third, which waits.
/// let parts = entitlements(&[queue(0.1, 0.1), queue(3.0, 0.8), queue(0.5, 0.1)]);
/// for (part, expected) in parts.iter().zip([0.1, 0.45, 0.45]) {
///     assert!((part - expected).abs() < 1e-9);
/// }
/// ```
pub fn entitlements(uses: &[QueueUse]) -> Vec<f64> {
    let mut by_need: Vec<usize> = (0..uses.len()).collect();
    let need = |index: &usize| uses[*index].bounded_demand() / uses[*index].bounded_weight();
    by_need.sort_by(|left, right| need(left).total_cmp(&need(right)));
    let mut rest: f64 = uses.iter().map(|one| one.used.get()).sum();
    let mut rest_weight: f64 = uses.iter().map(QueueUse::bounded_weight).sum();
    let mut parts = vec![0.0; uses.len()];
    for index in by_need {
        let weight = uses[index].bounded_weight();
        let share = rest.max(0.0) * (weight / rest_weight).min(1.0);
        parts[index] = share.min(uses[index].bounded_demand());
        rest -= parts[index];
        rest_weight -= weight;
    }
    parts
}
