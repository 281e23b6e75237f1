//! What the log says of flows that wait, in virtual time.

mod common;

use common::{Mode, Sim, step};
use flow::{WaitCause, WaitWatch};

/// Observes a simulation every 500 ms for `span_ms`, and returns the last findings as text.
fn watch_for(sim: &mut Sim, watch: &mut WaitWatch, span_ms: u64) -> Vec<(String, WaitCause)> {
    let mut found = Vec::new();
    for _ in 0..span_ms / 500 {
        sim.run_for(500);
        found = watch.observe(sim.now_ms, &sim.scheduler);
    }
    let text = |flow: flow::WaitingFlow| (flow.task.to_string(), flow.cause);
    found.into_iter().map(text).collect()
}

/// Guards against a wait for an unreachable worker that the log shows as a wait for room, or not at
/// all.
#[test]
fn a_flow_on_an_unreachable_worker_is_shown_with_its_cause() {
    let mut sim = Sim::new(1);
    let mut watch = WaitWatch::default();
    sim.submit("flow", vec![step(1, 1_000, 20_000)]);
    assert_eq!(watch_for(&mut sim, &mut watch, 5_000), []);
    let agent = "w0".into();
    sim.workers.get_mut(&agent).unwrap().mode = Mode::Partitioned;
    sim.run_for(200);
    let expected = [("flow.0.0.0".to_owned(), WaitCause::WorkerUnreachable)];
    assert_eq!(watch_for(&mut sim, &mut watch, 4_000), expected);
}

/// Guards against a queued flow that the log shows with the wrong cause.
#[test]
fn a_flow_without_room_or_workers_is_shown_with_its_cause() {
    let mut sim = Sim::new(1);
    let mut watch = WaitWatch::default();
    sim.run_for(500);
    sim.submit("big", vec![step(1, 20_000, 1_000)]);
    let no_room = [("big.0.0.0".to_owned(), WaitCause::NoRoom)];
    assert_eq!(watch_for(&mut sim, &mut watch, 4_000), no_room);
    let agent = "w0".into();
    sim.workers.get_mut(&agent).unwrap().mode = Mode::Partitioned;
    sim.run_for(200);
    let no_worker = [("big.0.0.0".to_owned(), WaitCause::NoWorker)];
    assert_eq!(watch_for(&mut sim, &mut watch, 4_000), no_worker);
}

/// Guards against a long-running task that is missing unnoticed while others of its flow run.
#[test]
fn one_missing_task_of_a_long_running_flow_is_shown() {
    let mut sim = Sim::new(2);
    let mut watch = WaitWatch::default();
    sim.run_for(500);
    let mut lasting = step(2, 2_000, 500);
    lasting.long_running = true;
    lasting.max_per_worker = Some(1);
    sim.submit("lasting", vec![lasting]);
    assert_eq!(watch_for(&mut sim, &mut watch, 5_000), []);
    let agent = "w1".into();
    sim.workers.get_mut(&agent).unwrap().mode = Mode::Partitioned;
    sim.run_for(200);
    let found = watch_for(&mut sim, &mut watch, 4_000);
    assert_eq!(found.len(), 1, "{found:?}");
    assert_eq!(found[0].1, WaitCause::WorkerUnreachable);
}
