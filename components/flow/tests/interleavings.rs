//! Random interleavings of everything that may go wrong, against the invariants that the model
//! checks at every step: no task in two places, none after its success was acknowledged, none
//! before its turn, no worker beyond what it has, no flow lost.

mod common;

use common::{Mode, Sim, step};
use flow::{FlowPhase, StepSpec};
use model::AgentId;
use proptest::prelude::*;

/// Something that happens.
#[derive(Debug, Clone)]
enum Event {
    Submit {
        tasks: u32,
        run_ms: u64,
        chained: bool,
    },
    Cancel(usize),
    Crash(usize),
    CutOff(usize),
    Heal(usize),
    TakeOver,
    LoseStart {
        executed: bool,
    },
    TableDown,
    TableUp,
    Wait(u64),
}

fn event() -> impl Strategy<Value = Event> {
    prop_oneof![
        4 => (1_u32..6, 1_u64..12, any::<bool>()).prop_map(|(tasks, run, chained)| {
            Event::Submit { tasks, run_ms: run * 100, chained }
        }),
        1 => (0_usize..20).prop_map(Event::Cancel),
        1 => (0_usize..4).prop_map(Event::Crash),
        1 => (0_usize..4).prop_map(Event::CutOff),
        2 => (0_usize..4).prop_map(Event::Heal),
        1 => Just(Event::TakeOver),
        2 => any::<bool>().prop_map(|executed| Event::LoseStart { executed }),
        1 => Just(Event::TableDown),
        2 => Just(Event::TableUp),
        6 => (1_u64..30).prop_map(|steps| Event::Wait(steps * 20)),
    ]
}

fn steps(tasks: u32, run_ms: u64, chained: bool) -> Vec<StepSpec> {
    let mut steps = vec![step(tasks, 2_000, run_ms)];
    if chained {
        let mut second = step(tasks, 1_000, run_ms);
        second.after = vec![0];
        second.max_per_worker = Some(2);
        steps.push(second);
    }
    steps
}

fn agent(number: usize) -> AgentId {
    format!("w{number}").into()
}

fn apply(sim: &mut Sim, event: &Event) {
    match *event {
        Event::Submit {
            tasks,
            run_ms,
            chained,
        } => {
            let id = format!("f{:03}", sim.jobs.len());
            sim.submit(&id, steps(tasks, run_ms, chained));
        }
        Event::Cancel(number) => {
            let job = sim.jobs.keys().nth(number).cloned();
            if let Some(job) = job {
                sim.cancel(&job);
            }
        }
        Event::Crash(number) => sim.crash(&agent(number)),
        Event::CutOff(number) => {
            sim.workers.get_mut(&agent(number)).unwrap().mode = Mode::CutOff;
            sim.scheduler.on_unreachable(&agent(number));
        }
        Event::Heal(number) => heal(sim, number),
        Event::TakeOver => sim.take_over(),
        Event::LoseStart { executed } => sim.lose_starts.push(executed),
        Event::TableDown => sim.table_up = false,
        Event::TableUp => sim.table_up = true,
        Event::Wait(span_ms) => sim.run_for(span_ms),
    }
}

/// A worker that was cut off for long enough that its lease is over comes back.
fn heal(sim: &mut Sim, number: usize) {
    let agent = agent(number);
    if sim.workers[&agent].mode == Mode::CutOff {
        sim.lapse(&agent);
        sim.workers.get_mut(&agent).unwrap().mode = Mode::Sound;
    }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 400, ..ProptestConfig::default() })]

    #[test]
    fn nothing_runs_twice_and_no_flow_is_lost(events in prop::collection::vec(event(), 1..60)) {
        let mut sim = Sim::new(4);
        for event in &events {
            apply(&mut sim, event);
        }
        sim.table_up = true;
        sim.lose_starts.clear();
        for number in 0..4 {
            heal(&mut sim, number);
        }
        prop_assert!(sim.run_until_over(60_000), "not over: {:?} of {:?}", sim.ended_ms, sim.jobs.keys());
        for (job, (_, phase)) in &sim.ended_ms {
            prop_assert!(
                matches!(phase, FlowPhase::Completed | FlowPhase::Cancelled),
                "{} ended as {}", job, phase
            );
        }
    }
}
