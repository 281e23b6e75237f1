//! Waits for workers that are paused, in virtual time.

mod common;

use common::{STEP_MS, Sim, step};
use model::JobId;

/// Longest time for which a flow may have nothing running beside a pool that is mostly free, in
/// milliseconds.
const MAX_IDLE_MS: u64 = 3_000;

/// Runs the simulation for `span_ms`, and returns the longest time in which nothing of a flow that
/// has not ended was running, in milliseconds.
fn longest_idle_ms(sim: &mut Sim, job: &JobId, span_ms: u64) -> u64 {
    let (mut idle_ms, mut longest_ms) = (0, 0);
    for _ in 0..span_ms / STEP_MS {
        sim.step();
        let waits = !sim.ended_ms.contains_key(job) && sim.running(job) == 0;
        idle_ms = if waits { idle_ms + STEP_MS } else { 0 };
        longest_ms = longest_ms.max(idle_ms);
    }
    longest_ms
}

/// Guards against a sound flow that has nothing running for 3 s beside free workers, because two
/// flows that always fail have paused all of them at once.
#[test]
fn flows_that_always_fail_leave_no_pool_paused() {
    let mut sim = Sim::new(3);
    sim.run_for(500);
    for id in ["failing-a", "failing-b"] {
        let job = sim.submit(id, vec![step(6, 1_000, 400)]);
        sim.always_failing.insert(job);
    }
    sim.run_for(200);
    let sound = sim.submit("sound", vec![step(2, 1_000, 400)]);
    let idle_ms = longest_idle_ms(&mut sim, &sound, 20_000);
    assert!(idle_ms < MAX_IDLE_MS, "nothing ran for {idle_ms} ms");
}
