//! Workers that are slow after a start, when their failure domain returns to service.

mod common;

use common::evacuated::{BOUND_MS, sim};
use common::{STEP_MS, Sim, queue, step};
use flow::{ColdTime, Exclusion, FlowJob, FlowSpec, Policies, StepSpec};
use model::{AgentId, Resources};
use proptest::prelude::*;

/// For how long the workers are cold, in milliseconds.
const COLD_MS: u64 = 8_000;
/// Processors of a model worker, in thousandths.
const WORKER_MILLI: u64 = 16_000;

/// A pool with a bound on evacuations of which all workers but the first `warm` are cold from now on.
fn returned(workers: usize, warm: usize, bound_ms: Option<u64>) -> Sim {
    let mut sim = Sim::new(workers);
    sim.set_policies(Policies {
        evacuation_bound_ms: bound_ms,
        ..Policies::default()
    });
    sim.run_for(400);
    make_cold(&mut sim, warm, COLD_MS, true);
    sim
}

fn make_cold(sim: &mut Sim, warm: usize, cold_ms: u64, is_reported: bool) {
    let cold = ColdTime {
        returned_ms: sim.now_ms,
        until_ms: sim.now_ms + cold_ms,
        is_reported,
    };
    for agent in sim.workers.keys().skip(warm) {
        sim.scheduler.set_cold(agent, cold);
    }
}

/// Processors of the runs on each worker that are placed at `from_ms` or later, in thousandths.
fn new_milli(sim: &Sim, from_ms: u64) -> Vec<u64> {
    let new_on = |agent: &AgentId| {
        let allocations = sim.scheduler.worker(agent).unwrap().allocations.values();
        let new = allocations.filter(|allocation| allocation.since_ms >= from_ms);
        new.map(|allocation| u64::from(allocation.processors_milli))
            .sum()
    };
    sim.workers.keys().map(new_on).collect()
}

/// Guards against a stampede: many cold workers that return together take a long queue at once, and run all of
/// it slowly.
#[test]
fn many_cold_workers_take_a_long_queue_by_and_by() {
    const WORKERS: u64 = 20;
    let mut sim = returned(WORKERS as usize, 0, Some(BOUND_MS));
    let began_ms = sim.now_ms;
    // The queue fills all workers twice, and no task ends while they are cold. Its record fits in one commit.
    sim.limits.rows = 1_000;
    sim.limits.bytes = 1_000_000;
    sim.submit("a", vec![step(2 * 16 * WORKERS as u32, 1_000, 60_000)]);
    sim.run_for(200);
    let at_once = sim.started.len() as u64;
    assert!(
        (1..=2 * WORKERS).contains(&at_once),
        "{at_once} tasks start at once"
    );
    while sim.now_ms < began_ms + COLD_MS {
        let share_milli = WORKER_MILLI * (sim.now_ms - began_ms) / COLD_MS;
        for milli in new_milli(&sim, began_ms) {
            assert!(
                milli <= share_milli.max(1_000),
                "{milli} of {share_milli} milli after {} ms",
                sim.now_ms - began_ms
            );
        }
        sim.step();
    }
    let started = sim.started.len() as u64;
    assert!(started * 10 >= 16 * WORKERS * 9, "only {started} started");
}

/// Guards against a large worker that is held back although it is warm, or nearly so, for example by a fixed
/// interval between new runs.
#[test]
fn a_large_cold_worker_is_fully_used_at_the_end_of_its_cold_time() {
    const LARGE_MILLI: u64 = 64_000;
    let mut sim = Sim::new(1);
    let worker = sim.workers.values_mut().next().unwrap();
    worker.capacity.processors_milli = LARGE_MILLI as u32;
    worker.capacity.memory_mb = 4 * LARGE_MILLI as u32;
    sim.set_policies(Policies {
        evacuation_bound_ms: Some(BOUND_MS),
        ..Policies::default()
    });
    sim.limits.rows = 1_000;
    sim.limits.bytes = 1_000_000;
    sim.run_for(400);
    make_cold(&mut sim, 0, COLD_MS, true);
    let began_ms = sim.now_ms;
    sim.submit("a", vec![step(100, 1_000, 60_000)]);
    sim.run_for(COLD_MS / 2);
    let half_milli = new_milli(&sim, began_ms)[0];
    assert!(
        (31_000..=32_000).contains(&half_milli),
        "{half_milli} at half of the time"
    );
    sim.run_for(COLD_MS / 2 + 2 * STEP_MS);
    assert_eq!(new_milli(&sim, began_ms), [LARGE_MILLI]);
}

/// Guards against a share that counts only reserved processors, so that any number of fillers takes a cold
/// worker at once.
#[test]
fn fillers_count_with_their_processors() {
    let mut sim = returned(1, 0, Some(BOUND_MS));
    let began_ms = sim.now_ms;
    let fillers = StepSpec {
        filler: true,
        image: Some("filler".to_owned()),
        ..step(64, 1_000, 60_000)
    };
    sim.submit("a", vec![fillers]);
    sim.run_for(COLD_MS / 4);
    let milli = new_milli(&sim, began_ms)[0];
    assert!((1_000..=4_000).contains(&milli), "{milli}");
}

/// Guards against a task that needs most of a worker and waits until the worker is warm, and against others
/// that start beside it although it has taken up the share.
#[test]
fn one_task_of_any_size_starts_on_a_cold_worker() {
    let mut sim = returned(1, 0, Some(BOUND_MS));
    let began_ms = sim.now_ms;
    sim.submit("large", vec![step(1, 14_000, 60_000)]);
    sim.run_for(200);
    assert_eq!(new_milli(&sim, began_ms), [14_000]);
    sim.submit("small", vec![step(2, 1_000, 60_000)]);
    sim.run_for(COLD_MS / 2);
    assert_eq!(new_milli(&sim, began_ms), [14_000]);
    sim.run_for(COLD_MS / 2);
    assert_eq!(new_milli(&sim, began_ms), [16_000]);
}

/// Guards against an operator who is told that a worker has no room while it is held back because it is cold.
#[test]
fn a_worker_that_is_held_back_is_explained_as_cold() {
    let mut sim = returned(1, 0, Some(BOUND_MS));
    sim.submit("a", vec![step(8, 1_000, 60_000)]);
    sim.run_for(200);
    let job = FlowJob {
        id: "".into(),
        queue: queue(),
        spec: FlowSpec {
            steps: vec![step(1, 1_000, 1_000)],
            ..FlowSpec::default()
        },
        accepted_wall_ms: 0,
    };
    let explanation = sim.scheduler.explain(sim.now_ms, 0, job).unwrap();
    let worker = &explanation.steps[0].workers[0];
    assert_eq!(worker.exclusion, Some(Exclusion::Cold));
}

/// Guards against runs from before the request that count against the share, so that a worker that kept its
/// runs gets no new ones.
#[test]
fn earlier_runs_do_not_count_against_the_share() {
    let mut sim = sim(1);
    sim.submit("before", vec![step(16, 1_000, 60_000)]);
    sim.run_for(400);
    make_cold(&mut sim, 0, COLD_MS, true);
    let began_ms = sim.now_ms;
    sim.submit("after", vec![step(32, 1_000, 60_000)]);
    sim.run_for(COLD_MS / 2);
    let milli = new_milli(&sim, began_ms);
    assert!(
        milli.iter().all(|milli| (7_000..=8_000).contains(milli)),
        "{milli:?}"
    );
}

/// Guards against a warm worker that is held back with the cold ones of its domain.
#[test]
fn a_warm_worker_is_a_candidate_at_once() {
    let mut sim = returned(2, 1, Some(BOUND_MS));
    let began_ms = sim.now_ms;
    sim.submit("a", vec![step(32, 1_000, 60_000)]);
    sim.run_for(200);
    let milli = new_milli(&sim, began_ms);
    assert_eq!(milli[0], WORKER_MILLI);
    assert!(milli[1] <= 1_000, "{milli:?}");
}

/// Guards against a worker that is filled while it has not answered how much longer it is slow.
#[test]
fn until_a_worker_has_answered_it_gets_one_run() {
    let mut sim = returned(1, 1, Some(BOUND_MS));
    make_cold(&mut sim, 0, 500, false);
    let began_ms = sim.now_ms;
    sim.submit("a", vec![step(16, 1_000, 60_000)]);
    sim.run_for(480);
    assert_eq!(new_milli(&sim, began_ms), [1_000]);
    sim.run_for(100);
    assert_eq!(new_milli(&sim, began_ms), [WORKER_MILLI], "no answer came");
}

/// Guards against a changed behaviour of deployments that state no bound: a cold worker gets one new run after
/// the other, 500 ms apart, and none of them is admitted by a share.
#[test]
fn without_a_bound_a_cold_worker_gets_one_new_run_after_the_other() {
    let mut sim = Sim::new(2);
    sim.run_for(400);
    let agents: Vec<AgentId> = sim.workers.keys().cloned().collect();
    let cold = ColdTime {
        returned_ms: sim.now_ms,
        until_ms: sim.now_ms + 3_000,
        is_reported: true,
    };
    sim.scheduler.set_cold(&agents[0], cold);
    sim.submit("a", vec![step(30, 1_000, 400)]);
    sim.run_for(2_000);
    let starts_on = |at: usize| {
        let starts = sim.started.iter();
        let own = starts.filter(|(_, agent, _)| *agent == agents[at]);
        own.map(|(_, _, at_ms)| *at_ms).collect::<Vec<u64>>()
    };
    let cold_starts = starts_on(0);
    assert!((2..=5).contains(&cold_starts.len()), "{cold_starts:?}");
    let gaps = cold_starts.windows(2).map(|pair| pair[1] - pair[0]);
    assert!(gaps.min() >= Some(500 - STEP_MS), "{cold_starts:?}");
    assert!(starts_on(1).len() > 10, "a warm worker gets runs at once");
}

proptest! {
    /// Guards against a share that shrinks, or that exceeds the capacity.
    #[test]
    fn the_share_only_grows_up_to_the_capacity(
        returned_ms in 0_u64..10_000_000,
        cold_ms in 0_u64..60_000,
        processors_milli in 0_u32..4_000_000_000,
        first_ms in 0_u64..70_000,
        later_ms in 0_u64..70_000,
    ) {
        let until_ms = returned_ms + cold_ms;
        let cold = ColdTime { returned_ms, until_ms, is_reported: true };
        let capacity = Resources::new(processors_milli, 64_000, 8);
        let first = cold.share(returned_ms + first_ms, &capacity);
        let later = cold.share(returned_ms + first_ms + later_ms, &capacity);
        prop_assert!(first.fits_in(&later) && later.fits_in(&capacity));
        prop_assert_eq!(cold.share(until_ms, &capacity), capacity);
    }
}
