//! Random interleavings of faults and submissions. The simulation checks its invariants at every
//! step: no task runs twice at once, unless deployment and step allow duplicates, after its success was
//! acknowledged, or before the steps it depends on are done; no worker exceeds its capacity; no flow is lost.

mod common;

use common::{Mode, Sim, queue, step};
use flow::{FairSharePolicy, FlowPhase, Policies, Queue, QueueKey, StepSpec};
use model::{AgentId, Resources};
use proptest::prelude::*;

/// An event in an interleaving. Workers and flows are given by their numbers.
#[derive(Debug, Clone)]
enum Event {
    /// A flow is submitted, of two dependent steps if `chained`.
    Submit {
        tasks: u32,
        run_ms: u64,
        chained: bool,
    },
    /// A worker takes longer for each run, by this factor.
    Slow { worker: usize, factor: u64 },
    /// Every run on a worker fails.
    Fail(usize),
    /// A flow is cancelled.
    Cancel(usize),
    /// A worker crashes and restarts.
    Crash(usize),
    /// A worker becomes unreachable.
    Partition(usize),
    /// Polls reach a worker, but their answers are lost.
    Mute(usize),
    /// A worker is reachable again.
    Reconnect(usize),
    /// Another scheduler takes over.
    TakeOver,
    /// The answer to a start is lost, after the start was executed or without that.
    LoseStartAnswer { executed: bool },
    /// The table becomes unavailable.
    TableDown,
    /// The table is available again.
    TableUp,
    /// Time passes, in milliseconds.
    Wait(u64),
}

/// Strategy for random events.
fn event() -> impl Strategy<Value = Event> {
    prop_oneof![
        4 => (1_u32..6, 1_u64..12, any::<bool>()).prop_map(|(tasks, run, chained)| {
            Event::Submit { tasks, run_ms: run * 100, chained }
        }),
        1 => (0_usize..20).prop_map(Event::Cancel),
        1 => (0_usize..4).prop_map(Event::Crash),
        1 => (0_usize..4).prop_map(Event::Partition),
        1 => (0_usize..4).prop_map(Event::Mute),
        2 => (0_usize..4).prop_map(Event::Reconnect),
        1 => Just(Event::TakeOver),
        2 => any::<bool>().prop_map(|executed| Event::LoseStartAnswer { executed }),
        1 => Just(Event::TableDown),
        2 => Just(Event::TableUp),
        6 => (1_u64..30).prop_map(|steps| Event::Wait(steps * 20)),
    ]
}

/// Strategy for random events with workers that become slow, or fail their runs, and recover.
fn event_beside_slow_workers() -> impl Strategy<Value = Event> {
    let factor = prop_oneof![Just(1_u64), Just(3), Just(7)];
    prop_oneof![
        10 => event(),
        3 => (0_usize..4, factor).prop_map(|(worker, factor)| Event::Slow { worker, factor }),
        1 => (0_usize..4).prop_map(Event::Fail),
    ]
}

/// One step, or two that depend on each other. They allow duplicates, which start only if the deployment
/// allows them too.
fn steps(tasks: u32, run_ms: u64, chained: bool) -> Vec<StepSpec> {
    let mut steps = vec![StepSpec {
        duplicates_allowed: true,
        ..step(tasks, 2_000, run_ms)
    }];
    if chained {
        let mut second = steps[0].clone();
        second.need = Resources::new(1_000, 1_000, 0);
        second.after = vec![0];
        second.max_per_worker = Some(2);
        steps.push(second);
    }
    steps
}

/// Lets the tasks of the first step have their data on rack `r1`, and those of the second form a gang that
/// is faster in one rack.
fn localize(steps: &mut [StepSpec]) {
    steps[0].data_rack = Some("r1".to_owned());
    if let Some(second) = steps.get_mut(1) {
        second.gang = true;
        second.same_rack = true;
        // A gang must fit on the workers that are left.
        second.max_per_worker = None;
    }
}

fn agent(number: usize) -> AgentId {
    format!("w{number}").into()
}

/// Applies an event to the simulation.
fn apply(sim: &mut Sim, event: &Event) {
    match *event {
        Event::Submit {
            tasks,
            run_ms,
            chained,
        } => {
            let id = format!("f{:03}", sim.jobs.len());
            let mut steps = steps(tasks, run_ms, chained);
            if sim.policies.remote_factor.is_some() {
                localize(&mut steps);
            }
            let queue = match sim.policies.fair_shares {
                Some(_) => sim.config.queues[sim.jobs.len() % sim.config.queues.len()]
                    .key
                    .clone(),
                None => queue(),
            };
            sim.submit_to(queue, &id, steps, None);
        }
        Event::Slow { worker, factor } => {
            sim.slow_workers.insert(agent(worker), factor);
        }
        Event::Fail(number) => {
            sim.workers.get_mut(&agent(number)).unwrap().mode = Mode::FailsAll;
        }
        Event::Cancel(number) => {
            let job = sim.jobs.keys().nth(number).cloned();
            if let Some(job) = job {
                sim.cancel(&job);
            }
        }
        Event::Crash(number) => sim.crash(&agent(number)),
        Event::Partition(number) => {
            sim.workers.get_mut(&agent(number)).unwrap().mode = Mode::Partitioned;
        }
        Event::Mute(number) => {
            sim.workers.get_mut(&agent(number)).unwrap().mode = Mode::Mute;
        }
        Event::Reconnect(number) => reconnect(sim, number),
        Event::TakeOver => sim.take_over(),
        Event::LoseStartAnswer { executed } => sim.lose_starts.push(executed),
        Event::TableDown => sim.table_up = false,
        Event::TableUp => sim.table_up = true,
        Event::Wait(span_ms) => sim.run_for(span_ms),
    }
}

/// Makes a worker reachable again.
fn reconnect(sim: &mut Sim, number: usize) {
    sim.workers.get_mut(&agent(number)).unwrap().mode = Mode::Healthy;
}

/// Applies events and then lets the flows end, with the last `gone` workers unreachable for good: the
/// last one gets polls that it can't answer, the others get none.
fn assert_all_flows_end(mut sim: Sim, events: &[Event], gone: usize) {
    for event in events {
        apply(&mut sim, event);
    }
    sim.table_up = true;
    sim.lose_starts.clear();
    for number in 0..4 {
        if number < 4 - gone {
            reconnect(&mut sim, number);
        } else if number == 3 {
            apply(&mut sim, &Event::Mute(number));
        } else {
            apply(&mut sim, &Event::Partition(number));
        }
    }
    let has_ended = sim.run_until_ended(60_000);
    assert!(
        has_ended,
        "not ended: {:?} of {:?}",
        sim.ended_ms,
        sim.jobs.keys()
    );
    let may_fail = events.iter().any(|event| matches!(event, Event::Fail(_)));
    for (job, (_, phase)) in &sim.ended_ms {
        let is_expected = match phase {
            FlowPhase::Completed | FlowPhase::Cancelled => true,
            // The pages allow to give up a task under which two workers have crashed. The scheduler does so
            // only where both crashes came soon after a start.
            FlowPhase::Failed => may_fail || sim.looks_deadly(job),
            FlowPhase::Queued | FlowPhase::Running => false,
        };
        assert!(is_expected, "{job} ended as {phase}");
    }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 400, ..ProptestConfig::default() })]

    /// Guards against two runs of a task at once and against lost flows when crashes, partitions,
    /// takeovers, lost answers and table outages come in any order.
    #[test]
    fn nothing_runs_twice_and_no_flow_is_lost(events in prop::collection::vec(event(), 1..60)) {
        assert_all_flows_end(Sim::new(4), &events, 0);
    }

    /// Guards against flows that wait for ever for workers that are gone for good.
    #[test]
    fn no_flow_is_lost_with_workers_that_stay_away(
        events in prop::collection::vec(event(), 1..40),
        gone in 1_usize..3,
    ) {
        assert_all_flows_end(Sim::new(4), &events, gone);
    }

    /// Guards against flows that the order by outlook leaves behind for ever.
    #[test]
    fn no_flow_is_lost_in_the_order_by_outlook(
        events in prop::collection::vec(event(), 1..60),
        gone in 0_usize..3,
    ) {
        let mut sim = Sim::new(4);
        sim.set_policies(Policies { overload_order: true, ..Policies::default() });
        assert_all_flows_end(sim, &events, gone);
    }

    /// Guards against a third run of a task at once, runs that are left and lost flows when slow runs
    /// get duplicates in the middle of all that.
    #[test]
    fn no_task_runs_more_than_twice_with_duplicates(
        events in prop::collection::vec(event_beside_slow_workers(), 1..60),
        gone in 0_usize..3,
    ) {
        let mut sim = Sim::new(4);
        sim.allow_duplicates();
        assert_all_flows_end(sim, &events, gone);
    }

    /// Guards against tasks and gangs that wait for ever for a near worker, and against runs that break an
    /// invariant after such a wait, under any order of faults.
    #[test]
    fn no_flow_waits_for_ever_for_a_near_worker(
        events in prop::collection::vec(event(), 1..60),
        gone in 0_usize..3,
    ) {
        let mut sim = Sim::new(4);
        for name in ["w1", "w3"] {
            sim.workers.get_mut(&name.into()).unwrap().labels[1] = "r2".to_owned();
        }
        sim.remote_factor = 2.5;
        sim.set_policies(Policies { remote_factor: Some(2.5), ..Policies::default() });
        assert_all_flows_end(sim, &events, gone);
    }

    /// Guards against flows that are lost, and runs that break an invariant, under any order of faults while
    /// queues have shares.
    #[test]
    fn no_flow_is_lost_with_shares(
        events in prop::collection::vec(event(), 1..60),
        gone in 0_usize..3,
        overload_order in any::<bool>(),
    ) {
        let mut sim = Sim::new(4);
        let first = sim.config.queues[0].clone();
        let key = QueueKey { prefix: "/r/".to_owned(), ..queue() };
        sim.set_queues(vec![Queue { key, ..first.clone() }, first]);
        let weights = [(queue().to_string(), 3.0)].into();
        let fair_shares = Some(FairSharePolicy { weights });
        sim.set_policies(Policies { fair_shares, overload_order, ..Policies::default() });
        assert_all_flows_end(sim, &events, gone);
    }
}
