//! Terms of the score of a candidate worker for a task. The lowest sum wins; each term but that for the
//! capacity is at least 0.

use crate::candidate::{Candidate, FillerNeed, has_spare_for};
use crate::slack::image_of;
use crate::view::WorkerView;
use crate::{Exclusion, StepSpec};

/// Penalty of a worker outside of the rack that holds the task's data.
const REMOTE_PENALTY: f64 = 100.0;
/// Penalty of a worker without latency-critical tasks for any task but a filler. It keeps such
/// workers free for fillers.
const NO_LATENCY_CRITICAL_PENALTY: f64 = 1.0;
/// Penalty of a filler that uses up all slack of a latency-critical task on the worker.
const USED_SLACK_PENALTY: f64 = 0.5;
/// Least pace that is told apart where a filler is placed regardless of its pace.
const MIN_SCORED_PACE: f64 = 0.02;
/// Penalty of a latency-critical task for each other latency-critical image on the worker.
const OTHER_IMAGE_PENALTY: f64 = 2.0;

/// Penalty for interference with the tasks on a worker, or why the task must not be placed
/// there. Fillers prefer workers whose latency-critical tasks bear them easily; latency-critical tasks
/// prefer workers that run their own image.
pub(crate) fn interference_penalty(
    view: &WorkerView,
    candidate: &Candidate,
    spec: &StepSpec,
    filler: &FillerNeed,
) -> Result<f64, Exclusion> {
    if spec.filler {
        return candidate.filler_penalty(spec, filler);
    }
    if spec.latency_target_ms.is_some() {
        let image = spec.image.as_deref().unwrap_or_default();
        let images = latency_critical_images(view);
        let others = images.iter().filter(|other| **other != image).count();
        return Ok(others as f64 * OTHER_IMAGE_PENALTY);
    }
    Ok(0.0)
}

impl Candidate {
    /// Penalty for the slack that a filler uses up, or why it must not be placed here.
    fn filler_penalty(&self, spec: &StepSpec, filler: &FillerNeed) -> Result<f64, Exclusion> {
        if !has_spare_for(self, spec) {
            return Err(Exclusion::NoSpareProcessors);
        }
        let pace = self.bearable_pace(&filler.pressures, spec);
        if pace < filler.min_pace {
            return Err(Exclusion::Interference);
        }
        Ok(USED_SLACK_PENALTY / pace.max(MIN_SCORED_PACE))
    }

    /// Share of its full pace at which a filler could work without pushing a latency-critical task
    /// over its target; above 1 if there is slack beyond that.
    fn bearable_pace(&self, pressures: &[f64], spec: &StepSpec) -> f64 {
        let share = self.processor_share(spec);
        let paces = self
            .slacks
            .iter()
            .flatten()
            .map(|critical| critical.bearable_pace(critical.image.of(pressures) * share));
        paces.fold(f64::INFINITY, f64::min)
    }
}

/// Distinct images of the latency-critical tasks on a worker, sorted.
fn latency_critical_images(view: &WorkerView) -> Vec<&str> {
    let critical = view
        .allocations
        .values()
        .filter(|allocation| allocation.latency_target_ms.is_some());
    let mut images: Vec<&str> = critical.map(image_of).collect();
    images.sort_unstable();
    images.dedup();
    images
}

/// Score of a worker by its free capacity. Latency-critical tasks are packed, so that fillers find
/// workers on which they disturb nothing; all other tasks are spread.
pub(crate) fn capacity_score(candidate: &Candidate, spec: &StepSpec) -> f64 {
    let total = f64::from(candidate.capacity.processors_milli.max(1));
    let free = f64::from(candidate.free.processors_milli) / total;
    let penalty = if candidate.has_latency_critical {
        0.0
    } else {
        NO_LATENCY_CRITICAL_PENALTY
    };
    if spec.latency_target_ms.is_some() {
        penalty + free
    } else if spec.filler {
        -(candidate.spare_milli as f64 / total)
    } else {
        penalty - free
    }
}

/// [`REMOTE_PENALTY`] for a worker outside of the rack that holds the task's data, else 0.
pub(crate) fn locality_penalty(view: &WorkerView, spec: &StepSpec) -> f64 {
    match view.is_near(spec) {
        true => 0.0,
        false => REMOTE_PENALTY,
    }
}
