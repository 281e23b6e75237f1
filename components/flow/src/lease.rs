//! Leases of workers: how far the scheduler may extend them, and when they are guaranteed to have
//! expired.
//!
//! All bounds are counted from a past event that both sides observed, so that delayed messages or
//! paused processes can only make a lease shorter. A worker holds at most the latest lease that was
//! offered to it in a call that may have arrived, so that an offer counts once, whatever becomes of
//! later calls.

use std::collections::BTreeMap;

/// Slowest assumed rate of a worker's clock, in thousandths of the true rate.
const SLOWEST_CLOCK_RATE_MILLI: u64 = 975;

/// Lengths of leases, counted from the last confirmation of leadership.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LeaseTerms {
    /// Time from the last confirmation of leadership to the end of a lease while the table is
    /// available, in milliseconds.
    pub term_ms: u64,
    /// The same time while the table is unavailable, in milliseconds; longer, so that an outage
    /// costs no work.
    pub outage_term_ms: u64,
    /// Age of the last confirmation from which the table counts as unavailable, in milliseconds.
    pub outage_after_ms: u64,
    /// Time after the end of a lease by which the worker has stopped its runs, in milliseconds.
    pub slack_ms: u64,
}

/// A sample of a worker's clock.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ClockSample {
    /// Value of the worker's clock, in milliseconds.
    pub clock_ms: u64,
    /// When the sample arrived on the scheduler's clock, in milliseconds; later than it was taken.
    pub received_ms: u64,
}

impl ClockSample {
    /// Latest end of a lease on the worker's clock that is guaranteed to have passed at `until_ms`
    /// on the scheduler's clock.
    ///
    /// ```
    /// let sample = flow::ClockSample { clock_ms: 50_000, received_ms: 1_000 };
    /// let lease = sample.lease_until(5_000);
    /// assert!(sample.expired_ms(lease) <= 5_000);
    /// ```
    pub fn lease_until(&self, until_ms: u64) -> u64 {
        let span_ms = until_ms.saturating_sub(self.received_ms);
        self.clock_ms + span_ms * SLOWEST_CLOCK_RATE_MILLI / 1_000
    }

    /// Time on the scheduler's clock at which a lease until `lease_until_clock_ms` on the worker's
    /// clock is guaranteed to have expired, in milliseconds.
    ///
    /// ```
    /// let sample = flow::ClockSample { clock_ms: 50_000, received_ms: 1_000 };
    /// assert!(sample.expired_ms(54_000) >= 5_000);
    /// ```
    pub fn expired_ms(&self, lease_until_clock_ms: u64) -> u64 {
        let span_ms = lease_until_clock_ms.saturating_sub(self.clock_ms);
        self.received_ms + (span_ms * 1_000).div_ceil(SLOWEST_CLOCK_RATE_MILLI)
    }
}

impl LeaseTerms {
    /// Latest end of a lease when leadership was last confirmed at `leadership_confirmed_ms`, on
    /// the scheduler's clock in milliseconds.
    ///
    /// ```
    /// let terms = flow::LeaseTerms {
    ///     term_ms: 4_000, outage_term_ms: 6_000, outage_after_ms: 1_000, slack_ms: 300,
    /// };
    /// assert_eq!(terms.until_ms(10_500, 10_000), 14_000);
    /// assert_eq!(terms.until_ms(12_000, 10_000), 16_000);
    /// ```
    pub fn until_ms(&self, now_ms: u64, leadership_confirmed_ms: u64) -> u64 {
        let age_ms = now_ms.saturating_sub(leadership_confirmed_ms);
        if age_ms < self.outage_after_ms {
            leadership_confirmed_ms + self.term_ms
        } else {
            leadership_confirmed_ms + self.outage_term_ms
        }
    }

    /// Longest time from the sending of the last commit that took effect until nothing runs any more
    /// under the leases that its sender granted, in milliseconds.
    ///
    /// ```
    /// let terms = flow::LeaseTerms {
    ///     term_ms: 4_000, outage_term_ms: 6_000, outage_after_ms: 1_000, slack_ms: 300,
    /// };
    /// assert!(terms.longest_ms() >= 6_300);
    /// ```
    pub fn longest_ms(&self) -> u64 {
        self.outage_term_ms.max(self.term_ms) + self.slack_ms
    }
}

/// Latest end of a lease that the scheduler may grant now, on its own clock.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LeaseLimit {
    /// End of the lease, in milliseconds.
    pub until_ms: u64,
    /// Time after the end by which the worker has stopped its runs, in milliseconds.
    pub slack_ms: u64,
}

/// Number of an offer of a lease, unique per worker.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct OfferId(u64);

/// Whether the call that carried an offer may have arrived.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Delivery {
    /// It may have arrived, or may still arrive.
    Possible,
    /// It was never sent.
    Impossible,
}

/// The leases that were offered to a worker.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Leases {
    /// When every lease that may have arrived is guaranteed to have expired, in milliseconds.
    settled_ms: u64,
    /// The same for each offer in a call that has not been answered and has not failed.
    in_flight_ms: BTreeMap<OfferId, u64>,
    /// Number of the next offer.
    next: u64,
}

impl Leases {
    /// Records the offer of a lease that is guaranteed to have expired at `expired_ms`.
    ///
    /// ```
    /// let mut leases = flow::Leases::default();
    /// leases.offer(4_000);
    /// assert_eq!(leases.expired_ms(), 4_000);
    /// ```
    pub fn offer(&mut self, expired_ms: u64) -> OfferId {
        let id = OfferId(self.next);
        self.next += 1;
        self.in_flight_ms.insert(id, expired_ms);
        id
    }

    /// Records what became of the call that carried an offer. An offer that can't have arrived does
    /// not count.
    ///
    /// ```
    /// let mut leases = flow::Leases::default();
    /// let offer = leases.offer(4_000);
    /// leases.settle(offer, flow::Delivery::Impossible);
    /// assert_eq!(leases.expired_ms(), 0);
    /// ```
    pub fn settle(&mut self, offer: OfferId, delivery: Delivery) {
        let expired_ms = self.in_flight_ms.remove(&offer).unwrap_or(0);
        match delivery {
            Delivery::Possible => self.settled_ms = self.settled_ms.max(expired_ms),
            Delivery::Impossible => {}
        }
    }

    /// When every lease that the worker may hold is guaranteed to have expired, in milliseconds; 0
    /// if none was offered.
    pub fn expired_ms(&self) -> u64 {
        let in_flight_ms = self.in_flight_ms.values().copied().max();
        self.settled_ms.max(in_flight_ms.unwrap_or(0))
    }
}
