//! Room on one worker that several urgent tasks count on, in virtual time.

mod common;

use common::preemptions::{saving, two_queues};
use common::{Sim, step};
use flow::StepSpec;
use std::collections::BTreeSet;

/// Time until the batch tasks run and have made some progress, in milliseconds.
const BEGIN_MS: u64 = 3_000;

/// A pool that runs the `batch` step, in which an urgent task of 1 s can't wait until another has ended.
fn tight_pool(workers: usize, batch: StepSpec) -> Sim {
    let mut sim = two_queues(workers, true);
    sim.config.version += 1;
    sim.config.queues[0].stretch = 1.2;
    sim.scheduler.set_config(sim.config.clone());
    sim.submit_batch("batch", vec![batch]);
    sim.run_for(BEGIN_MS);
    sim
}

/// Times of the preemptions.
fn times_ms(sim: &Sim) -> BTreeSet<u64> {
    sim.preempted.iter().map(|(ms, _)| *ms).collect()
}

/// Guards against further stops where the end of one run makes room for several tasks.
#[test]
fn room_that_is_left_over_is_used() {
    let mut sim = tight_pool(2, saving(2, 4_000, 20_000));
    // The work of the second step makes two stops worthwhile.
    let second = StepSpec {
        after: vec![0],
        ..step(200, 1_000, 100)
    };
    let job = sim.submit("urgent", vec![step(2, 2_000, 1_000), second]);
    sim.run_for(1_000);
    assert_eq!((sim.preempted.len(), sim.running(&job)), (1, 2));
}

/// Guards against free capacity that two tasks count on, so that one of them is served later.
#[test]
fn free_capacity_counts_for_one_task() {
    let mut sim = tight_pool(1, saving(3, 1_000, 20_000));
    let job = sim.submit("urgent", vec![step(2, 2_000, 1_000)]);
    sim.run_for(1_000);
    assert_eq!((sim.preempted.len(), sim.running(&job)), (3, 2));
    assert_eq!(times_ms(&sim).len(), 1);
}
