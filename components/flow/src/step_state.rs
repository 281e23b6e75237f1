//! States of the tasks of a step and of an occurrence. They are allocated when tasks run, and dropped
//! when the tasks are done.

use crate::{CrashCount, FlowSpec, NearWait, Placement, StepSpec};
use estimates::Siblings;
use interference::MarginTrend;
use model::AgentId;

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
    run_ms: 0,
    checkpoint: None,
    placement: None,
    duplicate: None,
    avoided_agent: None,
    not_before_ms: 0,
};

/// State of a task.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct TaskState {
    /// Number of the newest run, which may be that of a duplicate; 0 before the first.
    pub run: u32,
    /// Number of failed runs.
    pub failures: u32,
    /// Crashes of workers under its runs.
    pub crashes: CrashCount,
    /// Whether a run succeeded; never set for long-running tasks.
    pub done: bool,
    /// Time that its first run took to succeed, in milliseconds; 0 if it has not, or if its step allows no
    /// duplicates.
    pub run_ms: u32,
    /// Newest checkpoint, if there is one.
    pub checkpoint: Option<String>,
    /// Placement of its run; `None` once the run is known to have ended.
    pub placement: Option<Placement>,
    /// Placement of a second run, on another worker; `None` if the task is not placed. In a box, as few
    /// tasks have one.
    pub duplicate: Option<Box<Placement>>,
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
    /// Wait of its tasks for near workers; `None` while none has waited since it was last without queued
    /// tasks.
    pub near_wait: Option<Box<NearWait>>,
    /// Run times of the step's tasks that have ended; `None` before the first is learned.
    pub siblings: Option<Box<Siblings>>,
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
            self.near_wait = None;
            self.siblings = None;
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
