//! Use of queues beyond their entitlement, within a sliding window.

use crate::{QueueUse, entitlements};
use std::collections::VecDeque;
use utils::Map;

/// Length of the window, in milliseconds.
pub const WINDOW_MS: u64 = 10_000;
/// Most queues that are kept. A queue beyond them has no debt until the window of another is empty.
pub const MAX_QUEUES: usize = 256;
/// Time that one bucket covers, in milliseconds. The window moves by whole buckets.
const BUCKET_MS: u64 = 500;
/// Number of buckets in the window.
const BUCKETS: u64 = WINDOW_MS / BUCKET_MS;
/// Least excess that counts, as a part of a share. Sums of rounded numbers differ by less.
const LEAST_EXCESS: f64 = 1e-9;

/// Sums over the observed part of [`BUCKET_MS`].
#[derive(Debug, Clone, Copy, Default, PartialEq)]
struct Bucket {
    /// Time at which it begins, in units of [`BUCKET_MS`].
    number: u64,
    /// Observed time, in milliseconds.
    observed_ms: u64,
    /// Used part of the pool over time, in milliseconds.
    used_ms: f64,
    /// Used part beyond the entitlement over time, in milliseconds; negative if less was used.
    excess_ms: f64,
    /// Weighted share of what all queues used over time, in milliseconds.
    share_ms: f64,
}

/// Use of one queue within the window.
#[derive(Debug, Clone, Default, PartialEq)]
struct Window {
    /// Oldest first; at most [`BUCKETS`].
    buckets: VecDeque<Bucket>,
}

/// Use and debts of the queues.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct FairShares {
    windows: Map<String, Window>,
}

impl FairShares {
    /// Enters the use of the queues that compete for one pool, which has been the same for `lasted_ms`, at
    /// most [`WINDOW_MS`]. A new scheduler enters what it finds placed for the whole window.
    ///
    /// ```
    /// use fair_share::{FairShares, QueueUse, Share, WINDOW_MS};
    /// let queue = |queue, demand, used| QueueUse {
    ///     queue, weight: 1.0, demand: Share::new(demand), used: Share::new(used),
    /// };
    /// let mut shares = FairShares::default();
    /// let uses = [queue("a", 2.0, 0.9), queue("b", 1.0, 0.05), queue("c", 1.0, 0.05)];
    /// shares.observe(20_000, WINDOW_MS, &uses);
    /// assert!((shares.debt(20_000, "a") - 1.7).abs() < 1e-6);
    /// assert_eq!(shares.debt(20_000, "b"), 0.0);
    /// assert_eq!(shares.debt(30_500, "a"), 0.0);
    /// ```
    pub fn observe(&mut self, now_ms: u64, lasted_ms: u64, uses: &[QueueUse]) {
        let from_ms = now_ms.saturating_sub(lasted_ms.min(WINDOW_MS));
        self.windows.retain(|_, window| {
            window.expire(now_ms);
            !window.buckets.is_empty()
        });
        let total: f64 = uses.iter().map(|one| one.used.get()).sum();
        let weights: f64 = uses.iter().map(QueueUse::bounded_weight).sum();
        for (one, entitled) in uses.iter().zip(entitlements(uses)) {
            let used = one.used.get();
            let share = total * one.bounded_weight() / weights;
            let excess = used - entitled;
            let counted = excess.abs() > LEAST_EXCESS * total;
            let excess = if counted { excess } else { 0.0 };
            let is_full = self.windows.len() >= MAX_QUEUES;
            if is_full && !self.windows.contains_key(one.queue) {
                continue;
            }
            if used > 0.0 || one.demand.get() > 0.0 {
                let window = self.windows.entry(one.queue.to_owned()).or_default();
                window.enter(from_ms, now_ms, [used, excess, share]);
            }
        }
    }

    /// What a queue used beyond its entitlement while others waited, within the window, in units of its
    /// weighted share over the whole window. At least 0, and at most the sum of the weights of the queues
    /// it competed with relative to its own.
    ///
    /// ```
    /// assert_eq!(fair_share::FairShares::default().debt(1_000, "a"), 0.0);
    /// ```
    pub fn debt(&self, now_ms: u64, queue: &str) -> f64 {
        let Some(sum) = self.sum(now_ms, queue) else {
            return 0.0;
        };
        if sum.share_ms <= 0.0 || sum.excess_ms <= 0.0 {
            return 0.0;
        }
        sum.excess_ms / sum.share_ms * observed_part(&sum)
    }

    /// Mean part of the pool that a queue used within the window.
    ///
    /// ```
    /// assert_eq!(fair_share::FairShares::default().used(1_000, "a"), 0.0);
    /// ```
    pub fn used(&self, now_ms: u64, queue: &str) -> f64 {
        let sum = self.sum(now_ms, queue).unwrap_or_default();
        if sum.observed_ms == 0 {
            return 0.0;
        }
        sum.used_ms / sum.observed_ms as f64 * observed_part(&sum)
    }

    /// Number of queues that are kept.
    ///
    /// ```
    /// assert_eq!(fair_share::FairShares::default().queues(), 0);
    /// ```
    pub fn queues(&self) -> usize {
        self.windows.len()
    }

    /// Sums over the window of a queue; `None` if the queue is not kept.
    fn sum(&self, now_ms: u64, queue: &str) -> Option<Bucket> {
        let buckets = self.windows.get(queue)?.buckets.iter();
        let current = buckets.filter(|bucket| bucket.is_within(now_ms));
        Some(current.fold(Bucket::default(), |sum, bucket| Bucket {
            number: bucket.number,
            observed_ms: sum.observed_ms + bucket.observed_ms,
            used_ms: sum.used_ms + bucket.used_ms,
            excess_ms: sum.excess_ms + bucket.excess_ms,
            share_ms: sum.share_ms + bucket.share_ms,
        }))
    }
}

impl Bucket {
    /// Whether it belongs to the window that ends at `now_ms`. A bucket does not include its end, so that at
    /// its end it is the newest of the window.
    fn is_within(&self, now_ms: u64) -> bool {
        self.number + BUCKETS > now_ms.saturating_sub(1) / BUCKET_MS
    }
}

impl Window {
    fn expire(&mut self, now_ms: u64) {
        while self
            .buckets
            .front()
            .is_some_and(|bucket| !bucket.is_within(now_ms))
        {
            self.buckets.pop_front();
        }
    }

    /// Enters the used part, the excess and the weighted share of a time.
    fn enter(&mut self, from_ms: u64, to_ms: u64, [used, excess, share]: [f64; 3]) {
        let mut at_ms = from_ms;
        while at_ms < to_ms {
            let number = at_ms / BUCKET_MS;
            let end_ms = to_ms.min((number + 1) * BUCKET_MS);
            let span_ms = end_ms - at_ms;
            at_ms = end_ms;
            if let Some(bucket) = self.bucket(number, to_ms) {
                let span = span_ms as f64;
                bucket.observed_ms += span_ms;
                bucket.used_ms += used * span;
                bucket.excess_ms += excess * span;
                bucket.share_ms += share * span;
            }
        }
    }

    /// The bucket with a number, which is added if need be; `None` if it is not in the window.
    fn bucket(&mut self, number: u64, now_ms: u64) -> Option<&mut Bucket> {
        let added = Bucket {
            number,
            ..Bucket::default()
        };
        if !added.is_within(now_ms) {
            return None;
        }
        let at = self
            .buckets
            .partition_point(|bucket| bucket.number < number);
        if self.buckets.get(at).map(|bucket| bucket.number) != Some(number) {
            self.buckets.insert(at, added);
        }
        self.buckets.get_mut(at)
    }
}

/// Part of the window that was observed.
fn observed_part(sum: &Bucket) -> f64 {
    (sum.observed_ms as f64 / WINDOW_MS as f64).min(1.0)
}
