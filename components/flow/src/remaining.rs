//! What is left of a flow: its longest chain of run times, and its work.

use crate::{FlowState, OccurrenceState, RunStage, Scheduler, StepSpec, StepState, TaskState};
use job_order::JobView;

/// Least pace at which a filler's remaining time is computed, in percent of the full pace. Lower paces
/// seldom last.
const MIN_COUNTED_PACE_PERCENT: u64 = 50;
/// Difference between the ages of a flow by the wall clock and by this scheduler from which the wall
/// clock counts, in milliseconds. Below it, the difference may be one between the clocks of two VMs.
const MAX_CLOCK_DIFFERENCE_MS: u64 = 2_000;

/// What is left of the oldest occurrence of a flow that is not done.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub(crate) struct Remaining {
    /// Longest chain of remaining run times, in milliseconds.
    pub path_ms: u64,
    /// Work of the tasks that are not done, in core-milliseconds.
    pub work: u64,
    /// The part of it that is work of fillers.
    pub filler_work: u64,
    /// Memory over time of the tasks that are not done, in megabyte-milliseconds.
    pub memory_time: u64,
    /// Whether any task of the flow is neither done nor placed.
    pub has_queued_tasks: bool,
}

/// What is left of a step.
#[derive(Debug, Clone, Copy, Default)]
struct RemainingStep {
    /// Longest remaining run time of its tasks, in milliseconds.
    longest_ms: u64,
    /// Sum of the remaining run times at full pace, in milliseconds.
    total_ms: u64,
    has_queued_tasks: bool,
}

impl Scheduler {
    /// Expected run time of a task of a step at full pace on a worker of normal speed, in milliseconds; the
    /// declared one unless run times are learned. 0 if the flow has no such step. Every estimate of a run
    /// time is requested here.
    pub(crate) fn run_time_ms(&self, state: &FlowState, step: u32) -> u64 {
        let Some(spec) = state.step_spec(step) else {
            return 0;
        };
        match self.policies.learned_run_times {
            true => self.estimate(state, step, spec).median_ms,
            false => spec.estimate_ms,
        }
    }

    /// A flow as the order of jobs sees it, and what is left of it; `None` while it waits for its next
    /// occurrence or its queue is not known. A recurring flow is seen as its oldest occurrence that is not
    /// done, which arrives when it is due.
    pub(crate) fn job_view(
        &self,
        now_ms: u64,
        wall_ms: u64,
        state: &FlowState,
    ) -> Option<(JobView, Remaining)> {
        let queue = self.config.queue(&state.job.queue)?;
        let open = |occurrence: &OccurrenceState| !occurrence.is_done();
        let number = state.occurrences.iter().position(open)?;
        let mut remaining = self.remaining(state, &state.occurrences[number]);
        let later = &state.occurrences[number + 1..];
        let mut later_steps = later.iter().flat_map(|occurrence| &occurrence.steps);
        remaining.has_queued_tasks |= later_steps.any(StepState::has_queued_tasks);
        let spec = &state.job.spec;
        let objective_ms = queue.stretch * spec.chain_ms() as f64;
        let objective_ms = objective_ms as u64 + queue.latency_target_ms;
        let arrived_ms = arrived_ms(now_ms, wall_ms, state, number as u32);
        let work = |(step, spec): (usize, &StepSpec)| {
            let total_ms =
                u64::from(spec.tasks).saturating_mul(self.run_time_ms(state, step as u32));
            work_of(spec, total_ms)
        };
        let view = JobView {
            priority: queue.priority,
            is_long_running: spec.is_long_running(),
            arrived_ms,
            due_ms: arrived_ms + objective_ms,
            objective_ms,
            remaining_path_ms: remaining.path_ms,
            remaining_work: remaining.work,
            work: spec.steps.iter().enumerate().map(work).sum(),
            has_begun: state.started || state.steps().any(|step| !step.tasks.is_empty()),
        };
        Some((view, remaining))
    }

    /// What is left of an occurrence.
    pub(crate) fn remaining(&self, state: &FlowState, occurrence: &OccurrenceState) -> Remaining {
        let specs = &state.job.spec.steps;
        let mut remaining = Remaining::default();
        let mut ends_ms: Vec<u64> = Vec::with_capacity(specs.len());
        for (number, (spec, step)) in specs.iter().zip(&occurrence.steps).enumerate() {
            let run_ms = self.run_time_ms(state, number as u32);
            let left = remaining_step(step, spec, run_ms);
            let before = spec.after.iter().filter_map(|at| ends_ms.get(*at as usize));
            let begin_ms = before.copied().max().unwrap_or(0);
            let end_ms = begin_ms.saturating_add(left.longest_ms);
            ends_ms.push(end_ms);
            let work = work_of(spec, left.total_ms);
            remaining.path_ms = remaining.path_ms.max(end_ms);
            remaining.work = remaining.work.saturating_add(work);
            if spec.filler {
                remaining.filler_work = remaining.filler_work.saturating_add(work);
            }
            let memory_time = u64::from(spec.need.memory_mb).saturating_mul(left.total_ms);
            remaining.memory_time = remaining.memory_time.saturating_add(memory_time);
            remaining.has_queued_tasks |= left.has_queued_tasks;
        }
        remaining
    }
}

/// When a flow, or an occurrence of a recurring one, arrived, in milliseconds. A scheduler that took over
/// learns of a flow later than it arrived; then the time of acceptance counts.
pub(crate) fn arrived_ms(now_ms: u64, wall_ms: u64, state: &FlowState, occurrence: u32) -> u64 {
    let by_wall = |then_wall_ms| now_ms.saturating_sub(wall_ms.saturating_sub(then_wall_ms));
    if state.job.spec.schedule.is_some() {
        return by_wall(state.job.spec.due_wall_ms(occurrence));
    }
    let accepted_ms = by_wall(state.job.accepted_wall_ms);
    let is_restored = accepted_ms + MAX_CLOCK_DIFFERENCE_MS < state.first_seen_ms;
    if is_restored && state.job.accepted_wall_ms > 0 {
        accepted_ms
    } else {
        state.first_seen_ms
    }
}

/// Work of a step's tasks that run for `total_ms` together, in core-milliseconds.
fn work_of(spec: &StepSpec, total_ms: u64) -> u64 {
    u64::from(spec.need.processors_milli).saturating_mul(total_ms) / 1_000
}

fn remaining_step(step: &StepState, spec: &StepSpec, run_ms: u64) -> RemainingStep {
    let mut left = RemainingStep::default();
    if step.is_released {
        return left;
    }
    for task in step.tasks.iter().filter(|task| !task.done) {
        let done_percent = done_percent(task);
        let task_ms = run_ms * (100 - done_percent) / 100;
        left.total_ms = left.total_ms.saturating_add(task_ms);
        left.longest_ms = left
            .longest_ms
            .max(task_ms * 100 / pace_percent(task, spec));
        left.has_queued_tasks |= task.is_queued();
    }
    let never_placed = u64::from(step.count).saturating_sub(step.tasks.len() as u64);
    if never_placed > 0 {
        left.total_ms = left
            .total_ms
            .saturating_add(run_ms.saturating_mul(never_placed));
        left.longest_ms = left.longest_ms.max(run_ms);
        left.has_queued_tasks = true;
    }
    left
}

/// Progress of a task's run, in percent; 0 if it has none.
fn done_percent(task: &TaskState) -> u64 {
    let placement = task.placement.as_ref();
    placement.map_or(0, |placement| u64::from(placement.percent.min(100)))
}

/// Pace at which a task's remaining time is computed, in percent of the full pace.
fn pace_percent(task: &TaskState, spec: &StepSpec) -> u64 {
    let running = task
        .placement
        .as_ref()
        .filter(|placement| matches!(placement.stage, RunStage::Running { .. }));
    match running {
        Some(placement) if spec.filler => {
            u64::from(placement.pace).clamp(MIN_COUNTED_PACE_PERCENT, 100)
        }
        _ => 100,
    }
}
