//! Rules by which a worker may run a task, regardless of its capacity.

use crate::view::WorkerView;
use crate::{StepSpec, TaskKey, has_form};

/// Whether label, rack and `max_per_worker` allow a task on a worker, regardless of its capacity. The
/// tasks that it is `chosen_for` count as placed.
pub(crate) fn may_run(
    view: &WorkerView,
    key: &TaskKey,
    spec: &StepSpec,
    rack: Option<&str>,
    chosen_for: &[TaskKey],
) -> bool {
    let Some(info) = &view.info else {
        return false;
    };
    let is_in_rack = rack.is_none_or(|rack| info.rack() == Some(rack));
    let chosen = chosen_for.iter().filter(|other| other.is_of_step_of(key));
    let is_below_limit = spec.max_per_worker.is_none_or(|limit| {
        let placed = view.count_step_runs(&key.job, key.occurrence, key.step);
        placed + (chosen.count() as u32) < limit
    });
    has_label(view, spec) && is_in_rack && is_below_limit
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
