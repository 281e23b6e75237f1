//! Placed runs of flows: their references in orders, and what they allocate.

use crate::view::Allocation;
use crate::{FlowState, Placement, RunRef, StepSpec, TaskKey};

/// Placed runs of a flow, duplicates included, each with its task and its number.
pub(crate) fn placements(state: &FlowState) -> impl Iterator<Item = (TaskKey, u32, &Placement)> {
    state.tasks().flat_map(|(key, task)| {
        let placements = task.placements();
        placements.map(move |placement| (key.clone(), placement.run, placement))
    })
}

/// Reference to a placed run, for orders.
pub(crate) fn run_ref(key: &TaskKey, run: u32, placement: &Placement) -> RunRef {
    RunRef {
        agent: placement.agent.clone(),
        incarnation: placement.incarnation.clone(),
        task: key.clone(),
        run,
    }
}

/// Allocation of a run of a step.
pub(crate) fn allocation_for(now_ms: u64, spec: &StepSpec, run: u32) -> Allocation {
    Allocation {
        run,
        since_ms: now_ms,
        reserved: spec.reserved(),
        processors_milli: spec.need.processors_milli,
        filler: spec.filler,
        latency_target_ms: spec.latency_target_ms,
        image: spec.image.clone(),
    }
}
