//! Random interleavings of faults, slow workers and moves away from them. The simulation checks its invariants at every
//! step, as in `interleavings.rs`.

mod common;

use common::{Mode, Sim, step};
use flow::{FlowPhase, Policies, StepSpec};
use model::AgentId;
use proptest::prelude::*;
use std::cell::Cell;

/// Number of workers.
const WORKERS: usize = 5;
/// Number of interleavings.
const CASES: u32 = 150;

/// An event in an interleaving. Workers and flows are given by their numbers.
#[derive(Debug, Clone)]
enum Event {
    /// Flows are submitted whose tasks save their progress.
    Submit { tasks: u32, run_ms: u64 },
    /// A flow is cancelled.
    Cancel(usize),
    /// A worker works at this percentage of its normal speed from now on.
    SetSpeed(usize, u64),
    /// A worker crashes and restarts.
    Crash(usize),
    /// A worker becomes unreachable.
    Partition(usize),
    /// A worker is reachable again.
    Reconnect(usize),
    /// Another scheduler takes over.
    TakeOver,
    /// The answer to a start is lost, after the start was executed or without that.
    LoseStartAnswer { executed: bool },
    /// Orders to stop a run are lost from now on, or no more.
    LoseStops(bool),
    /// The table is available or not.
    Table { up: bool },
    /// Time passes, in milliseconds.
    Wait(u64),
}

/// Strategy for random events.
fn event() -> impl Strategy<Value = Event> {
    prop_oneof![
        8 => (1_u32..6, 2_u64..60).prop_map(|(tasks, run)| {
            Event::Submit { tasks, run_ms: run * 100 }
        }),
        1 => (0_usize..20).prop_map(Event::Cancel),
        4 => (0..WORKERS, prop_oneof![Just(20_u64), Just(100)])
            .prop_map(|(worker, percent)| Event::SetSpeed(worker, percent)),
        1 => (0..WORKERS).prop_map(Event::Crash),
        1 => (0..WORKERS).prop_map(Event::Partition),
        2 => (0..WORKERS).prop_map(Event::Reconnect),
        1 => Just(Event::TakeOver),
        1 => any::<bool>().prop_map(|executed| Event::LoseStartAnswer { executed }),
        1 => any::<bool>().prop_map(Event::LoseStops),
        2 => any::<bool>().prop_map(|up| Event::Table { up }),
        8 => (1_u64..60).prop_map(|steps| Event::Wait(steps * 20)),
    ]
}

fn agent(number: usize) -> AgentId {
    format!("w{number}").into()
}

fn learn(sim: &mut Sim) {
    sim.scheduler.set_policies(Policies {
        learned_run_times: true,
        ..Policies::default()
    });
}

/// Applies an event to the simulation.
fn apply(sim: &mut Sim, event: &Event) {
    match *event {
        Event::Submit { tasks, run_ms } => {
            let id = format!("f{:03}", sim.jobs.len());
            let saving = StepSpec {
                saves_progress: true,
                ..step(tasks, 1_000, run_ms)
            };
            sim.submit(&id, vec![saving]);
        }
        Event::Cancel(number) => {
            let job = sim.jobs.keys().nth(number).cloned();
            if let Some(job) = job {
                sim.cancel(&job);
            }
        }
        Event::SetSpeed(number, percent) => {
            let worker = sim.workers.get_mut(&agent(number)).unwrap();
            worker.speed_percent = percent;
        }
        Event::Crash(number) => sim.crash(&agent(number)),
        Event::Partition(number) => {
            sim.workers.get_mut(&agent(number)).unwrap().mode = Mode::Partitioned;
        }
        Event::Reconnect(number) => {
            sim.workers.get_mut(&agent(number)).unwrap().mode = Mode::Healthy;
        }
        Event::TakeOver => {
            sim.take_over();
            learn(sim);
        }
        Event::LoseStartAnswer { executed } => sim.lose_starts.push(executed),
        Event::LoseStops(lost) => sim.stops_are_lost = lost,
        Event::Table { up } => sim.table_up = up,
        Event::Wait(span_ms) => sim.run_for(span_ms),
    }
}

/// Applies events, and then lets the flows end on workers of normal speed. Returns the number of moves.
fn assert_all_flows_end(events: &[Event]) -> usize {
    let mut sim = Sim::new(WORKERS);
    sim.writes_checkpoints = true;
    learn(&mut sim);
    for event in events {
        apply(&mut sim, event);
    }
    sim.table_up = true;
    sim.stops_are_lost = false;
    sim.lose_starts.clear();
    for number in 0..WORKERS {
        apply(&mut sim, &Event::Reconnect(number));
        apply(&mut sim, &Event::SetSpeed(number, 100));
    }
    assert!(sim.run_until_ended(120_000), "{:?}", sim.ended_ms);
    for (job, (_, phase)) in &sim.ended_ms {
        let is_expected = matches!(phase, FlowPhase::Completed | FlowPhase::Cancelled);
        assert!(is_expected, "{job} ended as {phase}");
    }
    sim.moved_from_slow.len()
}

/// Guards against two runs of a task at once, lost flows, and workers over their capacity when tasks move away from slow
/// workers amid crashes, partitions, takeovers, lost answers and stops, and table outages.
#[test]
fn moves_keep_the_invariants() {
    let config = ProptestConfig {
        cases: CASES,
        source_file: Some(file!()),
        ..ProptestConfig::default()
    };
    let moves = Cell::new(0);
    let events = prop::collection::vec(event(), 20..120);
    let mut runner = proptest::test_runner::TestRunner::new(config);
    let result = runner.run(&events, |events| {
        moves.set(moves.get() + assert_all_flows_end(&events));
        Ok(())
    });
    result.unwrap();
    let moves = moves.get();
    println!("{moves} moves in {CASES} interleavings");
    assert!(moves >= CASES as usize, "only {moves} moves were made");
}
