//! Look-up of a task, its step and its placement.

use crate::{Placement, Scheduler, StepSpec, TaskKey, TaskState};
use model::{AgentId, JobId, ServiceName};

impl Scheduler {
    /// State of a task, or `None` if its flow is not known or has finished.
    pub(crate) fn task(&self, key: &TaskKey) -> Option<&TaskState> {
        self.flows.get(&key.job)?.task(key)
    }

    /// Mutable state of a task; `None` as for [`Scheduler::task`].
    pub(crate) fn task_mut(&mut self, key: &TaskKey) -> Option<&mut TaskState> {
        self.flows.get_mut(&key.job)?.task_mut(key)
    }

    /// Specification of a task's step, or `None` if its flow is not known or has no such step.
    pub(crate) fn step_spec(&self, key: &TaskKey) -> Option<&StepSpec> {
        self.flows.get(&key.job)?.step_spec(key.step)
    }

    /// Placement of a task, or `None` if it has none.
    pub(crate) fn placement(&self, key: &TaskKey) -> Option<&Placement> {
        self.task(key)?.placement.as_ref()
    }

    /// Placement of a task's run on a worker, or `None` if none is placed there.
    pub(crate) fn placement_on(&self, key: &TaskKey, agent: &AgentId) -> Option<&Placement> {
        self.task(key)?.placement_on(agent)
    }

    /// Pool that runs a flow's tasks, or `None` if the flow or its queue is not known.
    pub(crate) fn service_of(&self, job: &JobId) -> Option<&ServiceName> {
        let state = self.flows.get(job)?;
        let queue = self.config.queue(&state.job.queue)?;
        Some(&queue.service)
    }
}
