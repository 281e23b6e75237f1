//! Runs that a worker reports although they are not placed on it, in virtual time.

mod common;

use common::{LEASE_TERMS, Mode, Sim, step};
use flow::TaskKey;
use model::AgentId;

/// Longest time for which a flow may have nothing running while most of its pool is free, in
/// milliseconds, by the platform's pages.
const MAX_IDLE_MS: u64 = 3_000;

/// Guards against a task that never starts again because a worker that is gone for good reported an
/// orphaned run of it before: once the worker's leases have expired, that run is over.
#[test]
fn an_orphan_on_a_worker_that_is_gone_keeps_no_task_from_its_start() {
    let mut sim = Sim::new(2);
    let (gone, other) = (AgentId::from("w0"), AgentId::from("w1"));
    sim.workers.get_mut(&other).unwrap().mode = Mode::Partitioned;
    let job = sim.submit("long", vec![step(1, 1_000, 60_000)]);
    sim.run_for(500);
    assert_eq!(sim.running(&job), 1);
    sim.crash(&gone);
    let task = TaskKey {
        job: job.clone(),
        occurrence: 0,
        step: 0,
        index: 0,
    };
    sim.start_late(&gone, &task, 1);
    sim.stops_are_lost = true;
    while sim.scheduler.worker(&gone).unwrap().orphans.is_empty() {
        sim.step();
    }
    for (agent, mode) in [(&gone, Mode::Mute), (&other, Mode::Healthy)] {
        sim.workers.get_mut(agent).unwrap().mode = mode;
    }
    sim.run_for(LEASE_TERMS.term_ms + LEASE_TERMS.slack_ms + MAX_IDLE_MS);
    assert_eq!(sim.running(&job), 1, "it waits for an orphan");
    assert_eq!(sim.run_count("w1"), 1);
}
