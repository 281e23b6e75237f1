//! Estimates and limits of the memory that flows take in the scheduler.

mod common;

use common::{Sim, step};
use flow::{CommitLimits, FlowJob, FlowSpec, Schedule, Scheduler, StepSpec};
use model::Resources;
use proptest::prelude::*;

/// Flow with this specification.
fn flow_of(id: &str, spec: FlowSpec) -> FlowJob {
    FlowJob {
        id: id.into(),
        queue: flow::QueueKey::default(),
        spec,
        accepted_wall_ms: 0,
    }
}

/// Steps with names and payloads of any length up to the limits.
fn specs() -> impl Strategy<Value = FlowSpec> {
    let name = prop::option::of("[a-z]{1,600}");
    let steps =
        (1_u32..10_000, name.clone(), name, 0_usize..8).prop_map(|(tasks, rack, label, after)| {
            StepSpec {
                data_rack: rack,
                label,
                after: (0..after as u32).collect(),
                ..step(tasks, 100, 100)
            }
        });
    let steps = prop::collection::vec(steps, 1..64);
    (steps, "[a-z]{0,4000}", 1_u32..10_000).prop_map(|(steps, payload, occurrences)| FlowSpec {
        payload,
        steps,
        schedule: Some(Schedule {
            first_wall_ms: 1,
            interval_ms: 1,
            occurrences,
        }),
    })
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(64))]

    /// Guards against a flow that takes more memory in the scheduler than the entry that accepted it
    /// reckoned with.
    #[test]
    fn a_flow_that_waits_takes_no_more_than_was_reckoned_when_it_was_accepted(spec in specs()) {
        let job = flow_of("a", spec);
        let reckoned = job.footprint();
        let mut scheduler = Scheduler::default();
        scheduler.set_task_limit(0);
        scheduler.add(0, 100_000, job);
        scheduler.place(0, 100_000);
        let taken = scheduler.footprint().total();
        prop_assert!(taken <= reckoned, "{taken} of {reckoned} bytes");
    }

    /// Guards against a specification that the scheduler keeps as long as the caller wrote it.
    #[test]
    fn names_of_any_length_take_a_bounded_memory(spec in specs()) {
        let steps = spec.steps.len();
        let bytes = flow_of("a", FlowSpec { schedule: None, payload: String::new(), ..spec }).footprint();
        prop_assert!(bytes < 1_000 + 500 * steps, "{bytes} bytes for {steps} steps");
    }
}

/// Guards against states of tasks that exceed the memory as many steps begin at once, and against
/// steps that wait for ever for this memory.
#[test]
fn steps_begin_only_while_there_is_room_for_their_tasks() {
    let mut sim = Sim::new(2);
    sim.limits = CommitLimits {
        rows: 80,
        bytes: 600_000,
        row_bytes: 65_536,
    };
    // Room for the states of the tasks of one step, and for some of another.
    sim.scheduler.set_task_limit(100_000);
    let small = StepSpec {
        need: Resources::new(1, 1, 0),
        ..step(400, 1, 200)
    };
    for number in 0..8 {
        sim.submit(&format!("f{number}"), vec![small.clone()]);
    }
    let mut most = 0;
    for _ in 0..400 {
        sim.run_for(10);
        let flows = sim.scheduler.flows();
        most = most.max(flows.filter(|flow| flow.has_placements()).count());
    }
    assert_eq!(most, 2, "flows in progress at once");
    assert!(sim.run_until_ended(60_000));
    assert_eq!(sim.completed(), 8);
}
