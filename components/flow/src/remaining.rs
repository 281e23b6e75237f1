//! Expected run times of tasks.

use crate::{FlowState, Scheduler};

impl Scheduler {
    /// Expected run time of a task of a step on a worker of normal speed, in milliseconds; the declared one
    /// unless run times are learned. 0 if the flow has no such step.
    pub(crate) fn run_time_ms(&self, state: &FlowState, step: u32) -> u64 {
        let Some(spec) = state.step_spec(step) else {
            return 0;
        };
        match self.policies.learned_run_times {
            true => self.estimate(state, step, spec).median_ms,
            false => spec.estimate_ms,
        }
    }
}
