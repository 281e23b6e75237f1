//! Estimates of the memory that flows take in the scheduler.

use crate::{
    FlowJob, FlowSpec, FlowState, NearWait, OccurrenceState, Placement, Scheduler, StepSpec,
    StepState, TaskState,
};
use std::mem::size_of;

/// Memory of an entry of a map, and of the allocations of a flow's identifier and queue, in bytes.
const ENTRY_BYTES: usize = 256;
/// Memory of a run on a worker besides the state of its task, in bytes: its allocation, its name in the
/// worker's report, and its orders.
const RUN_BYTES: usize = 512;
/// Memory of a task that waits for a near worker besides its state, in bytes.
const NEAR_WAIT_TASK_BYTES: usize = 16;
/// Memory of an ended flow whose state can be queried, in bytes.
const ENDED_BYTES: usize = 160;
/// Memory of a further allocation besides its content, in bytes.
const ALLOCATION_BYTES: usize = 16;

/// Estimated memory of the scheduler that callers set, in bytes.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Footprint {
    /// Accepted flows that have not ended.
    pub flows: usize,
    /// States of their occurrences, steps and tasks.
    pub tasks: usize,
    /// Ended flows whose state can still be queried.
    pub ended: usize,
}

impl Footprint {
    /// All of it.
    ///
    /// ```
    /// assert_eq!(flow::Footprint { flows: 1, tasks: 2, ended: 3 }.total(), 6);
    /// ```
    pub fn total(&self) -> usize {
        self.flows + self.tasks + self.ended
    }
}

impl FlowSpec {
    /// Bounds the length of its names and frees spare capacity. Specifications that the scheduler keeps
    /// have this form.
    pub fn compact(&mut self) {
        for step in &mut self.steps {
            for name in [&mut step.label, &mut step.data_rack, &mut step.image] {
                if let Some(text) = name {
                    *name = Some(crate::bounded_name(text));
                }
            }
            step.after.shrink_to_fit();
        }
        self.steps.shrink_to_fit();
        self.payload.shrink_to_fit();
    }

    /// Estimated memory of the specification in its compact form, in bytes.
    fn footprint(&self) -> usize {
        let steps = self.steps.iter().map(step_spec_bytes);
        self.payload.len() + ALLOCATION_BYTES + steps.sum::<usize>()
    }
}

impl FlowJob {
    /// Estimated memory that the flow takes in the scheduler while it waits, in bytes.
    ///
    /// ```
    /// use flow::{FlowJob, FlowSpec, StepSpec};
    /// let step = StepSpec { data_rack: Some("r".repeat(1_000)), ..Default::default() };
    /// let spec = FlowSpec { steps: vec![step; 30], ..Default::default() };
    /// let job = FlowJob { id: "a".into(), queue: Default::default(), spec, accepted_wall_ms: 0 };
    /// assert!(job.footprint() < 10_000 && job.size_bytes() > 30_000);
    /// ```
    pub fn footprint(&self) -> usize {
        let steps = self.spec.steps.len() * size_of::<StepState>();
        // An occurrence that is done keeps its place.
        let occurrences = self.spec.occurrences() as usize * size_of::<OccurrenceState>();
        size_of::<FlowState>() + ENTRY_BYTES + self.spec.footprint() + steps + occurrences
    }
}

/// Memory of the specification of a step in its compact form, in bytes.
fn step_spec_bytes(step: &StepSpec) -> usize {
    let names = [&step.label, &step.data_rack, &step.image];
    let texts = names.into_iter().flatten();
    let text_bytes = texts.map(|text| crate::bounded_name(text).len() + ALLOCATION_BYTES);
    let after_bytes = step.after.len() * size_of::<u32>();
    size_of::<StepSpec>() + after_bytes + text_bytes.sum::<usize>()
}

/// Memory of a task's checkpoint and runs, in bytes.
fn task_bytes(task: &TaskState) -> usize {
    let checkpoint = task.checkpoint.as_ref().map_or(0, String::len);
    let duplicate = task
        .duplicate
        .as_ref()
        .map_or(0, |_| size_of::<Placement>());
    checkpoint + task.placements().count() * RUN_BYTES + duplicate
}

impl StepState {
    /// Memory of the states of its tasks without their checkpoints and runs, in bytes.
    pub(crate) fn state_bytes(&self) -> usize {
        let near_wait = self.near_wait.as_ref().map_or(0, |wait| {
            size_of::<NearWait>() + wait.tasks.len() * NEAR_WAIT_TASK_BYTES
        });
        let siblings = self.siblings.as_deref().map_or(0, size_of_val);
        self.tasks.capacity() * size_of::<TaskState>() + near_wait + siblings
    }
}

impl FlowState {
    /// Memory of its occurrences and steps without the states of tasks, in bytes.
    pub(crate) fn own_bytes(&self) -> usize {
        let occurrences = self.occurrences.capacity() * size_of::<OccurrenceState>();
        let steps = self.occurrences.iter().map(|state| state.steps.len());
        occurrences + steps.sum::<usize>() * size_of::<StepState>()
    }

    /// Estimated memory of its progress, in bytes.
    fn progress_bytes(&self) -> usize {
        let tasks = self.steps().flat_map(|step| &step.tasks);
        let states = self.steps().map(StepState::state_bytes);
        self.own_bytes() + states.sum::<usize>() + tasks.map(task_bytes).sum::<usize>()
    }

    /// States of the steps of all activated occurrences.
    pub(crate) fn steps(&self) -> impl Iterator<Item = &StepState> {
        let occurrences = self.occurrences.iter();
        occurrences.flat_map(|occurrence| &occurrence.steps)
    }

    /// Estimated memory of the flow besides its progress, in bytes.
    fn base_bytes(&self) -> usize {
        size_of::<FlowState>() + ENTRY_BYTES + self.job.spec.footprint()
    }
}

impl Scheduler {
    /// Estimated memory that callers set. Takes time proportional to the states of tasks.
    ///
    /// ```
    /// assert_eq!(flow::Scheduler::default().footprint().total(), 0);
    /// ```
    pub fn footprint(&self) -> Footprint {
        Footprint {
            flows: self.flows.values().map(FlowState::base_bytes).sum(),
            tasks: self.flows.values().map(FlowState::progress_bytes).sum(),
            ended: self.ended.len() * ENDED_BYTES,
        }
    }
}
