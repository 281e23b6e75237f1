//! Why a worker gets no task.

use crate::Scheduler;
use crate::view::WorkerView;
use model::ServiceName;
use serde::{Deserialize, Serialize};
use std::collections::BTreeSet;

/// Why a worker of the pool can't get a task now.
///
/// ```
/// assert_eq!(flow::Exclusion::MaxPerWorker.to_string(), "max-per-worker");
/// ```
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize, strum::Display, strum::IntoStaticStr,
)]
#[serde(rename_all = "kebab-case")]
#[strum(serialize_all = "kebab-case")]
pub enum Exclusion {
    /// It does not answer, or its report was not read completely.
    NotSynced,
    /// It refused a start a moment ago.
    RefusedLately,
    /// It is draining.
    Draining,
    /// Its failure domain is evacuated.
    Evacuated,
    /// It is slow after its start, and got a run a moment ago or has taken up the share for new runs.
    Cold,
    /// It is paused because runs failed or stalled there.
    Paused,
    /// It was paused, and a new run on it has to succeed first.
    OnProbation,
    /// It has too little free capacity.
    NoRoom,
    /// It is kept free for tasks that may crash it.
    KeptFree,
    /// It lacks the label that the step asks for.
    Label,
    /// It is not in the rack that is searched for a gang.
    OtherRack,
    /// It has as many tasks of the step as it may have.
    MaxPerWorker,
    /// It has too few spare processors for a filler.
    NoSpareProcessors,
    /// The filler would disturb a latency-critical task on it.
    Interference,
    /// Another worker has a lower score.
    HigherScore,
}

impl Scheduler {
    /// Pools with a worker that may get runs, is not draining, not paused and in no evacuated domain.
    pub(crate) fn unpaused_pools(&self, now_ms: u64) -> BTreeSet<&ServiceName> {
        let workers = self.fleet.workers.values();
        let unpaused = workers.filter(|view| {
            let may_get_runs = view.is_synced() && !self.evacuations.includes_worker(view);
            may_get_runs && !view.health.is_paused(now_ms)
        });
        unpaused
            .filter_map(|view| view.info.as_ref().filter(|info| !info.draining))
            .map(|info| &info.service)
            .collect()
    }

    /// Why a worker accepts no new runs at all, or `None` if it does. In a pool of which all workers are
    /// paused, these accept some runs too.
    pub(crate) fn worker_exclusion(
        &self,
        now_ms: u64,
        view: &WorkerView,
        unpaused: &BTreeSet<&ServiceName>,
    ) -> Option<Exclusion> {
        let Some(info) = view.info.as_ref().filter(|_| view.is_synced()) else {
            return Some(Exclusion::NotSynced);
        };
        if now_ms < view.not_before_ms {
            return Some(Exclusion::RefusedLately);
        }
        if info.draining {
            return Some(Exclusion::Draining);
        }
        if self.evacuations.includes_worker(view) {
            return Some(Exclusion::Evacuated);
        }
        if self.is_too_cold(now_ms, view) {
            return Some(Exclusion::Cold);
        }
        let allocations = view.allocations.values();
        let newest_ms = allocations.map(|allocation| allocation.since_ms).max();
        let accepts_work = match unpaused.contains(&info.service) {
            true => view.health.accepts_work(now_ms, newest_ms),
            false => view.health.accepts_trial(now_ms, newest_ms),
        };
        match (accepts_work, view.health.is_paused(now_ms)) {
            (true, _) => None,
            (false, true) => Some(Exclusion::Paused),
            (false, false) => Some(Exclusion::OnProbation),
        }
    }
}
