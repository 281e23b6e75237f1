//! State of a flow and of its tasks in the scheduler.

use crate::{CrashCount, FlowJob, FlowPhase, FlowSpec, Incarnation, StepSpec, TaskKey};
use interference::MarginTrend;
use model::AgentId;

/// Most occurrences of a flow that are activated and not done at once; later ones wait for them.
const MAX_OPEN_OCCURRENCES: usize = 256;

/// State of a task that was never placed.
static NEVER_PLACED: TaskState = TaskState {
    run: 0,
    failures: 0,
    crashes: CrashCount {
        soon: 0,
        alone: 0,
        total: 0,
    },
    done: false,
    checkpoint: None,
    placement: None,
    avoided_agent: None,
    not_before_ms: 0,
};

/// Progress of the start or stop of a placed run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RunStage {
    /// The record of the placement is not durable yet; no start was ordered.
    Uncommitted,
    /// The start was ordered and has not been answered yet.
    Ordered,
    /// It is not known whether the run started: the answer was lost, or a former scheduler ordered
    /// it.
    Unconfirmed,
    /// The worker confirmed the run.
    Running {
        /// When it was confirmed, in milliseconds.
        since_ms: u64,
    },
    /// The run is being stopped.
    Stopping {
        /// When the stop was last ordered, in milliseconds.
        ordered_ms: u64,
        /// When the worker first answered the stop, in milliseconds; from then on the run can't
        /// start any more. `None` before the answer.
        answered_ms: Option<u64>,
    },
}

/// Placement of a task's newest run on a worker.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Placement {
    /// Agent of the worker.
    pub agent: AgentId,
    /// Incarnation of the worker.
    pub incarnation: Incarnation,
    /// Progress of its start or stop.
    pub stage: RunStage,
    /// First revision of the flow's record that holds the placement; 0 if it was read from the
    /// table.
    pub revision: u64,
    /// Greatest progress reported, from 0 to 100.
    pub percent: u32,
    /// When the progress last grew, in milliseconds.
    pub progress_ms: u64,
    /// Percentage of the full pace at which the run works; 100 when it starts.
    pub pace: u32,
    /// When the pace was last changed, in milliseconds; 0 before the first change.
    pub pace_changed_ms: u64,
}

/// State of a task.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct TaskState {
    /// Number of the newest run; 0 before the first.
    pub run: u32,
    /// Number of failed runs.
    pub failures: u32,
    /// Crashes of workers under its runs.
    pub crashes: CrashCount,
    /// Whether a run succeeded; never set for long-running tasks.
    pub done: bool,
    /// Newest checkpoint, if there is one.
    pub checkpoint: Option<String>,
    /// Placement of the newest run; `None` once the run is known to have ended.
    pub placement: Option<Placement>,
    /// Agent of the worker on which the task last failed or stalled; placement prefers others.
    pub avoided_agent: Option<AgentId>,
    /// Time before which the task is not placed again, in milliseconds.
    pub not_before_ms: u64,
}

impl TaskState {
    /// Marks the task as done, and drops what only a further run would need.
    pub fn finish(&mut self) {
        self.done = true;
        self.checkpoint = None;
        self.avoided_agent = None;
    }

    /// Whether the task is neither done nor placed.
    pub fn is_queued(&self) -> bool {
        !self.done && self.placement.is_none()
    }
}

/// State of a step within one occurrence. The states of tasks are allocated with their first
/// placement, and dropped once all tasks are done.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct StepState {
    /// Number of tasks.
    pub count: u32,
    /// States of tasks, by index, up to the last task that was ever placed; empty once the step is
    /// released.
    pub tasks: Vec<TaskState>,
    /// Whether every task succeeded, no run is left, and the states of the tasks were dropped.
    pub is_released: bool,
    /// Since when the step has been ready with queued tasks, in milliseconds; `None` if none is
    /// queued.
    pub queued_since_ms: Option<u64>,
    /// Time before which no worker is searched for the step's fillers, in milliseconds.
    pub filler_retry_ms: u64,
    /// Margin that the step's latency-critical tasks have without fillers; `None` before the first
    /// report of one.
    pub margin: Option<MarginTrend>,
}

impl StepState {
    /// Creates the state of a step of which no task was placed.
    pub fn new(spec: &StepSpec) -> Self {
        Self {
            count: spec.tasks,
            ..Self::default()
        }
    }

    /// Whether every task succeeded.
    pub fn is_done(&self) -> bool {
        let all_have_run = self.tasks.len() == self.count as usize;
        self.is_released || (all_have_run && self.tasks.iter().all(|task| task.done))
    }

    /// Whether any task is neither done nor placed.
    pub fn has_queued_tasks(&self) -> bool {
        self.all_tasks().any(|(_, task)| task.is_queued())
    }

    /// State of a task, or `None` if there is no such task or the step is released.
    pub fn task(&self, index: u32) -> Option<&TaskState> {
        let is_known = !self.is_released && index < self.count;
        is_known.then(|| self.tasks.get(index as usize).unwrap_or(&NEVER_PLACED))
    }

    /// Mutable state of a task, which is allocated if need be; `None` as for [`StepState::task`].
    pub fn task_mut(&mut self, index: u32) -> Option<&mut TaskState> {
        if self.is_released || index >= self.count {
            return None;
        }
        let needed = index as usize + 1;
        if self.tasks.len() < needed {
            self.tasks.resize_with(needed, TaskState::default);
        }
        self.tasks.get_mut(index as usize)
    }

    /// All tasks with their indices, also those that were never placed; none if the step is
    /// released.
    pub fn all_tasks(&self) -> impl Iterator<Item = (u32, &TaskState)> {
        let count = if self.is_released { 0 } else { self.count };
        (0..count).filter_map(|index| Some((index, self.task(index)?)))
    }

    /// Drops the states of the tasks if all are done and no run is left.
    fn release_if_done(&mut self) {
        let has_placements = self.tasks.iter().any(|task| task.placement.is_some());
        if !self.is_released && !has_placements && self.is_done() {
            self.is_released = true;
            self.tasks = Vec::new();
            self.margin = None;
        }
    }

    /// Number of failed runs of all tasks together.
    pub fn failures(&self) -> u32 {
        self.tasks.iter().map(|task| task.failures).sum()
    }
}

/// State of one occurrence of a flow.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct OccurrenceState {
    /// Steps, by number; none once all are done and released.
    pub steps: Vec<StepState>,
}

impl OccurrenceState {
    /// Creates the state of an occurrence of which no task was placed.
    pub fn new(spec: &FlowSpec) -> Self {
        Self {
            steps: spec.steps.iter().map(StepState::new).collect(),
        }
    }

    /// Whether every task of every step succeeded.
    pub fn is_done(&self) -> bool {
        self.steps.iter().all(StepState::is_done)
    }

    /// Whether all steps were done and their states were dropped.
    pub fn is_released(&self) -> bool {
        self.steps.is_empty()
    }

    /// Drops the states of the steps that are done and have no run left.
    pub fn release_if_done(&mut self) {
        self.steps.iter_mut().for_each(StepState::release_if_done);
        if self.steps.iter().all(|step| step.is_released) {
            self.steps = Vec::new();
        }
    }
}

/// State of a flow.
#[derive(Debug, Clone)]
pub struct FlowState {
    /// The accepted flow.
    pub job: FlowJob,
    /// Whether the caller cancelled it.
    pub cancelled: bool,
    /// Whether a task failed as often as its queue allows.
    pub failed: bool,
    /// Whether the flow asks for more than [`FlowLimits::MAX`](crate::FlowLimits::MAX), so that it
    /// failed when it was loaded.
    pub exceeds_limits: bool,
    /// Activated occurrences, in order.
    pub occurrences: Vec<OccurrenceState>,
    /// Revision of the record; grows with each change.
    pub revision: u64,
    /// Newest revision that is durable in the table.
    pub durable_revision: u64,
    /// When this scheduler learned of the flow, in milliseconds.
    pub first_seen_ms: u64,
    /// Whether a run of any task was ever started.
    pub started: bool,
    /// Whether the record that a former scheduler wrote holds the flow's end.
    pub is_end_restored: bool,
}

impl FlowState {
    /// Creates a flow without activated occurrences.
    pub fn new(job: FlowJob, now_ms: u64) -> Self {
        Self {
            job,
            cancelled: false,
            failed: false,
            exceeds_limits: false,
            occurrences: Vec::new(),
            revision: 0,
            durable_revision: 0,
            first_seen_ms: now_ms,
            started: false,
            is_end_restored: false,
        }
    }

    /// Activates the occurrences that are due at `wall_ms`, as long as few enough are not done.
    /// Returns whether there were any.
    pub fn activate(&mut self, wall_ms: u64) -> bool {
        let before = self.occurrences.len();
        let total = self.job.spec.occurrences() as usize;
        let is_open = |occurrence: &&OccurrenceState| !occurrence.is_released();
        let mut open = self.occurrences.iter().filter(is_open).count();
        while self.occurrences.len() < total && open < MAX_OPEN_OCCURRENCES {
            let next = self.occurrences.len() as u32;
            if self.job.spec.due_wall_ms(next) > wall_ms {
                break;
            }
            self.occurrences.push(OccurrenceState::new(&self.job.spec));
            open += 1;
        }
        self.occurrences.len() > before
    }

    /// Drops the states of tasks that can't be needed any more: those of steps that are done.
    pub fn release_done_steps(&mut self) {
        for occurrence in &mut self.occurrences {
            occurrence.release_if_done();
        }
    }

    /// State of a task, or `None` if its occurrence is not activated, its step is released, or there
    /// is no such task.
    pub fn task(&self, key: &TaskKey) -> Option<&TaskState> {
        self.step(key)?.task(key.index)
    }

    /// Mutable state of a task; `None` as for [`FlowState::task`].
    pub fn task_mut(&mut self, key: &TaskKey) -> Option<&mut TaskState> {
        self.step_mut(key)?.task_mut(key.index)
    }

    /// State of the step that a task belongs to, or `None` if its occurrence is not activated or is
    /// released.
    pub fn step(&self, key: &TaskKey) -> Option<&StepState> {
        let occurrence = self.occurrences.get(key.occurrence as usize)?;
        occurrence.steps.get(key.step as usize)
    }

    /// Mutable state of the step that a task belongs to; `None` as for [`FlowState::step`].
    pub fn step_mut(&mut self, key: &TaskKey) -> Option<&mut StepState> {
        let occurrence = self.occurrences.get_mut(key.occurrence as usize)?;
        occurrence.steps.get_mut(key.step as usize)
    }

    /// Specification of a step, or `None` if there is no such step.
    pub fn step_spec(&self, step: u32) -> Option<&StepSpec> {
        self.job.spec.steps.get(step as usize)
    }

    /// All tasks with allocated states, with their keys, in order.
    pub fn tasks(&self) -> impl Iterator<Item = (TaskKey, &TaskState)> {
        let numbered = self.occurrences.iter().enumerate();
        numbered.flat_map(move |(occurrence, state)| {
            state
                .steps
                .iter()
                .enumerate()
                .flat_map(move |(step, state)| {
                    state.tasks.iter().enumerate().map(move |(index, task)| {
                        let key = TaskKey {
                            job: self.job.id.clone(),
                            occurrence: occurrence as u32,
                            step: step as u32,
                            index: index as u32,
                        };
                        (key, task)
                    })
                })
        })
    }

    /// Whether all steps that this step depends on are done.
    pub fn is_step_ready(&self, occurrence: usize, step: usize) -> bool {
        let Some(state) = self.occurrences.get(occurrence) else {
            return false;
        };
        if state.is_done() {
            return true;
        }
        let Some(spec) = self.job.spec.steps.get(step) else {
            return false;
        };
        let is_done = |at: &u32| {
            state
                .steps
                .get(*at as usize)
                .is_some_and(StepState::is_done)
        };
        spec.after.iter().all(is_done)
    }

    /// Whether any task is placed, so that its run may still exist.
    pub fn has_placements(&self) -> bool {
        self.tasks().any(|(_, task)| task.placement.is_some())
    }

    /// Whether every occurrence was activated and every task succeeded.
    pub fn is_complete(&self) -> bool {
        self.occurrences.len() == self.job.spec.occurrences() as usize
            && self.occurrences.iter().all(OccurrenceState::is_done)
    }

    /// Whether the flow was cancelled or failed, so that no further task may start.
    pub fn is_closed(&self) -> bool {
        self.cancelled || self.failed
    }

    /// How the flow ended, durable or not; `None` if it has not ended.
    pub fn end(&self) -> Option<FlowPhase> {
        if self.cancelled {
            Some(FlowPhase::Cancelled)
        } else if self.failed {
            Some(FlowPhase::Failed)
        } else if self.is_complete() {
            Some(FlowPhase::Completed)
        } else {
            None
        }
    }

    /// Whether the newest revision of the record is durable.
    pub fn is_durable(&self) -> bool {
        self.durable_revision >= self.revision
    }

    /// Phase as reported to callers. An end shows only once it is durable, except for a
    /// cancellation, which is durable before the scheduler learns of it.
    pub fn phase(&self) -> FlowPhase {
        match self.end() {
            Some(FlowPhase::Cancelled) => FlowPhase::Cancelled,
            Some(end) if self.is_durable() || self.is_end_restored => end,
            _ if self.started => FlowPhase::Running,
            _ => FlowPhase::Queued,
        }
    }
}
