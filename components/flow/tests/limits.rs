//! Flows of any size, in virtual time: each is refused or takes little memory.

mod common;

use common::{STEP_MS, Sim, queue, step};
use flow::{
    CommitLimits, FlowJob, FlowLimits, FlowPhase, FlowSpec, FlowState, RunEnd, Schedule, Scheduler,
    SpecFault, StepSpec,
};
use model::AgentId;
use proptest::prelude::*;

/// Limits of a commit as the table has them.
const TABLE_LIMITS: CommitLimits = CommitLimits {
    rows: 90,
    bytes: 700_000,
    row_bytes: 65_536,
};

/// Most bytes of the states of one flow of which nothing was placed: 256 occurrences of 64 steps.
const MAX_IDLE_BYTES: usize = 4 << 20;

/// Bytes that the states of a flow's occurrences, steps and tasks take.
fn state_bytes(state: &FlowState) -> usize {
    let steps = state.occurrences.iter().flat_map(|state| &state.steps);
    let tasks: usize = steps.clone().map(|step| step.tasks.capacity()).sum();
    size_of_val(state.occurrences.as_slice())
        + steps.map(size_of_val).sum::<usize>()
        + tasks * size_of::<flow::TaskState>()
}

fn job(spec: FlowSpec) -> FlowJob {
    FlowJob {
        id: "j".into(),
        queue: queue(),
        spec,
        accepted_wall_ms: 0,
    }
}

fn flow_of(steps: Vec<StepSpec>) -> FlowSpec {
    FlowSpec {
        steps,
        ..FlowSpec::default()
    }
}

/// Numbers of which some are small and some are at the end of their range.
fn any_size() -> impl Strategy<Value = u32> {
    prop_oneof![
        0..50_u32,
        9_990..10_010_u32,
        Just(2_000_000),
        any::<u32>(),
        Just(u32::MAX)
    ]
}

fn any_time() -> impl Strategy<Value = u64> {
    prop_oneof![0..10_000_u64, any::<u64>(), Just(u64::MAX)]
}

fn any_step() -> impl Strategy<Value = StepSpec> {
    let after = proptest::collection::vec(0..4_u32, 0..3);
    let flags = any::<[bool; 4]>();
    (any_size(), any_time(), after, flags).prop_map(|(tasks, estimate_ms, after, flags)| {
        let [gang, long_running, filler, same_rack] = flags;
        StepSpec {
            tasks,
            estimate_ms,
            after,
            gang,
            long_running,
            filler,
            same_rack,
            ..StepSpec::default()
        }
    })
}

fn any_spec() -> impl Strategy<Value = FlowSpec> {
    let schedule = (any_time(), any_time(), any_size());
    let schedule = schedule.prop_map(|(first_wall_ms, interval_ms, occurrences)| Schedule {
        first_wall_ms,
        interval_ms,
        occurrences,
    });
    let steps = proptest::collection::vec(any_step(), 0..5);
    (steps, proptest::option::of(schedule)).prop_map(|(steps, schedule)| FlowSpec {
        payload: String::new(),
        steps,
        schedule,
    })
}

proptest! {
    /// Guards against a specification that is neither refused nor kept in little memory, and
    /// against sums of its numbers that overflow.
    #[test]
    fn any_specification_is_refused_or_takes_little_memory(
        spec in any_spec(),
        wall_ms in any_time(),
    ) {
        let fault = spec.fault(&FlowLimits::default());
        let _ = (spec.tasks(), spec.chain_ms(), spec.due_wall_ms(u32::MAX), spec.to_string());
        // A scheduler loads it all the same if an earlier version accepted it.
        let mut scheduler = Scheduler::default();
        scheduler.set_config(common::config());
        scheduler.add(1_000, wall_ms, job(spec));
        scheduler.place(1_000, wall_ms);
        let state = scheduler.flow(&"j".into()).expect("the flow is known");
        let bytes = state_bytes(state);
        prop_assert!(bytes <= MAX_IDLE_BYTES, "{bytes} bytes, {fault:?}");
        let rows = scheduler.take_commit(1_000, &common::LIMITS);
        scheduler.on_committed(&rows);
        prop_assert!(scheduler.phase(&"j".into()).is_some());
    }
}

/// Guards against a fault that does not name the limit and the number asked for.
#[test]
fn a_fault_names_the_field_the_limit_and_the_number_asked_for() {
    let limits = FlowLimits::default();
    let tasks = |tasks| StepSpec {
        tasks,
        ..StepSpec::default()
    };
    let recurring = FlowSpec {
        schedule: Some(Schedule {
            first_wall_ms: 1,
            interval_ms: 1,
            occurrences: 10_001,
        }),
        ..flow_of(vec![tasks(1)])
    };
    let late = StepSpec {
        estimate_ms: u64::MAX,
        ..tasks(1)
    };
    let specs = [
        flow_of(vec![tasks(10_001)]),
        flow_of(vec![tasks(6_000), tasks(4_001)]),
        flow_of(vec![tasks(1); 65]),
        flow_of(vec![late]),
        recurring,
    ];
    let faults: Vec<String> = specs
        .iter()
        .map(|spec| {
            spec.fault(&limits)
                .expect("it is beyond a limit")
                .to_string()
        })
        .collect();
    assert_eq!(
        faults,
        [
            "steps[0].tasks: 10001 exceeds the limit of 10000",
            "tasks of all steps: 10001 exceeds the limit of 10000",
            "steps: 65 exceeds the limit of 64",
            "steps[0].estimate_ms: 18446744073709551615 exceeds the limit of 31536000000",
            "schedule.occurrences: 10001 exceeds the limit of 10000",
        ]
    );
    let at_the_limit = flow_of(vec![tasks(10_000)]);
    assert_eq!(at_the_limit.fault(&limits), None);
    let never_due = FlowSpec {
        schedule: Some(Schedule {
            first_wall_ms: u64::MAX - 1,
            interval_ms: 1,
            occurrences: 3,
        }),
        ..flow_of(vec![tasks(1)])
    };
    assert_eq!(never_due.fault(&limits), Some(SpecFault::NeverDue));
}

/// Guards against a flow beyond the limits that is started, or that ends a scheduler, although an
/// earlier version accepted it; and against a cancellation of it that is lost.
#[test]
fn a_flow_beyond_the_limits_fails_when_it_is_added_or_is_cancelled() {
    let huge = || job(flow_of(vec![step(2_000_000, 100, 100)]));
    for is_cancelled in [false, true] {
        let mut sim = Sim::new(2);
        sim.scheduler.add(sim.now_ms, 0, huge());
        let id = huge().id;
        if is_cancelled {
            assert!(sim.scheduler.cancel(sim.now_ms, &id));
        }
        let other = sim.submit("other", vec![step(4, 1_000, 400)]);
        sim.run_for(3_000);
        let expected = if is_cancelled {
            FlowPhase::Cancelled
        } else {
            FlowPhase::Failed
        };
        assert_eq!(sim.scheduler.phase(&id), Some(expected));
        assert_eq!(sim.ended_ms[&other].1, FlowPhase::Completed);
        assert!(sim.scheduler.cancel(sim.now_ms, &id), "it is still known");
    }
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
/// occurrences that are activated although as many are unfinished as may be. Prints the figures of
/// docs/CAPACITY.md.
#[test]
fn finished_occurrences_give_their_memory_back() {
    let mut bytes = Vec::new();
    for occurrences in [10, 100, 1_000] {
        let mut sim = Sim::new(4);
        sim.limits = TABLE_LIMITS;
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
        println!(
            "{occurrences} occurrences finished: {} bytes",
            state_bytes(state)
        );
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

/// Guards against a scheduling pass that takes longer the more tasks a step declares, and against
/// tasks that are left behind because a pass places only some.
#[test]
fn a_pass_places_some_tasks_of_a_large_step_and_later_passes_the_others() {
    let mut sim = Sim::new(80);
    sim.limits = TABLE_LIMITS;
    sim.run_for(400);
    let job = sim.submit("f", vec![step(4_000, 100, 60_000)]);
    sim.run_for(STEP_MS);
    let placed = |sim: &Sim| sim.scheduler.flow(&job).map(|state| state.tasks().count());
    assert_eq!(placed(&sim), Some(500));
    sim.run_for(2_000);
    assert_eq!(placed(&sim), Some(4_000));
    assert_eq!(sim.starts[&job], 4_000);
}
