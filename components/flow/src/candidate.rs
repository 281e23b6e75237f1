//! Scoring of candidate workers for a task by free capacity, placement rules, locality and
//! interference between fillers and latency-critical tasks. The lowest score wins.

use crate::view::WorkerView;
use crate::{InterferenceVerdict, Scheduler, StepSpec, TaskKey};
use model::{AgentId, Resources, ServiceName};

/// Penalty of a worker outside of the rack that holds the task's data.
const REMOTE_PENALTY: f64 = 100.0;
/// Penalty of the worker on which the task failed or stalled last.
const FAILED_BEFORE_PENALTY: f64 = 50.0;
/// Penalty of a worker without latency-critical tasks for any task but a filler. It keeps such
/// workers free for fillers.
const NO_LATENCY_CRITICAL_PENALTY: f64 = 1.0;
/// Penalty of a filler for each latency-critical image on the worker for which the verdict of the
/// pair is unknown.
const UNKNOWN_PAIR_PENALTY: f64 = 0.3;
/// Penalty of a latency-critical task for each other latency-critical image on the worker.
const OTHER_IMAGE_PENALTY: f64 = 2.0;
/// Worst latency, as a share of its target in percent, from which a worker gets no further filler
/// with an unknown verdict.
const MAX_LATENCY_FOR_FILLER_PERCENT: u32 = 80;
/// Least share of a filler's declared processors that must be spare on a worker to place it there.
const MIN_FILLER_SPARE_SHARE: f64 = 0.5;
/// Greatest reserved share of a pool's processors at which it counts as mostly free, in percent.
const MOSTLY_FREE_MAX_USED_PERCENT: u64 = 60;

/// How strictly placement keeps a filler away from the latency-critical tasks that it may disturb.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum InterferencePolicy {
    /// Excludes workers with a task that the filler is known to disturb.
    Avoid,
    /// Allows any worker and prefers the one whose worst latency is lowest relative to its target;
    /// the filler is throttled there.
    Tolerate,
}

/// A worker that accepts new runs, with its free capacity during one scheduling pass.
pub(crate) struct Candidate {
    /// Agent of the worker.
    pub agent: AgentId,
    /// Capacity that is not reserved.
    pub free: Resources,
    /// Total capacity.
    pub capacity: Resources,
    /// Processors that no run, filler or not, is expected to use, in thousandths. Negative when
    /// fillers compete with each other.
    pub spare_milli: i64,
    /// Whether a latency-critical task is placed on the worker.
    pub has_latency_critical: bool,
}

impl Scheduler {
    /// Workers that accept new runs now, each with its pool: synced, neither paused nor draining.
    pub(crate) fn candidates(&self, now_ms: u64) -> Vec<(ServiceName, Candidate)> {
        let accepts_work = |view: &&WorkerView| {
            view.is_synced
                && now_ms >= view.not_before_ms
                && view.health.accepts_work(now_ms, view.runs_since_pause())
        };
        let workers = self.fleet.workers.iter();
        workers
            .filter(|(_, view)| accepts_work(view))
            .filter_map(|(agent, view)| {
                let info = view.info.as_ref().filter(|info| !info.draining)?;
                Some((info.service.clone(), candidate(agent, view, info.capacity)))
            })
            .collect()
    }

    /// Index of the candidate with the lowest score for a task, or `None` if no candidate of the
    /// pool has enough free capacity and passes the placement rules. `rack` restricts the search
    /// to one rack.
    pub(crate) fn best_candidate(
        &self,
        key: &TaskKey,
        service: &ServiceName,
        candidates: &[(ServiceName, Candidate)],
        rack: Option<&str>,
        policy: InterferencePolicy,
    ) -> Option<usize> {
        let state = self.flows.get(&key.job)?;
        let spec = state.step_spec(key.step)?;
        let task = state.task(key)?;
        let need = spec.reserved();
        let mut best: Option<(f64, usize)> = None;
        for (index, (pool, candidate)) in candidates.iter().enumerate() {
            if pool != service || !need.fits_in(&candidate.free) {
                continue;
            }
            // Every later term is a penalty >= 0, so a candidate can be rejected early.
            let is_worse = |score: f64| best.is_some_and(|(least, _)| score >= least);
            let score = capacity_score(candidate, spec);
            if is_worse(score) {
                continue;
            }
            let Some(view) = self.fleet.workers.get(&candidate.agent) else {
                continue;
            };
            let has_failed_here = task.avoided_agent.as_ref() == Some(&candidate.agent);
            let score = score
                + locality_penalty(view, spec)
                + if has_failed_here {
                    FAILED_BEFORE_PENALTY
                } else {
                    0.0
                };
            if is_worse(score) || !may_run(view, key, spec, rack) {
                continue;
            }
            let Some(penalty) = self.interference_penalty(view, candidate, spec, policy) else {
                continue;
            };
            let score = score + penalty;
            if best.is_none_or(|(least, _)| score < least) {
                best = Some((score, index));
            }
        }
        best.map(|(_, index)| index)
    }

    /// Penalty for interference with the tasks on a worker, or `None` if the task must not be
    /// placed there. Fillers prefer workers on which they are known to be harmless;
    /// latency-critical tasks prefer workers that run their own image.
    fn interference_penalty(
        &self,
        view: &WorkerView,
        candidate: &Candidate,
        spec: &StepSpec,
        policy: InterferencePolicy,
    ) -> Option<f64> {
        if spec.filler && !has_spare_for(candidate, spec) {
            return None;
        }
        match policy {
            InterferencePolicy::Tolerate => Some(f64::from(view.worst_latency_percent) / 100.0),
            InterferencePolicy::Avoid if spec.filler => {
                let unknown = self.count_unknown_pairs(view, spec)?;
                Some(unknown as f64 * UNKNOWN_PAIR_PENALTY)
            }
            InterferencePolicy::Avoid if spec.latency_target_ms.is_some() => {
                let image = spec.image.as_deref().unwrap_or_default();
                let images = latency_critical_images(view);
                let others = images.iter().filter(|other| **other != image).count();
                Some(others as f64 * OTHER_IMAGE_PENALTY)
            }
            InterferencePolicy::Avoid => Some(0.0),
        }
    }

    /// Number of latency-critical images on a worker for which the filler's verdict is unknown.
    /// `None` if the filler is known to disturb one, or if some are unknown and a latency is
    /// already near its target.
    fn count_unknown_pairs(&self, view: &WorkerView, spec: &StepSpec) -> Option<usize> {
        let image = spec.image.as_deref().unwrap_or_default();
        let mut unknown = 0;
        for critical in latency_critical_images(view) {
            match self.interference_stats.verdict(image, critical) {
                InterferenceVerdict::Bad => return None,
                InterferenceVerdict::Unknown => unknown += 1,
                InterferenceVerdict::Good => {}
            }
        }
        let is_near_target =
            unknown > 0 && view.worst_latency_percent >= MAX_LATENCY_FOR_FILLER_PERCENT;
        (!is_near_target).then_some(unknown)
    }

    /// Whether a worker other than `agent` has enough free capacity for a filler and no task that
    /// the filler is known to disturb.
    pub(crate) fn has_undisturbed_candidate(
        &self,
        agent: &AgentId,
        key: &TaskKey,
        candidates: &[(ServiceName, Candidate)],
    ) -> bool {
        let Some(state) = self.flows.get(&key.job) else {
            return false;
        };
        let Some(spec) = state.step_spec(key.step) else {
            return false;
        };
        let queue = self.config.queue(&state.job.queue);
        candidates.iter().any(|(pool, candidate)| {
            let Some(view) = self.fleet.workers.get(&candidate.agent) else {
                return false;
            };
            candidate.agent != *agent
                && queue.is_some_and(|queue| queue.service == *pool)
                && spec.reserved().fits_in(&candidate.free)
                && may_run(view, key, spec, None)
                && self
                    .interference_penalty(view, candidate, spec, InterferencePolicy::Avoid)
                    .is_some()
        })
    }
}

/// Distinct images of the latency-critical tasks on a worker, sorted.
fn latency_critical_images(view: &WorkerView) -> Vec<&str> {
    let critical = view
        .allocations
        .values()
        .filter(|allocation| allocation.latency_target_ms.is_some());
    let mut images: Vec<&str> = critical
        .map(|allocation| allocation.image.as_deref().unwrap_or_default())
        .collect();
    images.sort_unstable();
    images.dedup();
    images
}

fn candidate(agent: &AgentId, view: &WorkerView, capacity: Resources) -> Candidate {
    let free = capacity.minus(&view.reserved());
    let spare_milli = view.spare_milli(capacity.processors_milli);
    Candidate {
        agent: agent.clone(),
        free,
        capacity,
        spare_milli,
        has_latency_critical: view.has_latency_critical(),
    }
}

/// Whether label, rack and `max_per_worker` allow a task on a worker, regardless of its capacity.
fn may_run(view: &WorkerView, key: &TaskKey, spec: &StepSpec, rack: Option<&str>) -> bool {
    let Some(info) = &view.info else {
        return false;
    };
    let has_label = spec
        .label
        .as_ref()
        .is_none_or(|label| info.labels.contains(label));
    let is_in_rack = rack.is_none_or(|rack| info.rack() == Some(rack));
    let is_below_limit = spec
        .max_per_worker
        .is_none_or(|limit| view.count_step_runs(&key.job, key.occurrence, key.step) < limit);
    has_label && is_in_rack && is_below_limit
}

/// Whether most processors of a pool's candidates are not reserved.
pub(crate) fn is_mostly_free(
    service: &ServiceName,
    candidates: &[(ServiceName, Candidate)],
) -> bool {
    let pool = candidates.iter().filter(|(pool, _)| pool == service);
    let (mut free, mut total) = (0, 0);
    for (_, candidate) in pool {
        free += u64::from(candidate.free.processors_milli);
        total += u64::from(candidate.capacity.processors_milli);
    }
    (total - free.min(total)) * 100 <= total * MOSTLY_FREE_MAX_USED_PERCENT
}

/// Whether enough processors are spare for a filler.
fn has_spare_for(candidate: &Candidate, spec: &StepSpec) -> bool {
    candidate.spare_milli as f64 >= f64::from(spec.need.processors_milli) * MIN_FILLER_SPARE_SHARE
}

/// Score of a worker by its free capacity. Latency-critical tasks are packed, so that fillers find
/// workers on which they disturb nothing; all other tasks are spread.
fn capacity_score(candidate: &Candidate, spec: &StepSpec) -> f64 {
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
fn locality_penalty(view: &WorkerView, spec: &StepSpec) -> f64 {
    let is_near = spec.data_rack.as_deref().is_none_or(|rack| {
        view.info
            .as_ref()
            .is_some_and(|info| info.rack() == Some(rack))
    });
    if is_near { 0.0 } else { REMOTE_PENALTY }
}
