//! Leases that former schedulers may have granted, as far as the lease's row tells.

use crate::rows::LeaseRow;
use flow::{AwayWorker, Scheduler};
use model::AgentId;

/// When the leases that former schedulers granted are guaranteed to have expired. Known from the row
/// that is replaced: its owner's last commit took effect before that row was first seen, and the
/// owner grants leases only for a limited time after the commit was sent.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub(crate) struct FormerLeases {
    /// Time for all workers that are not named as away, in milliseconds.
    pub expired_ms: u64,
    /// Time for each worker that is named as away, in milliseconds.
    pub away: Vec<(AgentId, u64)>,
}

impl FormerLeases {
    /// Leases granted by the owner of `row` or before, if the row was first seen at `seen_ms`. An
    /// owner that does not state how long its leases may last may have granted some of
    /// `longest_ms`.
    pub fn of(row: Option<&LeaseRow>, seen_ms: u64, longest_ms: u64) -> Self {
        let stated_ms = row.and_then(|row| row.longest_lease_ms);
        let away = row.map_or(&[][..], |row| &row.away);
        let named = away.iter().map(|worker| {
            (
                worker.agent.clone(),
                seen_ms + worker.expires_in_ms.min(longest_ms),
            )
        });
        Self {
            expired_ms: seen_ms + stated_ms.unwrap_or(longest_ms).min(longest_ms),
            away: named.collect(),
        }
    }

    /// Workers that a row written at `now_ms` has to name as away.
    pub fn still_away(&self, now_ms: u64) -> Vec<AwayWorker> {
        let unexpired = self
            .away
            .iter()
            .filter(|(_, expired_ms)| *expired_ms > now_ms);
        let named = unexpired.map(|(agent, expired_ms)| AwayWorker {
            agent: agent.clone(),
            expires_in_ms: expired_ms - now_ms,
        });
        named.collect()
    }

    /// Tells a new scheduler of these leases.
    pub fn apply(&self, scheduler: &mut Scheduler) {
        scheduler.set_former_leases_expired_ms(self.expired_ms);
        for (agent, expired_ms) in &self.away {
            scheduler.restore_away(agent, *expired_ms);
        }
    }
}

/// A claim of the lease.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct Claim {
    /// Claimed epoch.
    pub epoch: u64,
    /// Version of the row that it replaces.
    pub version: Option<u64>,
    /// When it was first sent, in milliseconds.
    pub first_sent_ms: u64,
    /// Leases granted before.
    pub former: FormerLeases,
}
