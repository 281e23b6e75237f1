//! Rules by which a worker may run a task, regardless of its capacity.

use crate::view::WorkerView;
use crate::{Exclusion, StepSpec, TaskKey, has_form};

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
    if !has_label(view, spec) {
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

/// Whether a worker has the label that a step's tasks need, if they need one.
pub(crate) fn has_label(view: &WorkerView, spec: &StepSpec) -> bool {
    let labels = view.info.as_ref().map(|info| &info.labels);
    let has = |label| {
        let mut labels = labels.into_iter().flatten();
        labels.any(|own| has_form(own, label))
    };
    spec.label.as_deref().is_none_or(has)
}
