//! Why a worker gets no task.

use crate::view::WorkerView;
use crate::{Scheduler, StepSpec, TaskKey, candidate};
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

/// Why label, rack or `max_per_worker` forbid a task on a worker, regardless of its capacity, or `None` if
/// they don't. The tasks that it is `chosen_for` count as placed.
pub(crate) fn rule_exclusion(
    view: &WorkerView,
    key: &TaskKey,
    spec: &StepSpec,
    rack: Option<&str>,
    chosen_for: &[TaskKey],
) -> Option<Exclusion> {
    let Some(info) = &view.info else {
        return Some(Exclusion::NotSynced);
    };
    if !candidate::has_label(view, spec) {
        return Some(Exclusion::Label);
    }
    if rack.is_some_and(|rack| info.rack() != Some(rack)) {
        return Some(Exclusion::OtherRack);
    }
    let chosen = chosen_for.iter().filter(|other| other.is_of_step_of(key));
    let is_below_limit = spec.max_per_worker.is_none_or(|limit| {
        let placed = view.count_step_runs(&key.job, key.occurrence, key.step);
        placed + (chosen.count() as u32) < limit
    });
    (!is_below_limit).then_some(Exclusion::MaxPerWorker)
}

/// Whether label, rack and `max_per_worker` allow a task on a worker; see [`rule_exclusion`].
pub(crate) fn may_run(
    view: &WorkerView,
    key: &TaskKey,
    spec: &StepSpec,
    rack: Option<&str>,
    chosen_for: &[TaskKey],
) -> bool {
    rule_exclusion(view, key, spec, rack, chosen_for).is_none()
}
