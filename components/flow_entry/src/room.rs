//! Room for flows: what an entry may accept, in the memory that the scheduler has left for them.

/// Most room that the scheduler grants an entry at once, in bytes.
const MAX_GRANT_BYTES: usize = 256 << 10;
/// Share of the memory left that one grant may take. It leaves enough for the other entries, which may
/// use theirs at the same time.
const GRANT_DIVISOR: usize = 16;
/// Room that an entry gets each second while no scheduler answers, in bytes.
const UNANSWERED_BYTES: usize = 64 << 10;
/// Most room that it gets so in sum, in bytes.
const MAX_UNANSWERED_BYTES: usize = 1 << 20;
/// Interval between two grants that no scheduler answers, in milliseconds.
const UNANSWERED_INTERVAL_MS: u64 = 1_000;
/// Interval between two requests for room while little is left, in milliseconds.
const REQUEST_INTERVAL_MS: u64 = 250;
/// Pause of the requests after one that failed, in milliseconds.
const FAILED_PAUSE_MS: u64 = 250;
/// Age from which a grant is renewed, in milliseconds.
const MAX_AGE_MS: u64 = 10_000;

/// Room that the scheduler grants, with `used_bytes` of `limit_bytes` taken.
pub(crate) fn grant(limit_bytes: usize, used_bytes: usize) -> usize {
    let left_bytes = limit_bytes.saturating_sub(used_bytes);
    (left_bytes / GRANT_DIVISOR).min(MAX_GRANT_BYTES)
}

/// Whether room was taken for a flow.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Taken {
    /// It was.
    All,
    /// It was not, but the next grant is likely to have enough.
    NothingYet,
    /// It was not, and the last grant had not enough.
    Nothing,
}

/// Room of one entry for the flows that it accepts.
#[derive(Debug)]
pub(crate) struct Room {
    /// Bytes that flows accepted from now on may take.
    left_bytes: usize,
    /// Bytes of the last grant.
    granted_bytes: usize,
    /// When the last grant arrived, in milliseconds; 0 before the first.
    granted_ms: u64,
    /// Room that it got since a scheduler last answered, in bytes.
    unanswered_bytes: usize,
    /// When it last got such room, in milliseconds.
    unanswered_ms: u64,
    /// When room may be requested again, in milliseconds.
    next_request_ms: u64,
    /// Whether a request is in flight.
    is_requested: bool,
}

impl Default for Room {
    fn default() -> Self {
        Self {
            left_bytes: UNANSWERED_BYTES,
            granted_bytes: 0,
            granted_ms: 0,
            unanswered_bytes: UNANSWERED_BYTES,
            unanswered_ms: 0,
            next_request_ms: 0,
            is_requested: false,
        }
    }
}

impl Room {
    /// Takes room for a flow of `bytes`, if there is enough.
    pub fn take(&mut self, now_ms: u64, bytes: usize) -> Taken {
        if self.left_bytes < bytes {
            self.get_unanswered(now_ms);
        }
        if let Some(left_bytes) = self.left_bytes.checked_sub(bytes) {
            self.left_bytes = left_bytes;
            return Taken::All;
        }
        match self.granted_bytes >= bytes {
            true => Taken::NothingYet,
            false => Taken::Nothing,
        }
    }

    /// Gets some room although no scheduler answers.
    fn get_unanswered(&mut self, now_ms: u64) {
        let is_answered = self.granted_ms > 0 && now_ms < self.granted_ms + 2 * MAX_AGE_MS;
        let is_due = now_ms >= self.unanswered_ms + UNANSWERED_INTERVAL_MS;
        if is_answered || !is_due || self.unanswered_bytes >= MAX_UNANSWERED_BYTES {
            return;
        }
        self.unanswered_ms = now_ms;
        self.unanswered_bytes += UNANSWERED_BYTES;
        self.left_bytes += UNANSWERED_BYTES;
    }

    /// Whether to request room now; notes that it is requested.
    pub fn request_if_due(&mut self, now_ms: u64) -> bool {
        let is_low = self.left_bytes <= self.granted_bytes / 2;
        let is_old = now_ms >= self.granted_ms + MAX_AGE_MS;
        if self.is_requested || now_ms < self.next_request_ms || !(is_low || is_old) {
            return false;
        }
        self.is_requested = true;
        true
    }

    /// Applies the answer to a request; `None` if no scheduler answered.
    pub fn on_reply(&mut self, now_ms: u64, granted_bytes: Option<usize>) {
        self.is_requested = false;
        let Some(bytes) = granted_bytes else {
            self.next_request_ms = now_ms + FAILED_PAUSE_MS;
            return;
        };
        let is_small = bytes < MAX_GRANT_BYTES / 2;
        self.next_request_ms = now_ms + if is_small { REQUEST_INTERVAL_MS } else { 0 };
        self.left_bytes = bytes;
        self.granted_bytes = bytes;
        self.granted_ms = now_ms;
        self.unanswered_bytes = 0;
    }
}
