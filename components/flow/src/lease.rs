//! Leases of workers: how far the scheduler may extend them, and when they are surely over.
//!
//! All bounds start from an event in the past that both sides saw, so that messages which are
//! delayed, or processes that stand still, only make a lease shorter.

/// Slowest rate of a worker's clock, in thousandths of the true rate.
const SLOWEST_CLOCK_MILLI: u64 = 975;

/// Lengths of leases.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LeaseTerms {
    /// Time from the scheduler's last proof of being the only one to the end of a lease, in
    /// milliseconds, while the table answers.
    pub term_ms: u64,
    /// The same while the table does not answer, so that an outage costs no work.
    pub outage_term_ms: u64,
    /// Age of the proof from which the table counts as not answering, in milliseconds.
    pub outage_after_ms: u64,
    /// Time after the end of a lease until nothing runs any more, in milliseconds.
    pub slack_ms: u64,
}

/// A reading of a worker's clock.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ClockSample {
    /// What the worker's clock showed.
    pub clock_ms: u64,
    /// When the reading arrived, which is after it was taken.
    pub received_ms: u64,
}

impl ClockSample {
    /// The end of a lease on the worker's clock that is surely over at `until_ms` of ours.
    ///
    /// ```
    /// let sample = flow::ClockSample { clock_ms: 50_000, received_ms: 1_000 };
    /// let lease = sample.lease_until(5_000);
    /// assert!(sample.expired_ms(lease) <= 5_000);
    /// ```
    pub fn lease_until(&self, until_ms: u64) -> u64 {
        let span_ms = until_ms.saturating_sub(self.received_ms);
        self.clock_ms + span_ms * SLOWEST_CLOCK_MILLI / 1_000
    }

    /// When a lease up to `lease_until_clock_ms` of the worker's clock is surely over.
    ///
    /// ```
    /// let sample = flow::ClockSample { clock_ms: 50_000, received_ms: 1_000 };
    /// assert!(sample.expired_ms(54_000) >= 5_000);
    /// ```
    pub fn expired_ms(&self, lease_until_clock_ms: u64) -> u64 {
        let span_ms = lease_until_clock_ms.saturating_sub(self.clock_ms);
        self.received_ms + (span_ms * 1_000).div_ceil(SLOWEST_CLOCK_MILLI)
    }
}

impl LeaseTerms {
    /// Until when a lease may run that rests on a proof of `proof_ms`.
    ///
    /// ```
    /// let terms = flow::LeaseTerms {
    ///     term_ms: 4_000, outage_term_ms: 6_000, outage_after_ms: 1_000, slack_ms: 300,
    /// };
    /// assert_eq!(terms.until_ms(10_500, 10_000), 14_000);
    /// assert_eq!(terms.until_ms(12_000, 10_000), 16_000);
    /// ```
    pub fn until_ms(&self, now_ms: u64, proof_ms: u64) -> u64 {
        let age_ms = now_ms.saturating_sub(proof_ms);
        if age_ms < self.outage_after_ms {
            proof_ms + self.term_ms
        } else {
            proof_ms + self.outage_term_ms
        }
    }

    /// Time after taking over until nothing runs any more on a worker that can't be reached.
    ///
    /// ```
    /// let terms = flow::LeaseTerms {
    ///     term_ms: 4_000, outage_term_ms: 6_000, outage_after_ms: 1_000, slack_ms: 300,
    /// };
    /// assert!(terms.takeover_wait_ms() >= 6_300);
    /// ```
    pub fn takeover_wait_ms(&self) -> u64 {
        self.outage_term_ms.max(self.term_ms) + self.slack_ms
    }
}
