//! Looks up what the scheduler keeps of a task.

use crate::{Placement, Scheduler, StepSpec, TaskKey, TaskState};

impl Scheduler {
    /// A task of a flow that is not over.
    pub(crate) fn task(&self, key: &TaskKey) -> Option<&TaskState> {
        self.flows.get(&key.job)?.task(key)
    }

    /// A task of a flow that is not over.
    pub(crate) fn task_mut(&mut self, key: &TaskKey) -> Option<&mut TaskState> {
        self.flows.get_mut(&key.job)?.task_mut(key)
    }

    /// What a task's step asks for.
    pub(crate) fn step_spec(&self, key: &TaskKey) -> Option<&StepSpec> {
        self.flows.get(&key.job)?.step_spec(key.step)
    }

    /// Where a task is placed.
    pub(crate) fn placement(&self, key: &TaskKey) -> Option<&Placement> {
        self.task(key)?.placement.as_ref()
    }
}
