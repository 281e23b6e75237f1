//! Limits the memory of flows in progress: steps and occurrences begin only while there is room for the
//! states of their tasks.

use crate::state::MAX_OPEN_OCCURRENCES;
use crate::{Scheduler, StepState, TaskState};
use model::JobId;
use std::mem::size_of;

/// Memory for flows in progress.
#[derive(Debug, Clone, Copy)]
pub(crate) struct ProgressLimit {
    /// Most bytes of the states of tasks at which further steps begin.
    pub task_bytes: usize,
    /// Bytes of the states of tasks in the present pass.
    pub used_bytes: usize,
}

/// Without a limit, all steps begin.
impl Default for ProgressLimit {
    fn default() -> Self {
        Self {
            task_bytes: usize::MAX,
            used_bytes: 0,
        }
    }
}

impl Scheduler {
    /// Limits the memory for states of tasks to `bytes`, with one step beyond. A step that has begun
    /// goes on whatever it takes.
    pub fn set_task_limit(&mut self, bytes: usize) {
        self.progress.task_bytes = bytes;
    }

    /// Measures the states of tasks before a pass. Returns how many occurrences of a flow may be open:
    /// one if there is no room for more.
    pub(crate) fn measure_progress(&mut self) -> usize {
        let (mut used_bytes, mut state_bytes) = (0, 0);
        for flow in self.flows.values() {
            let task_bytes: usize = flow.steps().map(StepState::state_bytes).sum();
            used_bytes += task_bytes;
            state_bytes += task_bytes + flow.own_bytes();
        }
        self.progress.used_bytes = used_bytes;
        let limit_bytes = self.progress.task_bytes.saturating_mul(2);
        if state_bytes < limit_bytes {
            MAX_OPEN_OCCURRENCES
        } else {
            1
        }
    }

    /// Whether a step may be placed now: it has begun, or there is room for the states of its tasks.
    pub(crate) fn may_place(&self, job: &JobId, occurrence: usize, step: usize) -> bool {
        let has_room = self.progress.used_bytes < self.progress.task_bytes;
        has_room || self.has_begun(job, occurrence, step)
    }

    /// Counts the states of a step that has begun in this pass.
    pub(crate) fn count_begun(&mut self, job: &JobId, occurrence: usize, step: usize) {
        if self.has_begun(job, occurrence, step) {
            let tasks = self
                .step_state(job, occurrence, step)
                .map_or(0, |step| step.count);
            let bytes = tasks as usize * size_of::<TaskState>();
            self.progress.used_bytes = self.progress.used_bytes.saturating_add(bytes);
        }
    }

    /// Whether any task of a step was placed.
    pub(crate) fn has_begun(&self, job: &JobId, occurrence: usize, step: usize) -> bool {
        let state = self.step_state(job, occurrence, step);
        state.is_some_and(|state| !state.tasks.is_empty())
    }

    fn step_state(&self, job: &JobId, occurrence: usize, step: usize) -> Option<&StepState> {
        let occurrence = self.flows.get(job)?.occurrences.get(occurrence)?;
        occurrence.steps.get(step)
    }
}
