//! A search for urgent tasks that wait, and what it finds.

use crate::{StepSpec, TaskKey};
use ::preemption::{Cost, Reason, Victim};
use model::{Resources, ServiceName};
use utils::Map;

/// A search for urgent tasks that wait.
#[derive(Debug, Default)]
pub(crate) struct PreemptionSearch {
    /// Number of steps with queued tasks that were looked at.
    pub steps: usize,
    /// Number of tasks for which the workers were examined.
    pub examined: usize,
    /// Runs that may have to make room, by the index of their worker's candidate.
    pub runs: Map<usize, Vec<(TaskKey, Victim)>>,
    /// Steps for which no preemption was worthwhile; at most as many as it examines.
    failed: Vec<FailedStep>,
}

/// A step for which no preemption was worthwhile, as far as that matters to others.
#[derive(Debug)]
struct FailedStep {
    service: ServiceName,
    label: Option<String>,
    data_rack: Option<String>,
    priority: u32,
    reserved: Resources,
    /// Work that was in time thanks to a preemption, in core-milliseconds.
    value: u64,
}

impl FailedStep {
    /// Whether a step needs as much room for as little gain, so that no preemption is worthwhile for it either.
    fn implies(&self, step: &UrgentStep, value: u64) -> bool {
        let is_as_picky = self.service == step.service
            && self.label == step.spec.label
            && self.data_rack == step.spec.data_rack;
        is_as_picky
            && self.priority <= step.priority
            && self.reserved.fits_in(&step.spec.reserved())
            && self.value >= value
    }
}

impl PreemptionSearch {
    /// Whether it is known that no preemption is worthwhile for the tasks of a step.
    pub(crate) fn is_hopeless(&self, step: &UrgentStep, value: u64) -> bool {
        self.failed.iter().any(|failed| failed.implies(step, value))
    }

    /// Notes that no preemption was worthwhile for a task of a step. Limits of the step alone may be the cause
    /// if it has any.
    pub(crate) fn note_failed(&mut self, step: &UrgentStep, value: u64) {
        if step.spec.max_per_worker.is_none() {
            self.failed.push(FailedStep {
                service: step.service.clone(),
                label: step.spec.label.clone(),
                data_rack: step.spec.data_rack.clone(),
                priority: step.priority,
                reserved: step.spec.reserved(),
                value,
            });
        }
    }
}

/// What the queued tasks of an urgent step have in common.
#[derive(Debug)]
pub(crate) struct UrgentStep {
    /// Its first task.
    pub first: TaskKey,
    pub spec: StepSpec,
    pub service: ServiceName,
    pub priority: u32,
    /// Expected run time, in milliseconds.
    pub run_ms: u64,
    /// Time by which the flow would end before its objective if a task began now, in milliseconds.
    pub slack_ms: i64,
}

/// A worker that may run an urgent task.
#[derive(Debug, Clone, Copy)]
pub(crate) struct SuitableWorker {
    /// Index of its candidate.
    pub index: usize,
    /// Time until it is expected to have room, in milliseconds; `None` if that is not known.
    pub wait_ms: Option<u64>,
    /// Time by which the task takes longer there, in milliseconds.
    pub extra_ms: u64,
}

impl SuitableWorker {
    /// Time by which the task ends later there than if it began at once on a near worker, in milliseconds.
    pub(crate) fn delay_ms(&self) -> Option<u64> {
        Some(self.wait_ms?.saturating_add(self.extra_ms))
    }
}

/// Runs of one worker that make room for an urgent task.
#[derive(Debug)]
pub(crate) struct MadeRoom {
    /// Index of the worker's candidate.
    pub index: usize,
    /// Indices of the runs among those of the worker that may have to make room.
    pub victims: Vec<usize>,
    pub cost: Cost,
    pub reason: Reason,
}
