//! A flow and its tasks, as the scheduler keeps them.

use crate::{FlowJob, FlowPhase, Incarnation, StepSpec, TaskKey};
use model::AgentId;

/// How far an order about a run has come.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Stage {
    /// The record of the placement is not durable yet; nothing was ordered.
    Unwritten,
    /// The start was ordered and not answered yet.
    Ordered,
    /// Nobody knows whether the run started: the answer was lost, or the order was another
    /// scheduler's.
    Unsure,
    /// The worker confirmed the run.
    Running {
        /// When it was confirmed.
        since_ms: u64,
    },
    /// The run is being stopped.
    Stopping {
        /// When the stop was last ordered.
        ordered_ms: u64,
        /// When the worker answered the stop; from then on the run can't start any more.
        answered_ms: Option<u64>,
    },
}

/// Where a task is placed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Placement {
    /// Agent of the worker.
    pub agent: AgentId,
    /// Life of the worker.
    pub incarnation: Incarnation,
    /// How far the order has come.
    pub stage: Stage,
    /// Revision of the flow's record that holds the placement.
    pub revision: u64,
    /// Last progress that was reported, from 0 to 100.
    pub percent: u32,
    /// When the progress last grew.
    pub progress_ms: u64,
    /// Share at which the run may work, in percent.
    pub pace: u32,
    /// When the pace was last changed.
    pub paced_ms: u64,
}

/// A task as the scheduler keeps it.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct TaskState {
    /// Number of the newest run; 0 before the first.
    pub run: u32,
    /// Runs that failed.
    pub failures: u32,
    /// Whether a run succeeded.
    pub done: bool,
    /// Newest checkpoint.
    pub checkpoint: Option<String>,
    /// Where the newest run is, until it has surely ended.
    pub placement: Option<Placement>,
    /// Agent whose worker failed the task last.
    pub avoid: Option<AgentId>,
    /// Time before which the task is not placed again.
    pub not_before_ms: u64,
}

/// A step of one occurrence.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct StepState {
    /// Tasks, by index.
    pub tasks: Vec<TaskState>,
    /// Since when tasks of the step may run and some wait.
    pub waits_since_ms: Option<u64>,
}

impl StepState {
    /// Whether every task succeeded.
    pub fn is_done(&self) -> bool {
        self.tasks.iter().all(|task| task.done)
    }

    /// Failed runs of all tasks together.
    pub fn failures(&self) -> u32 {
        self.tasks.iter().map(|task| task.failures).sum()
    }
}

/// One occurrence of a flow.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct OccurrenceState {
    /// Steps, by number.
    pub steps: Vec<StepState>,
}

/// A flow as the scheduler keeps it.
#[derive(Debug, Clone)]
pub struct FlowState {
    /// The accepted flow.
    pub job: FlowJob,
    /// Whether its caller cancelled it.
    pub cancelled: bool,
    /// Whether a task failed too often.
    pub failed: bool,
    /// Occurrences that are due or were.
    pub occurrences: Vec<OccurrenceState>,
    /// Grows with each change of the record.
    pub revision: u64,
    /// Revision that the table holds.
    pub durable_revision: u64,
    /// When the scheduler heard of the flow.
    pub known_ms: u64,
    /// Whether a task was ever started.
    pub started: bool,
    /// Whether the end was handed on.
    pub reported_end: bool,
}

impl FlowState {
    /// A flow of which no task was placed.
    pub fn new(job: FlowJob, now_ms: u64) -> Self {
        Self {
            job,
            cancelled: false,
            failed: false,
            occurrences: Vec::new(),
            revision: 0,
            durable_revision: 0,
            known_ms: now_ms,
            started: false,
            reported_end: false,
        }
    }

    /// Adds the occurrences that are due at `wall_ms`; answers whether there were any.
    pub fn activate(&mut self, wall_ms: u64) -> bool {
        let before = self.occurrences.len();
        let total = self.job.spec.occurrences() as usize;
        while self.occurrences.len() < total {
            let next = self.occurrences.len() as u32;
            if self.job.spec.due_wall_ms(next) > wall_ms {
                break;
            }
            self.occurrences.push(fresh_occurrence(&self.job));
        }
        self.occurrences.len() > before
    }

    /// A task, if it is known.
    pub fn task(&self, key: &TaskKey) -> Option<&TaskState> {
        let occurrence = self.occurrences.get(key.occurrence as usize)?;
        let step = occurrence.steps.get(key.step as usize)?;
        step.tasks.get(key.index as usize)
    }

    /// A task, if it is known.
    pub fn task_mut(&mut self, key: &TaskKey) -> Option<&mut TaskState> {
        let occurrence = self.occurrences.get_mut(key.occurrence as usize)?;
        let step = occurrence.steps.get_mut(key.step as usize)?;
        step.tasks.get_mut(key.index as usize)
    }

    /// What the caller states of a step.
    pub fn step_spec(&self, step: u32) -> Option<&StepSpec> {
        self.job.spec.steps.get(step as usize)
    }

    /// Every task with its name.
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

    /// Whether all steps before this one are done.
    pub fn is_turn(&self, occurrence: usize, step: usize) -> bool {
        let Some(state) = self.occurrences.get(occurrence) else {
            return false;
        };
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

    /// Whether a run of any task may still exist.
    pub fn has_placements(&self) -> bool {
        self.tasks().any(|(_, task)| task.placement.is_some())
    }

    /// Whether every task of every occurrence succeeded.
    pub fn is_complete(&self) -> bool {
        self.occurrences.len() == self.job.spec.occurrences() as usize
            && self
                .occurrences
                .iter()
                .all(|occurrence| occurrence.steps.iter().all(StepState::is_done))
    }

    /// Whether no further task may start.
    pub fn is_closed(&self) -> bool {
        self.cancelled || self.failed
    }

    /// How it ended, whether or not the table knows.
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

    /// Whether the table holds the newest record.
    pub fn is_durable(&self) -> bool {
        self.durable_revision >= self.revision
    }

    /// The state that callers are told: an end only once it is durable. A cancellation is
    /// durable before the scheduler hears of it.
    pub fn phase(&self) -> FlowPhase {
        match self.end() {
            Some(FlowPhase::Cancelled) => FlowPhase::Cancelled,
            Some(end) if self.is_durable() => end,
            _ if self.started => FlowPhase::Running,
            _ => FlowPhase::Queued,
        }
    }
}

fn fresh_occurrence(job: &FlowJob) -> OccurrenceState {
    let fresh_step = |step: &StepSpec| StepState {
        tasks: vec![TaskState::default(); step.tasks as usize],
        waits_since_ms: None,
    };
    OccurrenceState {
        steps: job.spec.steps.iter().map(fresh_step).collect(),
    }
}
