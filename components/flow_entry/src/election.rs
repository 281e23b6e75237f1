//! Who is the scheduler: watches the lease and decides when to take it over.

use crate::rows::LeaseRow;
use backing::Row;

/// Time for which the lease has to be seen unchanged before it is taken over, in milliseconds: more
/// than the time between two renewals.
const LEASE_MS: u64 = 900;
/// Time without a new proof of the owner after which it counts as gone, in milliseconds.
const GONE_MS: u64 = 1_600;
/// Time without a new proof of the owner after which the lease is watched, in milliseconds: more
/// than the time between two renewals and between two signs of life.
const SILENT_MS: u64 = 800;
/// Refused connections in a row that prove that the owner's process has ended.
const REFUSALS: u32 = 2;
/// Longest extra wait of the entry with the smallest share of a processor, in milliseconds.
const RANK_DELAY_MS: f64 = 200.0;

/// The lease as an entry last saw it.
#[derive(Debug, Default)]
pub(crate) struct Election {
    /// The lease; absent if nobody ever had it.
    pub row: Option<LeaseRow>,
    /// Version of its row; absent before it was read or if there is none.
    pub version: Option<u64>,
    /// Whether the row was ever read.
    read: bool,
    /// When that version was first seen.
    since_ms: u64,
    /// When the row was last read.
    read_ms: u64,
    /// When the owner last had a proof, by what it answered.
    heard_ms: u64,
    /// Refused connections to the owner in a row.
    refusals: u32,
    /// Time that this entry waits longer than one with a whole processor, in milliseconds.
    delay_ms: u64,
}

impl Election {
    /// An election in which an entry with more of a processor comes first.
    pub fn new(processor_share: f64) -> Self {
        let lack = 1.0 - processor_share.clamp(0.0, 1.0);
        Self {
            delay_ms: (RANK_DELAY_MS * lack) as u64,
            ..Self::default()
        }
    }

    /// Takes in the row of the lease.
    pub fn observe(&mut self, now_ms: u64, row: Option<&Row>) {
        let version = row.map(|row| row.version);
        self.read_ms = now_ms;
        if self.read && version == self.version {
            return;
        }
        let before = self.row.take();
        self.row = row.and_then(|row| serde_json::from_str(&row.value).ok());
        self.version = version;
        self.since_ms = now_ms;
        let is_new_owner = before.map(|row| row.epoch) != self.row.as_ref().map(|row| row.epoch);
        if is_new_owner || !self.read {
            self.heard_ms = now_ms;
            self.refusals = 0;
        }
        self.read = true;
    }

    /// The owner answered as such, with a proof of this age; one that can't renew its proof is as
    /// good as silent since then.
    pub fn on_answer(&mut self, now_ms: u64, proof_age_ms: u64) {
        self.refusals = 0;
        let proof_ms = now_ms.saturating_sub(proof_age_ms);
        self.heard_ms = self.heard_ms.max(proof_ms);
    }

    /// The owner's address refuses connections.
    pub fn on_refused(&mut self) {
        self.refusals += 1;
    }

    /// The process at the owner's address is not the owner.
    pub fn on_denied(&mut self, now_ms: u64) {
        self.heard_ms = self.heard_ms.min(now_ms.saturating_sub(SILENT_MS));
    }

    /// Whether the row is to be read now.
    pub fn wants_read(&self, now_ms: u64, every_ms: u64) -> bool {
        let is_due = now_ms >= self.read_ms + every_ms;
        let is_doubtful = now_ms >= self.heard_ms + SILENT_MS || self.refusals > 0;
        !self.read || (is_due && is_doubtful)
    }

    /// Whether to take the lease over now.
    pub fn wants_claim(&self, now_ms: u64, me: &str, incarnation: u64) -> bool {
        if !self.read {
            return false;
        }
        let unchanged_ms = now_ms.saturating_sub(self.since_ms);
        let Some(row) = &self.row else {
            return unchanged_ms >= self.delay_ms;
        };
        if row.owner == me && row.incarnation != incarnation {
            return true;
        }
        if row.released || self.refusals >= REFUSALS {
            return unchanged_ms >= self.delay_ms;
        }
        let is_gone = now_ms >= self.heard_ms + GONE_MS;
        is_gone && unchanged_ms >= LEASE_MS + self.delay_ms && now_ms < self.read_ms + LEASE_MS
    }

    /// Whether the lease is held by this start of this entry.
    pub fn is_mine(&self, me: &str, incarnation: u64) -> bool {
        self.row
            .as_ref()
            .is_some_and(|row| row.owner == me && row.incarnation == incarnation && !row.released)
    }
}
