//! Expected run times of tasks.

use crate::{FlowState, Scheduler};

impl Scheduler {
    /// Expected run time of one task of a step, in milliseconds: the declared one.
    pub(crate) fn run_time_ms(&self, state: &FlowState, step: u32) -> u64 {
        state.step_spec(step).map_or(0, |spec| spec.estimate_ms)
    }
}
