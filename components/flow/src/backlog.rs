//! Work that is not done yet, by which entries decide whether they accept a new flow.

use crate::{
    FlowSpec, FlowState, Queue, RunStage, Scheduler, StepSpec, StepState, TaskState, WorkerView,
};
use admission::{Arrival, Backlog, Demand, KindBacklog, PoolBacklog, Repetition};

/// Multiple of its objective after which a flow is placed behind the others of its priority.
const OVERDUE_FACTOR: u64 = 3;
/// Least share of the processors that fillers are expected to get, in percent. What is spare varies within
/// seconds, and a moment without any does not last.
const MIN_SPARE_PERCENT: u64 = 10;
/// Progress of a task that is done, in percent.
const DONE_PERCENT: u32 = 100;

impl Queue {
    /// Time within which a flow of the queue should end, in milliseconds.
    ///
    /// ```
    /// use flow::{FlowSpec, Queue, StepSpec};
    /// let queue = Queue { key: Default::default(), service: "s".into(), priority: 0, max_attempts: 3,
    ///     stretch: 1.5, latency_target_ms: 250 };
    /// let step = StepSpec { estimate_ms: 1_000, ..Default::default() };
    /// let spec = FlowSpec { steps: vec![step], ..Default::default() };
    /// assert_eq!(queue.objective_ms(&spec), 1_750);
    /// ```
    pub fn objective_ms(&self, spec: &FlowSpec) -> u64 {
        let objective_ms = self.stretch * spec.chain_ms() as f64 + self.latency_target_ms as f64;
        objective_ms as u64
    }

    /// A new flow of the queue, for the decision about its admission.
    ///
    /// ```
    /// use flow::{FlowSpec, Queue, StepSpec};
    /// let queue = Queue { key: Default::default(), service: "s".into(), priority: 0, max_attempts: 3,
    ///     stretch: 1.5, latency_target_ms: 250 };
    /// let need = model::Resources::new(500, 64, 0);
    /// let step = StepSpec { tasks: 4, need, estimate_ms: 1_000, ..Default::default() };
    /// let spec = FlowSpec { steps: vec![step], ..Default::default() };
    /// assert_eq!(queue.arrival(&spec).ordinary.work, 2_000);
    /// ```
    pub fn arrival(&self, spec: &FlowSpec) -> Arrival<'_> {
        let repetition = if spec.is_long_running() {
            Repetition::LongRunning
        } else if spec.schedule.is_some() {
            Repetition::Recurring
        } else {
            Repetition::Once
        };
        Arrival {
            pool: self.service.as_str(),
            priority: self.priority,
            repetition,
            objective_ms: self.objective_ms(spec),
            path_ms: spec.chain_ms(),
            ordinary: demand(spec.steps.iter().filter(|step| !step.filler)),
            fillers: demand(spec.steps.iter().filter(|step| step.filler)),
        }
    }
}

/// What all tasks of these steps need.
fn demand<'a>(steps: impl Iterator<Item = &'a StepSpec>) -> Demand {
    steps.fold(Demand::default(), |sum, step| Demand {
        work: sum.work.saturating_add(work(step, u64::from(step.tasks))),
        largest_milli: sum.largest_milli.max(u64::from(step.need.processors_milli)),
    })
}

/// Work of a number of tasks of a step by their declared run time, in core-milliseconds.
fn work(step: &StepSpec, tasks: u64) -> u64 {
    let milli = u64::from(step.need.processors_milli).saturating_mul(tasks);
    milli.saturating_mul(step.estimate_ms) / 1_000
}

impl Scheduler {
    /// Work that is not done yet, and the processors for it, by pool. Takes time proportional to the
    /// states of tasks.
    ///
    /// ```
    /// assert!(flow::Scheduler::default().backlog(1_000).pools.is_empty());
    /// ```
    pub fn backlog(&self, now_ms: u64) -> Backlog {
        let mut backlog = Backlog {
            measured_ms: now_ms,
            ..Backlog::default()
        };
        for view in self.fleet.workers.values() {
            self.add_processors(view, &mut backlog);
        }
        self.add_free(now_ms, &mut backlog);
        for state in self.flows.values().filter(|state| !state.is_closed()) {
            let queue = self.config.queue(&state.job.queue);
            let pool = queue.and_then(|queue| backlog.pool_mut(queue.service.as_str()));
            if let (Some(queue), Some(pool)) = (queue, pool) {
                self.add_flow(now_ms, state, queue, pool);
            }
        }
        backlog
    }

    /// Adds the processors of a worker that answers, is not about to leave and in no evacuated domain.
    fn add_processors(&self, view: &WorkerView, backlog: &mut Backlog) {
        let info = view.info.as_ref().filter(|info| !info.draining);
        let Some(info) =
            info.filter(|_| view.contact.is_answering() && !self.evacuations.includes_worker(view))
        else {
            return;
        };
        let Some(pool) = backlog.pool_mut(info.service.as_str()) else {
            return;
        };
        let total = u64::from(info.capacity.processors_milli);
        let (mut lasting, mut expected) = (0, 0);
        for (key, allocation) in &view.allocations {
            let is_lasting = self.step_spec(key).is_some_and(|step| step.long_running);
            if is_lasting {
                lasting += u64::from(allocation.reserved.processors_milli);
            }
            if !allocation.filler {
                expected += u64::try_from(allocation.expected_milli()).unwrap_or(0);
            }
        }
        let spare = total.saturating_sub(expected);
        pool.ordinary.cores_milli += total.saturating_sub(lasting);
        pool.fillers.cores_milli += spare.max(total * MIN_SPARE_PERCENT / 100);
    }

    /// Notes the most processors that are free on one worker, of those that accept new runs.
    fn add_free(&self, now_ms: u64, backlog: &mut Backlog) {
        let candidates = self.candidates(now_ms).into_iter();
        for (service, candidate) in candidates.filter(|(_, one)| one.held_for.is_empty()) {
            let Some(pool) = backlog.pool_mut(service.as_str()) else {
                continue;
            };
            let free = u64::from(candidate.free.processors_milli);
            let spare = u64::try_from(candidate.spare_milli).unwrap_or(0);
            pool.ordinary.largest_free_milli = pool.ordinary.largest_free_milli.max(free);
            pool.fillers.largest_free_milli = pool.fillers.largest_free_milli.max(spare);
        }
    }

    /// Adds the work of a flow. Queued work that is placed behind a new flow is left out.
    fn add_flow(&self, now_ms: u64, state: &FlowState, queue: &Queue, pool: &mut PoolBacklog) {
        let objective_ms = queue.objective_ms(&state.job.spec);
        let since_ms = now_ms.saturating_sub(state.first_seen_ms);
        let is_behind = match self.policies.overload_order {
            true => since_ms > objective_ms,
            false => since_ms > objective_ms.saturating_mul(OVERDUE_FACTOR),
        };
        let due_in_ms = objective_ms.saturating_sub(since_ms);
        for occurrence in &state.occurrences {
            for (spec, step) in state.job.spec.steps.iter().zip(&occurrence.steps) {
                if spec.long_running {
                    continue;
                }
                let kind = kind_of(spec, pool);
                kind.add_running(queue.priority, running_work(spec, step));
                if !is_behind {
                    kind.add_queued(queue.priority, due_in_ms, queued_work(spec, step));
                }
            }
        }
    }
}

/// Part of the backlog that the tasks of a step belong to.
fn kind_of<'a>(step: &StepSpec, pool: &'a mut PoolBacklog) -> &'a mut KindBacklog {
    match step.filler {
        true => &mut pool.fillers,
        false => &mut pool.ordinary,
    }
}

/// Work that the placed tasks of a step have left, in core-milliseconds.
fn running_work(spec: &StepSpec, step: &StepState) -> u64 {
    let per_task = work(spec, 1);
    let left = step
        .tasks
        .iter()
        .map(|task| left_percent(task) * per_task / 100);
    left.fold(0, u64::saturating_add)
}

/// Share of its work that a placed task has left, in percent; 0 if it is not placed.
fn left_percent(task: &TaskState) -> u64 {
    let placement = task.placement.as_ref().filter(|_| !task.done);
    placement.map_or(0, |placement| match placement.stage {
        RunStage::Stopping { .. } => 0,
        _ => u64::from(DONE_PERCENT.saturating_sub(placement.percent)),
    })
}

/// Work of the tasks of a step that are neither done nor placed, in core-milliseconds.
fn queued_work(spec: &StepSpec, step: &StepState) -> u64 {
    if step.is_released {
        return 0;
    }
    let never_placed = u64::from(step.count).saturating_sub(step.tasks.len() as u64);
    let queued = step.tasks.iter().filter(|task| task.is_queued()).count();
    work(spec, never_placed + queued as u64)
}
