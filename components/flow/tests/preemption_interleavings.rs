//! Random interleavings of faults with urgent and less urgent flows, where urgent tasks preempt others. The
//! simulation checks its invariants at every step, and at each preemption its limits.

mod common;

use common::preemptions::{saving, two_queues};
use common::{Mode, Sim, step};
use flow::{FlowPhase, Policies, StepSpec};
use model::AgentId;
use proptest::prelude::*;
use proptest::test_runner::TestRunner;
use std::cell::Cell;

/// Number of workers.
const WORKERS: usize = 4;

/// An event in an interleaving. Workers and flows are given by their numbers.
#[derive(Debug, Clone)]
enum Event {
    /// An urgent flow is submitted, of two dependent steps if `chained`.
    Urgent { tasks: u32, chained: bool },
    /// A flow that gives way is submitted. Its tasks save their progress, form a gang, or neither.
    Batch {
        tasks: u32,
        run_ms: u64,
        kind: Batch,
    },
    /// A worker takes longer for each run, by this factor.
    Slow { worker: usize, factor: u64 },
    /// A flow is cancelled.
    Cancel(usize),
    /// A worker crashes and restarts.
    Crash(usize),
    /// A worker becomes unreachable, or its answers are lost.
    Away(usize, Mode),
    /// A worker is reachable again.
    Reconnect(usize),
    /// Another scheduler takes over.
    TakeOver,
    /// The answer to a start is lost, after the start was executed or without that.
    LoseStartAnswer { executed: bool },
    /// Orders to stop a run are lost from now on, or no longer.
    LoseStops(bool),
    /// The table becomes unavailable, or available again.
    Table { up: bool },
    /// Time passes, in milliseconds.
    Wait(u64),
}

/// Kinds of flows that give way.
#[derive(Debug, Clone, Copy)]
enum Batch {
    Saving,
    SavingWithDuplicates,
    SavingGang,
    Unsaved,
}

fn event() -> impl Strategy<Value = Event> {
    let kind = prop_oneof![
        5 => Just(Batch::Saving),
        2 => Just(Batch::SavingWithDuplicates),
        1 => Just(Batch::SavingGang),
        1 => Just(Batch::Unsaved),
    ];
    let away = prop_oneof![Just(Mode::Partitioned), Just(Mode::Mute)];
    prop_oneof![
        4 => (1_u32..4, any::<bool>()).prop_map(|(tasks, chained)| Event::Urgent { tasks, chained }),
        4 => (1_u32..5, 4_u64..12, kind).prop_map(|(tasks, seconds, kind)| {
            Event::Batch { tasks, run_ms: seconds * 1_000, kind }
        }),
        1 => (0..WORKERS, prop_oneof![Just(1_u64), Just(4)])
            .prop_map(|(worker, factor)| Event::Slow { worker, factor }),
        1 => (0_usize..20).prop_map(Event::Cancel),
        1 => (0..WORKERS).prop_map(Event::Crash),
        1 => (0..WORKERS, away).prop_map(|(worker, mode)| Event::Away(worker, mode)),
        2 => (0..WORKERS).prop_map(Event::Reconnect),
        1 => Just(Event::TakeOver),
        1 => any::<bool>().prop_map(|executed| Event::LoseStartAnswer { executed }),
        1 => Just(Event::LoseStops(true)),
        2 => Just(Event::LoseStops(false)),
        1 => Just(Event::Table { up: false }),
        2 => Just(Event::Table { up: true }),
        8 => (1_u64..100).prop_map(|steps| Event::Wait(steps * 20)),
    ]
}

fn agent(number: usize) -> AgentId {
    format!("w{number}").into()
}

fn urgent_steps(tasks: u32, chained: bool) -> Vec<StepSpec> {
    let mut steps = vec![step(tasks, 2_000, 1_500)];
    if chained {
        steps.push(StepSpec {
            after: vec![0],
            ..step(1, 4_000, 1_000)
        });
    }
    steps
}

fn batch_step(tasks: u32, run_ms: u64, kind: Batch) -> StepSpec {
    match kind {
        Batch::Saving => saving(tasks, 2_000, run_ms),
        Batch::SavingWithDuplicates => StepSpec {
            duplicates_allowed: true,
            ..saving(tasks, 1_000, run_ms)
        },
        Batch::SavingGang => StepSpec {
            gang: true,
            ..saving(tasks, 1_000, run_ms)
        },
        Batch::Unsaved => step(tasks, 2_000, run_ms),
    }
}

/// Applies an event to the simulation.
fn apply(sim: &mut Sim, event: &Event) {
    let id = format!("f{:03}", sim.jobs.len());
    let mut set_mode = |worker: usize, mode: Mode| {
        sim.workers.get_mut(&agent(worker)).unwrap().mode = mode;
    };
    match *event {
        Event::Urgent { tasks, chained } => {
            sim.submit(&id, urgent_steps(tasks, chained));
        }
        Event::Batch {
            tasks,
            run_ms,
            kind,
        } => {
            sim.submit_batch(&id, vec![batch_step(tasks, run_ms, kind)]);
        }
        Event::Slow { worker, factor } => {
            sim.slow_workers.insert(agent(worker), factor);
        }
        Event::Cancel(number) => {
            let job = sim.jobs.keys().nth(number).cloned();
            if let Some(job) = job {
                sim.cancel(&job);
            }
        }
        Event::Crash(worker) => sim.crash(&agent(worker)),
        Event::Away(worker, mode) => set_mode(worker, mode),
        Event::Reconnect(worker) => set_mode(worker, Mode::Healthy),
        Event::TakeOver => sim.take_over(),
        Event::LoseStartAnswer { executed } => sim.lose_starts.push(executed),
        Event::LoseStops(are_lost) => sim.stops_are_lost = are_lost,
        Event::Table { up } => sim.table_up = up,
        Event::Wait(span_ms) => sim.run_for(span_ms),
    }
}

/// Applies events to a pool and then lets the flows end. Returns the number of preemptions.
fn assert_all_flows_end(policies: Policies, events: &[Event]) -> usize {
    let mut sim = two_queues(WORKERS, true);
    sim.set_policies(policies);
    for event in events {
        apply(&mut sim, event);
    }
    sim.table_up = true;
    sim.stops_are_lost = false;
    sim.lose_starts.clear();
    for worker in 0..WORKERS {
        apply(&mut sim, &Event::Reconnect(worker));
        apply(&mut sim, &Event::Slow { worker, factor: 1 });
    }
    let has_ended = sim.run_until_ended(300_000);
    assert!(
        has_ended,
        "not ended: {:?} of {:?}",
        sim.ended_ms,
        sim.jobs.keys()
    );
    for (job, (_, phase)) in &sim.ended_ms {
        let is_expected = match phase {
            FlowPhase::Completed | FlowPhase::Cancelled => true,
            FlowPhase::Failed => sim.looks_deadly(job),
            FlowPhase::Queued | FlowPhase::Running => false,
        };
        assert!(is_expected, "{job} ended as {phase}");
    }
    sim.preempted.len()
}

/// Number of cases.
const CASES: u32 = 300;
/// Least number of preemptions in all cases together, so that they test what they are to test.
const MIN_PREEMPTIONS: usize = 100;

/// Guards against two runs of a task at once, preemptions beyond their limits, victims that count as failed,
/// and lost flows when preemptions meet crashes, partitions, takeovers, lost answers and stops, and table
/// outages, beside the other policies.
#[test]
fn preempted_tasks_run_once_and_all_flows_end() {
    let policies =
        any::<(bool, bool, bool)>().prop_map(|(duplicates, overload_order, learned)| Policies {
            preemption: true,
            duplicates,
            overload_order,
            learned_run_times: learned,
            ..Policies::default()
        });
    let events = prop::collection::vec(event(), 1..60);
    let mut runner = TestRunner::new(ProptestConfig::with_cases(CASES));
    let preemptions = Cell::new(0);
    let result = runner.run(&(policies, events), |(policies, events)| {
        let number = assert_all_flows_end(policies, &events);
        preemptions.set(preemptions.get() + number);
        Ok(())
    });
    result.unwrap();
    let preemptions = preemptions.get();
    assert!(preemptions >= MIN_PREEMPTIONS, "{preemptions} preemptions");
}
