//! Memory that the states of flows take, in virtual time.

mod common;

use common::{Sim, step};
use flow::{FlowState, RunEnd, Schedule, StepSpec};
use model::AgentId;

/// Bytes that the states of a flow's occurrences, steps and tasks take.
fn state_bytes(state: &FlowState) -> usize {
    let steps = state.occurrences.iter().flat_map(|state| &state.steps);
    let tasks: usize = steps.clone().map(|step| step.tasks.capacity()).sum();
    size_of_val(state.occurrences.as_slice())
        + steps.map(size_of_val).sum::<usize>()
        + tasks * size_of::<flow::TaskState>()
}

/// A schedule of which every occurrence is due at once.
fn due_at_once(occurrences: u32) -> Option<Schedule> {
    Some(Schedule {
        first_wall_ms: 0,
        interval_ms: 0,
        occurrences,
    })
}

/// Guards against states of tasks that are allocated before the tasks can run.
#[test]
fn only_tasks_that_were_placed_have_a_state() {
    let mut sim = Sim::new(2);
    let after_first = StepSpec {
        after: vec![0],
        ..step(4_000, 1_000, 60_000)
    };
    let job = sim.submit("f", vec![step(4_000, 1_000, 60_000), after_first]);
    sim.run_for(1_000);
    let state = sim.scheduler.flow(&job).expect("it runs");
    let allocated = |step: usize| state.occurrences[0].steps[step].tasks.len();
    assert_eq!((allocated(0), allocated(1)), (32, 0), "two workers hold 32");
}

/// Guards against states that stay allocated after their occurrence has finished, and against
/// occurrences that are activated although as many are unfinished as may be.
#[test]
fn finished_occurrences_give_their_memory_back() {
    let mut bytes = Vec::new();
    for occurrences in [10, 100, 1_000] {
        let mut sim = Sim::new(4);
        let steps = vec![step(2, 100, 100), step(2, 100, 100)];
        let job = sim.submit_scheduled("f", steps, due_at_once(occurrences + 1));
        while sim.scheduler.flow(&job).is_some_and(|state| {
            let finished = state.occurrences.iter().filter(|state| state.is_released());
            finished.count() < occurrences as usize
        }) {
            let open = sim.scheduler.flow(&job).map_or(0, |state| {
                let open = state
                    .occurrences
                    .iter()
                    .filter(|state| !state.is_released());
                open.count()
            });
            assert!(open <= 256, "{open} occurrences are open");
            sim.step();
        }
        let state = sim.scheduler.flow(&job).expect("one occurrence is left");
        bytes.push(state_bytes(state));
        assert!(sim.run_until_ended(10_000));
        assert_eq!(sim.completed(), 1);
    }
    let growth = bytes[2] - bytes[0];
    assert!(growth <= 990 * 48, "{bytes:?} bytes, mostly of task states");
}

/// Guards against a late end of a task whose step was released that is never acknowledged, or that
/// starts the task again.
#[test]
fn a_late_end_of_a_released_step_is_acknowledged_and_starts_nothing() {
    let mut sim = Sim::new(1);
    let last = StepSpec {
        after: vec![0],
        ..step(1, 1_000, 60_000)
    };
    let job = sim.submit("f", vec![step(4, 1_000, 200), last]);
    sim.run_for(1_500);
    let state = sim.scheduler.flow(&job).expect("it runs");
    assert!(state.occurrences[0].steps[0].is_released);
    let starts = sim.starts[&job];
    let agent = AgentId::from("w0");
    for (number, outcome) in [RunEnd::Done, RunEnd::Failed].into_iter().enumerate() {
        sim.report_end(&agent, &job, number as u32, outcome);
    }
    sim.run_for(500);
    assert_eq!(sim.starts[&job], starts);
    let view = sim.scheduler.worker(&agent).expect("it is known");
    assert_eq!(view.acknowledged, view.last_end);
    assert!(view.pending_acks.is_empty());
}

/// Guards against a new scheduler that runs the tasks of a released step or occurrence again.
#[test]
fn a_new_scheduler_knows_what_was_released() {
    let mut sim = Sim::new(2);
    let last = StepSpec {
        after: vec![0],
        ..step(2, 4_000, 900)
    };
    let job = sim.submit_scheduled("f", vec![step(4, 1_000, 200), last], due_at_once(6));
    for _ in 0..12 {
        sim.run_for(300);
        if sim.ended_ms.is_empty() {
            sim.take_over();
        }
    }
    assert!(sim.run_until_ended(20_000));
    assert_eq!(sim.starts[&job], 6 * 6, "each task started once");
}
