//! State of a flow and of its placements in the scheduler.

use crate::{
    FlowJob, FlowPhase, GangsFailures, Incarnation, OccurrenceState, StepSpec, StepState, TaskKey,
    TaskState,
};
use model::AgentId;

/// Most occurrences of a flow that are activated and not done at once; later ones wait for them.
pub(crate) const MAX_OPEN_OCCURRENCES: usize = 256;

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

/// Placement of a run of a task on a worker.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Placement {
    /// Number of the run; lower than that of the task's newest run if a duplicate was started later.
    pub run: u32,
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
    /// Whether the run was told that pace, or began with it; not known if a former scheduler may have
    /// ordered another, or if an order may not have been carried out.
    pub is_pace_known: bool,
    /// When the pace was last changed, in milliseconds; 0 before the first change.
    pub pace_changed_ms: u64,
    /// When the newest checkpoint of the run was first reported, in milliseconds; 0 before the first.
    pub saved_ms: u64,
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
    /// Failed runs of its gangs that are not done.
    pub gang_failures: GangsFailures,
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
            gang_failures: GangsFailures::default(),
        }
    }

    /// Activates the occurrences that are due at `wall_ms`, as long as few enough are not done.
    /// Returns whether there were any.
    pub fn activate(&mut self, wall_ms: u64) -> bool {
        self.activate_within(wall_ms, MAX_OPEN_OCCURRENCES)
    }

    /// As [`FlowState::activate`], with at most `max_open` occurrences that are not done.
    pub(crate) fn activate_within(&mut self, wall_ms: u64, max_open: usize) -> bool {
        let before = self.occurrences.len();
        let total = self.job.spec.occurrences() as usize;
        let is_open = |occurrence: &&OccurrenceState| !occurrence.is_released();
        let mut open = self.occurrences.iter().filter(is_open).count();
        while self.occurrences.len() < total && open < max_open {
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
        self.drop_gang_failures();
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

    /// Steps that are not done and whose dependencies are, as pairs of occurrence and step. The whole
    /// occurrence is examined once, as passes do this for each waiting flow.
    pub(crate) fn ready_steps(&self) -> Vec<(usize, usize)> {
        let mut ready = Vec::new();
        for (occurrence, state) in self.occurrences.iter().enumerate() {
            let is_done: Vec<bool> = state.steps.iter().map(StepState::is_done).collect();
            for (step, spec) in self.job.spec.steps.iter().enumerate() {
                let is_after_done = |at: &u32| is_done.get(*at as usize) == Some(&true);
                if is_done.get(step) == Some(&false) && spec.after.iter().all(is_after_done) {
                    ready.push((occurrence, step));
                }
            }
        }
        ready
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
