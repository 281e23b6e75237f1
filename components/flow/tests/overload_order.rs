//! The order of flows under the policy `overload_order`, in virtual time.

mod common;

use common::{Sim, queue, step};
use flow::{Effect, FlowJob, FlowSpec, Outlooks, Policies, Schedule, StepSpec};
use std::collections::BTreeMap;

/// Objective of flows in the simulation: twice the run time and 500 ms, from the submission.
fn due_ms(submitted_ms: u64, run_ms: u64) -> u64 {
    submitted_ms + 2 * run_ms + 500
}

fn sim_with(workers: usize, overload_order: bool) -> Sim {
    let mut sim = Sim::new(workers);
    sim.set_policies(Policies {
        overload_order,
        ..Policies::default()
    });
    sim.run_for(500);
    sim
}

fn filler(tasks: u32, processors_milli: u32, run_ms: u64) -> StepSpec {
    StepSpec {
        filler: true,
        image: Some("filler".to_owned()),
        ..step(tasks, processors_milli, run_ms)
    }
}

/// Two steps of eight tasks, one after the other.
fn two_steps(make: impl Fn(u32, u32, u64) -> StepSpec, run_ms: u64) -> Vec<StepSpec> {
    let mut second = make(8, 2_000, run_ms);
    second.after = vec![0];
    vec![make(8, 2_000, run_ms), second]
}

/// Submits flows of two steps every `interval_ms`; returns how many of them end in time.
fn count_in_time(sim: &mut Sim, make: fn(u32, u32, u64) -> StepSpec, interval_ms: u64) -> usize {
    let mut due = BTreeMap::new();
    for number in 0..40_u64 {
        let run_ms = 600 + 200 * (number % 4);
        let job = sim.submit(&format!("f{number:02}"), two_steps(make, run_ms));
        due.insert(job, due_ms(sim.now_ms, 2 * run_ms));
        sim.run_for(interval_ms);
    }
    assert!(sim.run_until_ended(120_000), "all flows end");
    let in_time = |(job, due_ms): &(&model::JobId, &u64)| sim.ended_ms[*job].0 <= **due_ms;
    due.iter().filter(in_time).count()
}

/// Guards against flows that are all a little late under overload: with the policy, clearly more of them
/// end in time, and the others end too.
#[test]
fn more_flows_end_in_time_under_overload() {
    for make in [step, filler as fn(u32, u32, u64) -> StepSpec] {
        // Three workers can do 1.7 flows in a second; 3.3 are submitted.
        let former = count_in_time(&mut sim_with(3, false), make, 300);
        let present = count_in_time(&mut sim_with(3, true), make, 300);
        assert!(present >= former + 5, "{present} in time, before {former}");
    }
}

/// Guards against changed decisions in a deployment with room for all flows.
#[test]
fn nothing_changes_below_the_room() {
    for make in [step, filler as fn(u32, u32, u64) -> StepSpec] {
        let mut ends = Vec::new();
        for overload_order in [false, true] {
            let mut sim = sim_with(4, overload_order);
            count_in_time(&mut sim, make, 1_500);
            ends.push(sim.ended_ms);
        }
        assert_eq!(ends[0], ends[1]);
    }
}

/// Guards against fillers of a later flow that take what becomes free while those of an earlier one wait
/// for their next search.
#[test]
fn fillers_of_a_later_flow_wait_for_those_of_an_earlier_one() {
    // Searches are repeated every 100 ms; those of the two flows have different phases.
    let phases =
        [0, 20, 40, 60, 80].map(|first_ms| [(first_ms, 20), (first_ms, 60), (first_ms, 80)]);
    for (first_ms, delay_ms) in phases.into_iter().flatten() {
        let mut sim = sim_with(1, true);
        sim.run_for(first_ms);
        let steps = |run_ms| {
            let mut last = filler(1, 4_000, 10 * run_ms);
            last.after = vec![0];
            vec![filler(8, 4_000, run_ms), last]
        };
        let first = sim.submit("first", steps(500));
        sim.run_for(delay_ms);
        let later = sim.submit("later", steps(600));
        while !sim.starts.contains_key(&later) {
            sim.run_for(20);
        }
        assert!(sim.starts[&first] >= 8, "{first_ms} and {delay_ms} ms");
    }
}

/// Guards against an order that takes all flows for new ones after a change of the scheduler: the time
/// of acceptance counts.
#[test]
fn a_new_scheduler_knows_which_flows_are_late() {
    let mut sim = sim_with(1, true);
    let (now_ms, wall_ms) = (sim.now_ms + 100_000, 1_000_000);
    for (id, age_ms) in [("new", 0), ("late", 3_000), ("hopeless", 60_000)] {
        let job = FlowJob {
            id: id.into(),
            queue: queue(),
            spec: FlowSpec {
                steps: vec![step(1, 1_000, 1_000)],
                ..FlowSpec::default()
            },
            accepted_wall_ms: wall_ms - age_ms,
        };
        sim.scheduler.add(now_ms, wall_ms, job);
    }
    sim.scheduler.place(now_ms, wall_ms);
    let expected = Outlooks {
        in_time: 1,
        late: 1,
        hopeless: 1,
        deferred: 0,
    };
    assert_eq!(sim.scheduler.outlooks(), expected);
}

/// Guards against a recurring flow that counts as hopeless once its first occurrence is long over: an
/// occurrence arrives when it is due.
#[test]
fn an_occurrence_arrives_when_it_is_due() {
    let mut sim = sim_with(1, true);
    let (now_ms, wall_ms) = (sim.now_ms + 100_000, 1_000_000);
    let schedule = Schedule {
        first_wall_ms: wall_ms - 100,
        interval_ms: 1_000,
        occurrences: 5,
    };
    let job = FlowJob {
        id: "recurring".into(),
        queue: queue(),
        spec: FlowSpec {
            steps: vec![step(1, 1_000, 1_000)],
            schedule: Some(schedule),
            ..FlowSpec::default()
        },
        accepted_wall_ms: wall_ms - 90_000,
    };
    sim.scheduler.add(now_ms, wall_ms, job);
    sim.scheduler.place(now_ms, wall_ms);
    assert_eq!(sim.scheduler.outlooks().in_time, 1);
}

/// Guards against a room that counts processors for which there is no memory.
#[test]
fn the_room_is_limited_by_memory() {
    for (memory_mb, deferred) in [(1_000, 0), (16_000, 2)] {
        let mut sim = sim_with(1, true);
        for id in ["first", "second"] {
            let mut fillers = filler(8, 1_000, 1_000);
            fillers.need.memory_mb = memory_mb;
            sim.submit(id, vec![fillers]);
        }
        sim.scheduler.place(sim.now_ms, 0);
        assert_eq!(
            sim.scheduler.outlooks().deferred,
            deferred,
            "{memory_mb} MB"
        );
    }
}

/// Guards against an overload that begins or ends without a line in the log.
#[test]
fn the_begin_and_the_end_of_an_overload_are_reported() {
    let mut sim = sim_with(1, true);
    let mut told = Vec::new();
    let mut place = |scheduler: &mut flow::Scheduler, now_ms| {
        scheduler.place(now_ms, 0);
        for effect in scheduler.take_effects() {
            match effect {
                Effect::OverloadBegan(outlooks) => told.push(format!("began {outlooks:?}")),
                Effect::OverloadEnded { lasted_ms } => told.push(format!("ended {lasted_ms}")),
                _ => {}
            }
        }
    };
    for number in 0..10 {
        let id = format!("f{number}");
        sim.submit(&id, vec![step(16, 1_000, 1_000)]);
    }
    let now_ms = sim.now_ms;
    place(&mut sim.scheduler, now_ms);
    place(&mut sim.scheduler, now_ms + 100);
    for number in 0..10 {
        sim.cancel(&format!("f{number}").as_str().into());
    }
    place(&mut sim.scheduler, now_ms + 200);
    place(&mut sim.scheduler, now_ms + 4_000);
    assert_eq!(told.len(), 2, "{told:?}");
    assert!(told[0].starts_with("began"), "{told:?}");
    assert_eq!(told[1], "ended 100");
}
