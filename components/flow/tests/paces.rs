//! Orders of paces that are lost, or that a former scheduler gave, in virtual time.

mod common;

use common::{Sim, step};
use flow::StepSpec;
use model::JobId;

/// Longest time until a worker's fillers have the pace that the present load asks for, in
/// milliseconds.
const PACED_MS: u64 = 1_500;
/// Longest time for which fillers may work on beside a task that is over its target, in milliseconds,
/// by the platform's pages.
const MAX_HARM_MS: u64 = 4_000;

/// A service beside a filler that disturbs it, on one worker; returns the filler's flow.
fn disturbed_service() -> (Sim, JobId) {
    let mut sim = Sim::new(1);
    let service = StepSpec {
        long_running: true,
        latency_target_ms: Some(40),
        image: Some("fragile".to_owned()),
        ..step(1, 4_000, 300)
    };
    sim.submit("service", vec![service]);
    sim.run_for(400);
    let filler = StepSpec {
        filler: true,
        image: Some("loud".to_owned()),
        ..step(1, 8_000, 600_000)
    };
    let filler = sim.submit("filler", vec![filler]);
    sim.run_for(400);
    (sim, filler)
}

/// Guards against a filler that is halted while the scheduler changes and stays halted although
/// nothing is disturbed any more: a new scheduler does not know the pace of a run that it finds.
#[test]
fn a_filler_that_was_halted_before_a_takeover_works_again() {
    let (mut sim, filler) = disturbed_service();
    sim.disturbs
        .insert(("loud".to_owned(), "fragile".to_owned()));
    sim.run_for(3_000);
    assert_ne!(sim.paces(&filler), [100], "the filler is slowed");
    // While there is no scheduler, the latency falls to what it is without disturbance.
    sim.take_over();
    sim.disturbs.clear();
    sim.workers
        .get_mut(&"w0".into())
        .unwrap()
        .latency_ms
        .clear();
    sim.run_for(PACED_MS);
    assert_eq!(sim.paces(&filler), [100]);
}

/// Guards against a filler that disturbs a task for good because the order that halts it was lost.
#[test]
fn a_lost_order_of_a_pace_is_given_again() {
    let (mut sim, filler) = disturbed_service();
    sim.disturbs
        .insert(("loud".to_owned(), "fragile".to_owned()));
    sim.lose_paces = 3;
    sim.run_for(10_000);
    assert_eq!(sim.lose_paces, 0, "orders were lost");
    assert!(
        sim.longest_interference_ms < MAX_HARM_MS,
        "{} ms",
        sim.longest_interference_ms
    );
    assert_ne!(sim.paces(&filler), [100]);
}
