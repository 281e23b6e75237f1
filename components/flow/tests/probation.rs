//! Workers on probation after a pause, in virtual time: no run keeps them from all others.

mod common;

use common::{Mode, Sim, step};
use flow::StepSpec;

/// Longest time for which a flow may have nothing running while most of its pool is free, in
/// milliseconds, by the platform's pages.
const MAX_IDLE_MS: u64 = 3_000;

fn set_modes(sim: &mut Sim, mode: Mode) {
    for worker in sim.workers.values_mut() {
        worker.mode = mode;
    }
}

/// A simulation in which all workers failed their runs, were paused and have recovered.
fn recovered(workers: usize) -> Sim {
    let mut sim = Sim::new(workers);
    set_modes(&mut sim, Mode::FailsAll);
    for number in 0..8 {
        sim.submit(&format!("failing{number}"), vec![step(4, 500, 300)]);
        sim.run_for(200);
    }
    assert!(sim.run_until_ended(60_000));
    for number in 0..4 {
        sim.submit(&format!("late{number}"), vec![step(4, 500, 300)]);
    }
    assert!(sim.run_until_ended(60_000));
    let views = sim.scheduler.workers();
    let on_probation = views.filter(|(_, view)| view.health.is_on_probation);
    assert_eq!(on_probation.count(), workers);
    set_modes(&mut sim, Mode::Healthy);
    sim
}

/// Lets runs of these steps occupy all workers, and asserts that other flows go on beside them.
fn assert_others_go_on(mut sim: Sim, steps: &[StepSpec]) {
    for (number, step) in steps.iter().enumerate() {
        sim.submit(&format!("slow{number}"), vec![step.clone()]);
    }
    sim.run_for(8_000);
    for number in 0..4 {
        let job = sim.submit(&format!("short{number}"), vec![step(1, 500, 300)]);
        sim.run_for(MAX_IDLE_MS);
        let is_started = sim.starts.contains_key(&job);
        assert!(is_started, "{job} waits for workers on probation");
    }
}

/// Guards against a pool in which nothing starts because each worker is on probation with a run that
/// takes minutes.
#[test]
fn long_runs_on_workers_on_probation_stop_no_other_flow() {
    assert_others_go_on(recovered(3), &[step(3, 1_000, 300_000)]);
}

/// Guards against the same with members of a gang, which no check of progress stops.
#[test]
fn a_gang_on_workers_on_probation_stops_no_other_flow() {
    let gang = StepSpec {
        gang: true,
        max_per_worker: Some(1),
        ..step(3, 1_000, 300_000)
    };
    assert_others_go_on(recovered(3), &[gang]);
}

/// Guards against the same with fillers, of which some are halted beside a service.
#[test]
fn fillers_on_workers_on_probation_stop_no_other_flow() {
    let filler = StepSpec {
        filler: true,
        ..step(3, 1_000, 300_000)
    };
    assert_others_go_on(recovered(3), &[filler]);
}
