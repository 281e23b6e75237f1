//! Placement: which task goes where, and in which order.

use crate::view::WorkerView;
use crate::{
    FlowState, NoteKind, PairVerdict, Placement, Queue, Scheduler, Stage, StepSpec, TaskKey,
    scheduler::held,
};
use model::{AgentId, JobId, Resources, ServiceName};

/// Score of a worker far from the data or from the rest of its step.
const FAR: f64 = 100.0;
/// Score of a worker on which the task failed before.
const AVOIDED: f64 = 50.0;
/// Score of a filler beside a task that serves, and of such a task beside fillers.
const BESIDE_SERVICE: f64 = 1.0;
/// Score of each image that serves and that a filler may disturb for all that is known.
const UNKNOWN_PAIR: f64 = 0.3;
/// Score of each other image that serves on the worker of a task that serves.
const OTHER_IMAGE: f64 = 2.0;
/// Share of a latency target from which no further filler comes to a worker, in percent.
const CROWDED_PERCENT: u32 = 80;
/// Least share of its processors that a filler should find left over.
const FILLER_SHARE: f64 = 0.5;
/// Multiple of its objective after which a flow goes behind those that can still be in time.
const HOPELESS_FACTOR: f64 = 3.0;

/// Time for which an idle flow waits for a worker on which its filler disturbs nobody, in
/// milliseconds.
const PATIENCE_MS: u64 = 8_000;
/// The same while most of the pool is free.
const FREE_PATIENCE_MS: u64 = 1_500;
/// Share of a pool's processors in use up to which it counts as mostly free, in percent.
const FREE_POOL_PERCENT: u64 = 60;

/// How much a filler's neighbours count when it is placed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Care {
    /// It goes only where it disturbs nobody, as far as is known.
    Full,
    /// It goes where it disturbs least, and is slowed down there.
    Little,
}

/// Position of a flow in the order of placement; the least comes first.
#[derive(Debug, Clone, Copy, PartialEq, PartialOrd)]
struct Rank {
    /// Urgency of the queue.
    priority: u32,
    /// Whether nothing can be in time any more.
    hopeless: bool,
    /// When it should have ended.
    due_ms: f64,
}

/// A worker that could take a task now.
struct Room {
    /// Its agent.
    agent: AgentId,
    /// What is free.
    free: Resources,
    /// What it has.
    capacity: Resources,
    /// Processors that nobody uses, less those of fillers, in thousandths.
    left_over_milli: i64,
    /// Whether a task that serves runs there.
    serves: bool,
}

impl Scheduler {
    /// Places every task that can be placed now.
    pub fn place(&mut self, now_ms: u64, wall_ms: u64) {
        let due = self
            .flows
            .values_mut()
            .filter(|state| state.job.spec.schedule.is_some());
        for state in due {
            state.activate(wall_ms);
        }
        let mut order: Vec<(Rank, JobId)> = self
            .flows
            .values()
            .filter(|state| !state.is_closed())
            .filter_map(|state| Some((self.rank(now_ms, state)?, state.job.id.clone())))
            .collect();
        if order.is_empty() {
            return;
        }
        order.sort_by(|left, right| left.partial_cmp(right).unwrap_or(std::cmp::Ordering::Equal));
        let mut rooms = self.rooms(now_ms);
        for (_, job) in order {
            self.place_flow(now_ms, &job, &mut rooms);
        }
    }

    /// Where a flow stands in the order; nothing if none of its tasks waits.
    fn rank(&self, now_ms: u64, state: &FlowState) -> Option<Rank> {
        let waits = state
            .occurrences
            .iter()
            .flat_map(|occurrence| &occurrence.steps)
            .flat_map(|step| &step.tasks)
            .any(|task| !task.done && task.placement.is_none());
        if !waits {
            return None;
        }
        let queue = self.config.queue(&state.job.queue);
        let priority = queue.map_or(u32::MAX, |queue| queue.priority);
        let objective_ms = queue.map_or(0.0, |queue| objective_ms(queue, state));
        let known_ms = state.known_ms as f64;
        let due_ms = if state.job.spec.is_long_running() {
            0.0
        } else {
            known_ms + objective_ms
        };
        let hopeless = due_ms > 0.0 && (now_ms as f64) > known_ms + HOPELESS_FACTOR * objective_ms;
        Some(Rank {
            priority,
            hopeless,
            due_ms,
        })
    }

    /// Workers that take work now.
    fn rooms(&self, now_ms: u64) -> Vec<(ServiceName, Room)> {
        let takes_work = |view: &&WorkerView| {
            view.synced
                && now_ms >= view.not_before_ms
                && view.health.takes_work(now_ms, view.held.len())
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

    fn place_flow(&mut self, now_ms: u64, job: &JobId, rooms: &mut [(ServiceName, Room)]) {
        let Some(state) = self.flows.get(job) else {
            return;
        };
        let Some(service) = self
            .config
            .queue(&state.job.queue)
            .map(|queue| queue.service.clone())
        else {
            return;
        };
        let mut turns = Vec::new();
        for (occurrence, steps) in state.occurrences.iter().enumerate() {
            for (step, tasks) in steps.steps.iter().enumerate() {
                if !tasks.is_done() && state.is_turn(occurrence, step) {
                    turns.push((occurrence, step));
                }
            }
        }
        for (occurrence, step) in turns {
            let is_gang = self
                .flows
                .get(job)
                .and_then(|state| state.step_spec(step as u32))
                .is_some_and(|spec| spec.gang);
            if is_gang {
                self.place_gang(now_ms, job, occurrence, step, &service, rooms);
            } else {
                self.place_step(now_ms, job, occurrence, step, &service, rooms);
            }
        }
    }

    fn waiting_in(&self, now_ms: u64, job: &JobId, occurrence: usize, step: usize) -> Vec<TaskKey> {
        let Some(state) = self.flows.get(job) else {
            return Vec::new();
        };
        let tasks = state
            .occurrences
            .get(occurrence)
            .and_then(|occurrence| occurrence.steps.get(step))
            .map(|step| step.tasks.iter().enumerate());
        tasks
            .into_iter()
            .flatten()
            .filter(|(_, task)| {
                !task.done && task.placement.is_none() && now_ms >= task.not_before_ms
            })
            .map(|(index, _)| TaskKey {
                job: job.clone(),
                occurrence: occurrence as u32,
                step: step as u32,
                index: index as u32,
            })
            .collect()
    }

    fn place_step(
        &mut self,
        now_ms: u64,
        job: &JobId,
        occurrence: usize,
        step: usize,
        service: &ServiceName,
        rooms: &mut [(ServiceName, Room)],
    ) {
        let waiting = self.waiting_in(now_ms, job, occurrence, step);
        let waited_ms = self.waited(now_ms, job, occurrence, step, waiting.is_empty());
        let is_idle = self
            .flows
            .get(job)
            .is_some_and(|state| !state.has_placements());
        let patience_ms = if is_mostly_free(service, rooms) {
            FREE_PATIENCE_MS
        } else {
            PATIENCE_MS
        };
        let care = if is_idle && waited_ms >= patience_ms {
            Care::Little
        } else {
            Care::Full
        };
        for key in waiting {
            if self.fleet.is_stray(&key) {
                continue;
            }
            let quiet = self.best_room(&key, service, rooms, None, Care::Full);
            let Some(at) = quiet.or_else(|| self.best_room(&key, service, rooms, None, care))
            else {
                return;
            };
            self.put(now_ms, &key, &mut rooms[at].1, None, None);
            if quiet.is_none() {
                return;
            }
        }
    }

    /// How long tasks of a step have waited for a place.
    fn waited(
        &mut self,
        now_ms: u64,
        job: &JobId,
        occurrence: usize,
        step: usize,
        is_over: bool,
    ) -> u64 {
        let state = self.flows.get_mut(job);
        let step = state
            .and_then(|state| state.occurrences.get_mut(occurrence))
            .and_then(|occurrence| occurrence.steps.get_mut(step));
        let Some(step) = step else {
            return 0;
        };
        if is_over {
            step.waits_since_ms = None;
            return 0;
        }
        let since_ms = *step.waits_since_ms.get_or_insert(now_ms);
        now_ms.saturating_sub(since_ms)
    }

    /// Places all members of a gang, or none.
    fn place_gang(
        &mut self,
        now_ms: u64,
        job: &JobId,
        occurrence: usize,
        step: usize,
        service: &ServiceName,
        rooms: &mut [(ServiceName, Room)],
    ) {
        let keys = self.waiting_in(now_ms, job, occurrence, step);
        let Some(state) = self.flows.get(job) else {
            return;
        };
        let Some(spec) = state.step_spec(step as u32).cloned() else {
            return;
        };
        if keys.len() < spec.tasks as usize {
            return;
        }
        let members = keys.iter().filter_map(|key| state.task(key));
        let run = members.clone().map(|task| task.run).max().unwrap_or(0) + 1;
        let checkpoint = members.filter_map(|task| task.checkpoint.clone()).next();
        let racks: Vec<Option<String>> = if spec.same_rack {
            self.racks(service, rooms).into_iter().map(Some).collect()
        } else {
            vec![None]
        };
        for rack in racks.iter().chain([&None]) {
            let before: Vec<Resources> = rooms.iter().map(|(_, room)| room.free).collect();
            let chosen = self.choose_all(&keys, &spec, service, rooms, rack.as_deref());
            for ((_, room), free) in rooms.iter_mut().zip(before) {
                room.free = free;
            }
            if let Some(chosen) = chosen {
                for (key, at) in keys.iter().zip(chosen) {
                    let given = Some(checkpoint.clone());
                    self.put(now_ms, key, &mut rooms[at].1, Some(run), given);
                }
                return;
            }
        }
    }

    fn racks(&self, service: &ServiceName, rooms: &[(ServiceName, Room)]) -> Vec<String> {
        let mut racks: Vec<String> = rooms
            .iter()
            .filter(|(pool, _)| pool == service)
            .filter_map(|(_, room)| self.rack_of(&room.agent))
            .map(str::to_owned)
            .collect();
        racks.sort();
        racks.dedup();
        racks
    }

    fn rack_of(&self, agent: &AgentId) -> Option<&str> {
        self.worker(agent)?.info.as_ref()?.rack()
    }

    fn choose_all(
        &self,
        keys: &[TaskKey],
        spec: &StepSpec,
        service: &ServiceName,
        rooms: &mut [(ServiceName, Room)],
        rack: Option<&str>,
    ) -> Option<Vec<usize>> {
        let mut chosen = Vec::new();
        for key in keys {
            let at = self.best_room(key, service, rooms, rack, Care::Full)?;
            rooms[at].1.free = rooms[at].1.free.minus(&spec.reserved());
            chosen.push(at);
        }
        Some(chosen)
    }

    /// The worker that suits a task best, if any has room for it.
    fn best_room(
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
            let Some(view) = self.fleet.workers.get(&room.agent) else {
                continue;
            };
            if !may_run(view, key, spec, rack) {
                continue;
            }
            let is_avoided = task.avoid.as_ref() == Some(&room.agent);
            let score = score(view, room, spec) + if is_avoided { AVOIDED } else { 0.0 };
            let (is_fit, company) = match care {
                Care::Full => (
                    !spec.filler || self.suits_filler(view, room, spec),
                    self.company(view, spec),
                ),
                Care::Little => (
                    !spec.filler || leaves_enough(room, spec),
                    f64::from(view.worst_percent) / 100.0,
                ),
            };
            let score = score + company;
            if is_fit && best.is_none_or(|(least, _)| score < least) {
                best = Some((score, at));
            }
        }
        best.map(|(_, at)| at)
    }

    /// Whether a filler finds enough processors left over and disturbs nobody.
    fn suits_filler(&self, view: &WorkerView, room: &Room, spec: &StepSpec) -> bool {
        let image = spec.image.as_deref().unwrap_or_default();
        let mut all_good = true;
        for serving in serving_images(view) {
            match self.pairs.verdict(image, serving) {
                PairVerdict::Bad => return false,
                PairVerdict::Unknown => all_good = false,
                PairVerdict::Good => {}
            }
        }
        if !all_good && view.worst_percent >= CROWDED_PERCENT {
            return false;
        }
        leaves_enough(room, spec)
    }

    /// How little the tasks on a worker suit one more: a filler is tried first where it is known to
    /// be harmless, and tasks that serve are kept with those of their own image.
    fn company(&self, view: &WorkerView, spec: &StepSpec) -> f64 {
        let image = spec.image.as_deref().unwrap_or_default();
        let images = serving_images(view);
        if spec.filler {
            let is_open =
                |serving: &&&str| self.pairs.verdict(image, serving) == PairVerdict::Unknown;
            return images.iter().filter(is_open).count() as f64 * UNKNOWN_PAIR;
        }
        if spec.latency_target_ms.is_some() {
            let others = images.iter().filter(|serving| **serving != image).count();
            return others as f64 * OTHER_IMAGE;
        }
        0.0
    }

    /// Whether another worker has room for a filler and nothing that it disturbs.
    pub(crate) fn has_quiet_room(&self, now_ms: u64, agent: &AgentId, key: &TaskKey) -> bool {
        let Some(state) = self.flows.get(&key.job) else {
            return false;
        };
        let Some(spec) = state.step_spec(key.step) else {
            return false;
        };
        let queue = self.config.queue(&state.job.queue);
        let rooms = self.rooms(now_ms);
        rooms.iter().any(|(pool, room)| {
            let Some(view) = self.fleet.workers.get(&room.agent) else {
                return false;
            };
            room.agent != *agent
                && queue.is_some_and(|queue| queue.service == *pool)
                && spec.reserved().fits_in(&room.free)
                && may_run(view, key, spec, None)
                && self.suits_filler(view, room, spec)
        })
    }

    /// Places a task; it starts once the record of that is durable.
    fn put(
        &mut self,
        now_ms: u64,
        key: &TaskKey,
        room: &mut Room,
        run: Option<u32>,
        checkpoint: Option<Option<String>>,
    ) {
        let Some(incarnation) = self
            .worker(&room.agent)
            .and_then(|view| view.incarnation.clone())
        else {
            return;
        };
        let revision = self.touch(&key.job);
        let Some(state) = self.flows.get_mut(&key.job) else {
            return;
        };
        let Some(spec) = state.step_spec(key.step).cloned() else {
            return;
        };
        let Some(task) = state.task_mut(key) else {
            return;
        };
        task.run = run.unwrap_or(task.run + 1);
        if let Some(checkpoint) = checkpoint {
            task.checkpoint = checkpoint;
        }
        task.placement = Some(Placement {
            agent: room.agent.clone(),
            incarnation,
            stage: Stage::Unwritten,
            revision,
            percent: 0,
            progress_ms: now_ms,
            pace: 100,
            paced_ms: 0,
        });
        let run = task.run;
        self.unwritten.insert(key.job.clone());
        let held = held(now_ms, &spec, run);
        room.free = room.free.minus(&held.reserved);
        room.left_over_milli -= held.expected_milli();
        room.serves |= held.latency_target_ms.is_some();
        let free = room.free;
        let agent = room.agent.clone();
        self.worker_mut(&agent).held.insert(key.clone(), held);
        let detail = format!(
            "free {} milli, {} MB",
            free.processors_milli, free.memory_mb
        );
        self.note(NoteKind::Placed, key, run, &agent, detail);
    }
}

/// Time from acceptance within which a flow should end.
fn objective_ms(queue: &Queue, state: &FlowState) -> f64 {
    queue.stretch * state.job.spec.chain_ms() as f64 + queue.latency_target_ms as f64
}

/// Images of the tasks that serve on a worker, once each.
fn serving_images(view: &WorkerView) -> Vec<&str> {
    let serving = view
        .held
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
fn is_mostly_free(service: &ServiceName, rooms: &[(ServiceName, Room)]) -> bool {
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

/// How little a worker suits a task; the least is best. Tasks that serve are packed together, so
/// that fillers find workers on which they disturb nobody; other tasks are spread.
fn score(view: &WorkerView, room: &Room, spec: &StepSpec) -> f64 {
    let total = f64::from(room.capacity.processors_milli.max(1));
    let near = spec.data_rack.as_deref().is_none_or(|rack| {
        view.info
            .as_ref()
            .is_some_and(|info| info.rack() == Some(rack))
    });
    let distance = if near { 0.0 } else { FAR };
    let free = f64::from(room.free.processors_milli) / total;
    if spec.latency_target_ms.is_some() {
        let company = if room.serves { 0.0 } else { BESIDE_SERVICE };
        return distance + company + free;
    }
    if spec.filler {
        let left_over = room.left_over_milli as f64 / total;
        return distance - left_over;
    }
    let company = if room.serves { 0.0 } else { BESIDE_SERVICE };
    distance + company - free
}
