//! Placement: which task goes where, and in which order.

use crate::suit::{Care, Room, is_mostly_free};
use crate::{
    DecisionKind, FlowState, Placement, Queue, Scheduler, Stage, TaskKey, scheduler::held,
};
use model::{JobId, ServiceName};

/// Multiple of its objective after which a flow goes behind those that can still be in time.
const HOPELESS_FACTOR: f64 = 3.0;

/// Time for which an idle flow waits for a worker on which its filler disturbs nobody, in
/// milliseconds.
const PATIENCE_MS: u64 = 8_000;
/// The same while most of the pool is free.
const FREE_PATIENCE_MS: u64 = 1_500;

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

    pub(crate) fn waiting_in(
        &self,
        now_ms: u64,
        job: &JobId,
        occurrence: usize,
        step: usize,
    ) -> Vec<TaskKey> {
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
            let any = || match care {
                Care::Full => None,
                Care::Little => self.best_room(&key, service, rooms, None, care),
            };
            let Some(at) = quiet.or_else(any) else {
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

    /// Places a task; it starts once the record of that is durable.
    pub(crate) fn put(
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
        self.worker_mut(&agent)
            .allocations
            .insert(key.clone(), held);
        let detail = format!(
            "free {} milli, {} MB",
            free.processors_milli, free.memory_mb
        );
        self.note(DecisionKind::Placed, key, run, &agent, detail);
    }
}

/// Time from acceptance within which a flow should end.
fn objective_ms(queue: &Queue, state: &FlowState) -> f64 {
    queue.stretch * state.job.spec.chain_ms() as f64 + queue.latency_target_ms as f64
}
