//! Election of the scheduler: tracks the lease and its owner, and decides when to claim the lease.

use crate::former::FormerLeases;
use crate::rows::{LEASE_KEY, LeaseRow};
use backing::Row;
use telemetry::{Event, log_event};

/// Time for which the lease's row has to be unchanged before another entry claims it, in
/// milliseconds. It exceeds the interval between two renewals.
const UNCHANGED_MS: u64 = 900;
/// Age of the owner's last confirmation of leadership from which its lease counts as expired, in
/// milliseconds.
const OWNER_TIMEOUT_MS: u64 = 1_600;
/// Age of the owner's last confirmation of leadership from which the lease's row is polled, in
/// milliseconds. It exceeds the interval between two renewals and between two probes.
const OWNER_DOUBT_MS: u64 = 800;
/// Consecutive refused connections that prove that the owner's process has ended.
const MIN_REFUSALS: u32 = 2;
/// Delay before a claim by an entry whose share of a processor is 0, in milliseconds.
const MAX_CLAIM_DELAY_MS: f64 = 200.0;

/// The scheduler's lease and its owner, as last seen by this entry.
#[derive(Debug, Default)]
pub(crate) struct Election {
    /// The lease; absent if no entry ever claimed it, or if its row can't be read.
    pub row: Option<LeaseRow>,
    /// Version of the lease's row; absent before the first read or if there is no row.
    pub version: Option<u64>,
    /// Whether the row was read at least once.
    is_read: bool,
    /// When that version was first seen.
    version_seen_ms: u64,
    /// When the row was last read.
    read_ms: u64,
    /// When the owner last confirmed its leadership, by the age that it reported.
    owner_confirmed_ms: u64,
    /// Consecutive refused connections to the owner.
    refusals: u32,
    /// Delay before a claim compared with an entry that has a whole processor, in
    /// milliseconds.
    claim_delay_ms: u64,
}

impl Election {
    /// Creates an election that has not read the lease yet. A larger `processor_share` makes this
    /// entry claim a free lease earlier.
    pub fn new(processor_share: f64) -> Self {
        let missing_share = 1.0 - processor_share.clamp(0.0, 1.0);
        Self {
            claim_delay_ms: (MAX_CLAIM_DELAY_MS * missing_share) as u64,
            ..Self::default()
        }
    }

    /// Records the row of the lease, as just read or written.
    pub fn observe(&mut self, now_ms: u64, row: Option<&Row>) {
        let version = row.map(|row| row.version);
        self.read_ms = now_ms;
        if self.is_read && version == self.version {
            return;
        }
        let before = self.row.take();
        self.row = row.and_then(|row| LeaseRow::parse(&row.value));
        self.version = version;
        if let (None, Some(version)) = (&self.row, version) {
            log_event!(
                error,
                Event::RowUnreadable,
                key = LEASE_KEY,
                version,
                reason = "no lease"
            );
        }
        self.version_seen_ms = now_ms;
        let is_new_owner = before.map(|row| row.epoch) != self.row.as_ref().map(|row| row.epoch);
        if is_new_owner || !self.is_read {
            self.owner_confirmed_ms = now_ms;
            self.refusals = 0;
        }
        self.is_read = true;
    }

    /// Leases that the owner and earlier schedulers may have granted, of `longest_ms` at most.
    pub fn former_leases(&self, longest_ms: u64) -> FormerLeases {
        FormerLeases::of(self.row.as_ref(), self.version_seen_ms, longest_ms)
    }

    /// Epoch of the next claim, above that of every claim so far. Over a row that can't be read,
    /// this is the row's version: versions count all transactions, and each claim is one.
    pub fn next_epoch(&self) -> u64 {
        match (&self.row, self.version) {
            (Some(row), _) => row.epoch + 1,
            (None, Some(version)) => version,
            (None, None) => 1,
        }
    }

    /// Records a probe reply of the owner, whose last confirmation of leadership has this age. An
    /// owner that can't renew the lease counts as silent since then.
    pub fn on_answer(&mut self, now_ms: u64, confirmation_age_ms: u64) {
        self.refusals = 0;
        let confirmed_ms = now_ms.saturating_sub(confirmation_age_ms);
        self.owner_confirmed_ms = self.owner_confirmed_ms.max(confirmed_ms);
    }

    /// Records that the owner's address refuses connections.
    pub fn on_refused(&mut self) {
        self.refusals += 1;
    }

    /// Records that the process at the owner's address replied that it is not the scheduler.
    pub fn on_not_scheduler(&mut self, now_ms: u64) {
        self.owner_confirmed_ms = self
            .owner_confirmed_ms
            .min(now_ms.saturating_sub(OWNER_DOUBT_MS));
    }

    /// Whether the lease's row is to be read now, at most once per `interval_ms`.
    pub fn is_read_due(&self, now_ms: u64, interval_ms: u64) -> bool {
        let is_due = now_ms >= self.read_ms + interval_ms;
        let is_doubtful = now_ms >= self.owner_confirmed_ms + OWNER_DOUBT_MS || self.refusals > 0;
        !self.is_read || (is_due && is_doubtful)
    }

    /// Whether this entry may claim the lease now.
    pub fn can_claim(&self, now_ms: u64, own_id: &str, incarnation: u64) -> bool {
        if !self.is_read {
            return false;
        }
        let unchanged_ms = now_ms.saturating_sub(self.version_seen_ms);
        let Some(row) = &self.row else {
            return unchanged_ms >= self.claim_delay_ms;
        };
        if row.owner == own_id && row.incarnation != incarnation {
            return true;
        }
        if row.released || self.refusals >= MIN_REFUSALS {
            return unchanged_ms >= self.claim_delay_ms;
        }
        let is_owner_expired = now_ms >= self.owner_confirmed_ms + OWNER_TIMEOUT_MS;
        is_owner_expired
            && unchanged_ms >= UNCHANGED_MS + self.claim_delay_ms
            && now_ms < self.read_ms + UNCHANGED_MS
    }

    /// Whether this process owns the lease, that is, this start of this entry.
    pub fn is_mine(&self, own_id: &str, incarnation: u64) -> bool {
        self.row.as_ref().is_some_and(|row| {
            row.owner == own_id && row.incarnation == incarnation && !row.released
        })
    }
}
