//! What an entry remembers of its refusals.

use crate::Arrival;
use utils::Map;

/// Time without a refusal after which refusing has ended, in milliseconds. It is longer than the time
/// between two measurements of the backlog, so that one of them does not end it.
const REFUSING_MS: u64 = 2_000;
/// Refusals in a row of jobs of similar size after which one is accepted, so that large jobs, of which there are
/// few, get in too. At most one job in nine is accepted this way.
const MAX_IN_A_ROW: u8 = 8;
/// Most pairs of pool and priority that are remembered; jobs of further ones are accepted.
const MAX_GROUPS: usize = 256;
/// Number of classes of jobs by their size; each covers a factor of four.
const SIZE_CLASSES: usize = 32;

/// Refusals so far, by pool and priority.
#[derive(Debug, Clone, Default)]
pub struct Hysteresis {
    /// Refusals by pool and priority.
    groups: Map<(String, u32), Group>,
}

/// Refusals of one pool and priority.
#[derive(Debug, Clone, Copy, Default)]
struct Group {
    /// When a job was last refused, in milliseconds; `None` before the first refusal.
    refused_ms: Option<u64>,
    /// Refusals since the last acceptance, by size of the job.
    in_a_row: [u8; SIZE_CLASSES],
}

impl Hysteresis {
    /// Whether any job was refused lately.
    ///
    /// ```
    /// assert!(!admission::Hysteresis::default().is_refusing(1_000));
    /// ```
    pub fn is_refusing(&self, now_ms: u64) -> bool {
        self.groups.values().any(|group| group.is_refusing(now_ms))
    }

    /// Whether any job of the same pool and priority was refused lately.
    pub(crate) fn is_refusing_like(&self, now_ms: u64, job: &Arrival<'_>) -> bool {
        let group = self.groups.get(&key(job));
        group.is_some_and(|group| group.is_refusing(now_ms))
    }

    /// Counts a refusal. Returns false if the job is to be accepted instead, as its turn has come.
    pub(crate) fn refuse(&mut self, now_ms: u64, job: &Arrival<'_>) -> bool {
        let key = key(job);
        if !self.groups.contains_key(&key) && self.groups.len() >= MAX_GROUPS {
            return false;
        }
        let group = self.groups.entry(key).or_default();
        let count = &mut group.in_a_row[size_class(job)];
        if *count >= MAX_IN_A_ROW {
            *count = 0;
            return false;
        }
        *count += 1;
        group.refused_ms = Some(now_ms);
        true
    }

    /// Counts an acceptance.
    pub(crate) fn accept(&mut self, job: &Arrival<'_>) {
        if let Some(group) = self.groups.get_mut(&key(job)) {
            group.in_a_row[size_class(job)] = 0;
        }
    }
}

impl Group {
    fn is_refusing(&self, now_ms: u64) -> bool {
        let refused_ms = self.refused_ms;
        refused_ms.is_some_and(|refused_ms| now_ms < refused_ms.saturating_add(REFUSING_MS))
    }
}

fn key(job: &Arrival<'_>) -> (String, u32) {
    (job.pool.to_owned(), job.priority)
}

/// Class of a job by its work.
fn size_class(job: &Arrival<'_>) -> usize {
    (job.work().max(1).ilog2() / 2) as usize
}
