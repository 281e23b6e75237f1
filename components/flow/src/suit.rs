//! Which worker suits a task: what is free there, what the rules allow, and whom it would disturb.

use crate::view::WorkerView;
use crate::{PairVerdict, Scheduler, StepSpec, TaskKey};
use model::{AgentId, Resources, ServiceName};

/// Score of a worker far from the data or from the rest of its step.
const FAR: f64 = 100.0;
/// Score of a worker on which the task failed before.
const AVOIDED: f64 = 50.0;
/// Score of a worker without tasks that serve, for a task that should leave it to fillers.
const NO_SERVICE: f64 = 1.0;
/// Score of each image that serves and that a filler may disturb for all that is known.
const UNKNOWN_PAIR: f64 = 0.3;
/// Score of each other image that serves on the worker of a task that serves.
const OTHER_IMAGE: f64 = 2.0;
/// Share of a latency target from which no further filler comes to a worker, in percent.
const CROWDED_PERCENT: u32 = 80;
/// Least share of its processors that a filler should find left over.
const FILLER_SHARE: f64 = 0.5;
/// Share of a pool's processors in use up to which it counts as mostly free, in percent.
const FREE_POOL_PERCENT: u64 = 60;

/// How much a filler's neighbours count when it is placed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Care {
    /// It goes only where it disturbs nobody, as far as is known.
    Full,
    /// It goes where it disturbs least, and is slowed down there.
    Little,
}

/// A worker that could take a task now.
pub(crate) struct Room {
    /// Its agent.
    pub agent: AgentId,
    /// What is free.
    pub free: Resources,
    /// What it has.
    pub capacity: Resources,
    /// Processors that nobody uses, less those of fillers, in thousandths.
    pub left_over_milli: i64,
    /// Whether a task that serves runs there.
    pub serves: bool,
}

impl Scheduler {
    /// Workers that take work now.
    pub(crate) fn rooms(&self, now_ms: u64) -> Vec<(ServiceName, Room)> {
        let takes_work = |view: &&WorkerView| {
            view.synced
                && now_ms >= view.not_before_ms
                && view.health.takes_work(now_ms, view.trials())
        };
        let workers = self.fleet.workers.iter();
        workers
            .filter(|(_, view)| takes_work(view))
            .filter_map(|(agent, view)| {
                let info = view.info.as_ref().filter(|info| !info.draining)?;
                Some((info.service.clone(), room(agent, view, info.capacity)))
            })
            .collect()
    }

    /// The worker that suits a task best, if any has room for it.
    pub(crate) fn best_room(
        &self,
        key: &TaskKey,
        service: &ServiceName,
        rooms: &[(ServiceName, Room)],
        rack: Option<&str>,
        care: Care,
    ) -> Option<usize> {
        let state = self.flows.get(&key.job)?;
        let spec = state.step_spec(key.step)?;
        let task = state.task(key)?;
        let need = spec.reserved();
        let mut best: Option<(f64, usize)> = None;
        for (at, (pool, room)) in rooms.iter().enumerate() {
            if pool != service || !need.fits_in(&room.free) {
                continue;
            }
            // All else only adds to this score.
            let is_worse = |score: f64| best.is_some_and(|(least, _)| score >= least);
            let score = room_score(room, spec);
            if is_worse(score) {
                continue;
            }
            let Some(view) = self.fleet.workers.get(&room.agent) else {
                continue;
            };
            let is_avoided = task.avoid.as_ref() == Some(&room.agent);
            let score = score + distance(view, spec) + if is_avoided { AVOIDED } else { 0.0 };
            if is_worse(score) || !may_run(view, key, spec, rack) {
                continue;
            }
            let Some(company) = self.company(view, room, spec, care) else {
                continue;
            };
            let score = score + company;
            if best.is_none_or(|(least, _)| score < least) {
                best = Some((score, at));
            }
        }
        best.map(|(_, at)| at)
    }

    /// How little the tasks on a worker suit one more, nothing if it must not come: a filler is
    /// tried first where it is known to be harmless, and tasks that serve are kept with those of
    /// their own image.
    fn company(&self, view: &WorkerView, room: &Room, spec: &StepSpec, care: Care) -> Option<f64> {
        if spec.filler && !leaves_enough(room, spec) {
            return None;
        }
        match care {
            Care::Little => Some(f64::from(view.worst_percent) / 100.0),
            Care::Full if spec.filler => {
                let open = self.open_pairs(view, spec)?;
                Some(open as f64 * UNKNOWN_PAIR)
            }
            Care::Full if spec.latency_target_ms.is_some() => {
                let image = spec.image.as_deref().unwrap_or_default();
                let images = serving_images(view);
                let others = images.iter().filter(|serving| **serving != image).count();
                Some(others as f64 * OTHER_IMAGE)
            }
            Care::Full => Some(0.0),
        }
    }

    /// Images that serve on a worker of which it is unknown whether a filler disturbs them; nothing
    /// if it is known to disturb one, or one is troubled already.
    fn open_pairs(&self, view: &WorkerView, spec: &StepSpec) -> Option<usize> {
        let image = spec.image.as_deref().unwrap_or_default();
        let mut open = 0;
        for serving in serving_images(view) {
            match self.pairs.verdict(image, serving) {
                PairVerdict::Bad => return None,
                PairVerdict::Unknown => open += 1,
                PairVerdict::Good => {}
            }
        }
        let is_crowded = open > 0 && view.worst_percent >= CROWDED_PERCENT;
        (!is_crowded).then_some(open)
    }

    /// Whether another worker has room for a filler and nothing that it disturbs.
    pub(crate) fn has_quiet_room(
        &self,
        agent: &AgentId,
        key: &TaskKey,
        rooms: &[(ServiceName, Room)],
    ) -> bool {
        let Some(state) = self.flows.get(&key.job) else {
            return false;
        };
        let Some(spec) = state.step_spec(key.step) else {
            return false;
        };
        let queue = self.config.queue(&state.job.queue);
        rooms.iter().any(|(pool, room)| {
            let Some(view) = self.fleet.workers.get(&room.agent) else {
                return false;
            };
            room.agent != *agent
                && queue.is_some_and(|queue| queue.service == *pool)
                && spec.reserved().fits_in(&room.free)
                && may_run(view, key, spec, None)
                && self.company(view, room, spec, Care::Full).is_some()
        })
    }
}

/// Images of the tasks that serve on a worker, once each.
fn serving_images(view: &WorkerView) -> Vec<&str> {
    let serving = view
        .allocations
        .values()
        .filter(|held| held.latency_target_ms.is_some());
    let mut images: Vec<&str> = serving
        .map(|held| held.image.as_deref().unwrap_or_default())
        .collect();
    images.sort_unstable();
    images.dedup();
    images
}

fn room(agent: &AgentId, view: &WorkerView, capacity: Resources) -> Room {
    let free = capacity.minus(&view.reserved());
    let left_over_milli = view.left_over_milli(capacity.processors_milli);
    Room {
        agent: agent.clone(),
        free,
        capacity,
        left_over_milli,
        serves: view.serves(),
    }
}

/// Whether the rules let a task run on a worker, whatever is free there.
fn may_run(view: &WorkerView, key: &TaskKey, spec: &StepSpec, rack: Option<&str>) -> bool {
    let Some(info) = &view.info else {
        return false;
    };
    let has_label = spec
        .label
        .as_ref()
        .is_none_or(|label| info.labels.contains(label));
    let in_rack = rack.is_none_or(|rack| info.rack() == Some(rack));
    let spread = spec
        .max_per_worker
        .is_none_or(|limit| view.count_of(&key.job, key.occurrence, key.step) < limit);
    has_label && in_rack && spread
}

/// Whether most of a pool's processors are set aside for nothing.
pub(crate) fn is_mostly_free(service: &ServiceName, rooms: &[(ServiceName, Room)]) -> bool {
    let pool = rooms.iter().filter(|(pool, _)| pool == service);
    let (mut free, mut total) = (0, 0);
    for (_, room) in pool {
        free += u64::from(room.free.processors_milli);
        total += u64::from(room.capacity.processors_milli);
    }
    (total - free.min(total)) * 100 <= total * FREE_POOL_PERCENT
}

/// Whether a filler finds enough processors left over.
fn leaves_enough(room: &Room, spec: &StepSpec) -> bool {
    room.left_over_milli as f64 >= f64::from(spec.need.processors_milli) * FILLER_SHARE
}

/// How little a worker suits a task, by what is free there; the least is best. Tasks that serve are
/// packed together, so that fillers find workers on which they disturb nobody; other tasks are
/// spread.
fn room_score(room: &Room, spec: &StepSpec) -> f64 {
    let total = f64::from(room.capacity.processors_milli.max(1));
    let free = f64::from(room.free.processors_milli) / total;
    let company = if room.serves { 0.0 } else { NO_SERVICE };
    if spec.latency_target_ms.is_some() {
        company + free
    } else if spec.filler {
        -(room.left_over_milli as f64 / total)
    } else {
        company - free
    }
}

/// Score of the way to a task's data.
fn distance(view: &WorkerView, spec: &StepSpec) -> f64 {
    let is_near = spec.data_rack.as_deref().is_none_or(|rack| {
        view.info
            .as_ref()
            .is_some_and(|info| info.rack() == Some(rack))
    });
    if is_near { 0.0 } else { FAR }
}
