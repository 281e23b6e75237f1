//! Order of the heartbeats that an agent gets: which one is newer than the newest so far.
//!
//! Heartbeats may be late, and one may come from another writer with an absurd start or number. The
//! worker itself, which answers polls, and its later heartbeats correct that. Start times don't order
//! incarnations, as the time of day may be set back: one that the agent has seen replaced never counts
//! again, and only among others does the later start count as the newer one.

use flow::Incarnation;

/// Time since the newest heartbeat from which lower numbers of the same incarnation may count again,
/// in milliseconds. A heartbeat is delayed by less, or one with a higher number arrives meanwhile.
const OUTDATED_MS: u64 = 5_000;
/// Heartbeats in a row, with rising numbers, after which lower numbers count again.
const MIN_RISING: u32 = 3;

/// A heartbeat that was taken for the newest.
#[derive(Debug, Clone)]
struct Newest {
    /// Worker and its incarnation.
    incarnation: Incarnation,
    /// Number of the heartbeat within the incarnation.
    sequence: u64,
    /// When it arrived, in milliseconds.
    arrived_ms: u64,
    /// Whether the worker has shown since that it has another incarnation.
    is_disproved: bool,
    /// Number of the last heartbeat of this incarnation that counted as late.
    late_sequence: u64,
    /// Late heartbeats of this incarnation in a row whose numbers rose.
    rising: u32,
}

/// The newest heartbeat, by which later ones are judged.
#[derive(Debug, Default)]
pub(crate) struct HeartbeatOrder {
    /// Absent before the first heartbeat.
    newest: Option<Newest>,
}

impl HeartbeatOrder {
    /// Whether a heartbeat is newer than the newest so far, which it then is itself. `is_former` tells by
    /// its start whether an incarnation is known to have been replaced.
    pub fn admit(
        &mut self,
        now_ms: u64,
        incarnation: &Incarnation,
        sequence: u64,
        is_former: impl Fn(u64) -> bool,
    ) -> bool {
        if is_former(incarnation.born_ms) {
            return false;
        }
        let newest = self.newest.as_mut();
        if let Some(newest) = newest.filter(|newest| !is_former(newest.incarnation.born_ms)) {
            let order = (incarnation.born_ms, sequence);
            let is_late = order <= (newest.incarnation.born_ms, newest.sequence);
            if is_late && !newest.is_corrected_by(now_ms, incarnation, sequence) {
                return false;
            }
        }
        self.newest = Some(Newest {
            incarnation: incarnation.clone(),
            sequence,
            arrived_ms: now_ms,
            is_disproved: false,
            late_sequence: 0,
            rising: 0,
        });
        true
    }

    /// Records that the worker does not have this incarnation, by its own answer. If the newest
    /// heartbeat states it, the next one of any other incarnation counts.
    pub fn disprove(&mut self, incarnation: &Incarnation) {
        let is_same = |newest: &&mut Newest| newest.incarnation == *incarnation;
        if let Some(newest) = self.newest.as_mut().filter(is_same) {
            newest.is_disproved = true;
        }
    }
}

impl Newest {
    /// Whether a heartbeat that seems late shows that this one was odd.
    fn is_corrected_by(&mut self, now_ms: u64, incarnation: &Incarnation, sequence: u64) -> bool {
        if *incarnation != self.incarnation {
            return self.is_disproved;
        }
        let is_rising = sequence > self.late_sequence;
        self.rising = if is_rising { self.rising + 1 } else { 1 };
        self.late_sequence = sequence;
        self.rising >= MIN_RISING && now_ms >= self.arrived_ms + OUTDATED_MS
    }
}
