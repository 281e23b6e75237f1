//! Runs that a worker reports although they are not placed on it, in virtual time.

mod common;

use common::{Mode, Sim, step};
use model::AgentId;

/// Longest time for which a flow may have nothing running while most of its pool is free, in
/// milliseconds, by the platform's pages.
const MAX_IDLE_MS: u64 = 3_000;

/// Loses the contact to a worker, whose runs stay as they are, and lets its lease run out.
fn lose_contact(sim: &mut Sim, agent: &AgentId) {
    sim.workers.get_mut(agent).unwrap().mode = Mode::Partitioned;
    sim.scheduler.on_unreachable(agent);
    sim.scheduler.on_lease_expired(sim.now_ms, agent);
}

/// Guards against a task that never starts again because a worker that is gone for good reported an
/// orphaned run of it before: once the worker's lease has expired, that run is over.
#[test]
fn an_orphan_on_a_worker_that_is_gone_keeps_no_task_from_its_start() {
    let mut sim = Sim::new(2);
    let (gone, other) = (AgentId::from("w0"), AgentId::from("w1"));
    sim.workers.get_mut(&other).unwrap().mode = Mode::Partitioned;
    let job = sim.submit("long", vec![step(1, 1_000, 60_000)]);
    sim.run_for(500);
    assert_eq!(sim.running(&job), 1);
    lose_contact(&mut sim, &gone);
    sim.run_for(500);
    sim.workers.get_mut(&gone).unwrap().mode = Mode::Healthy;
    while sim.scheduler.worker(&gone).unwrap().orphans.is_empty() {
        sim.step();
    }
    lose_contact(&mut sim, &gone);
    sim.workers.get_mut(&other).unwrap().mode = Mode::Healthy;
    sim.run_for(MAX_IDLE_MS);
    assert_eq!(sim.running(&job), 1, "it waits for an orphan");
}
