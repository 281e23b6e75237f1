//! Workers that are lost while the scheduler changes, in virtual time.

mod common;

use common::{LEASE_TERMS, Mode, Sim, step};
use model::AgentId;

/// Time between two changes of the scheduler, in milliseconds; shorter than the longest lease.
const TAKEOVER_INTERVAL_MS: u64 = 2_000;
/// Longest time for which a flow may have nothing running while most of its pool is free, in
/// milliseconds, by the platform's pages.
const MAX_IDLE_MS: u64 = 3_000;

/// Takes over every [`TAKEOVER_INTERVAL_MS`] for this time.
fn run_beside_takeovers(sim: &mut Sim, span_ms: u64) {
    for _ in 0..span_ms / TAKEOVER_INTERVAL_MS {
        sim.run_for(TAKEOVER_INTERVAL_MS);
        sim.take_over();
    }
}

/// Guards against tasks of a lost worker that wait for as long as the scheduler keeps changing,
/// because each new one waits anew for the longest lease that a former one may have granted.
#[test]
fn tasks_of_a_lost_worker_start_elsewhere_though_the_scheduler_keeps_changing() {
    let mut sim = Sim::new(2);
    let job = sim.submit("long", vec![step(2, 9_000, 60_000)]);
    sim.run_for(500);
    assert_eq!((sim.run_count("w0"), sim.run_count("w1")), (1, 1));
    sim.workers.get_mut(&AgentId::from("w0")).unwrap().mode = Mode::Partitioned;
    sim.workers.get_mut(&AgentId::from("w1")).unwrap().capacity =
        model::Resources::new(32_000, 64_000, 0);
    run_beside_takeovers(&mut sim, LEASE_TERMS.longest_ms() + MAX_IDLE_MS);
    assert_eq!(sim.running(&job), 2, "both tasks run");
    assert_eq!(
        sim.run_count("w1"),
        2,
        "both run on the worker that is left"
    );
}

/// Guards against a worker that a new scheduler takes for away for ever: once it answers, a commit
/// takes that back, and it gets leases and runs again.
#[test]
fn a_worker_that_was_away_during_a_takeover_gets_runs_again() {
    let mut sim = Sim::new(1);
    let job = sim.submit("long", vec![step(1, 1_000, 60_000)]);
    sim.run_for(500);
    let agent = AgentId::from("w0");
    sim.workers.get_mut(&agent).unwrap().mode = Mode::Partitioned;
    sim.run_for(1_000);
    sim.take_over();
    sim.run_for(200);
    sim.workers.get_mut(&agent).unwrap().mode = Mode::Healthy;
    sim.run_for(LEASE_TERMS.longest_ms());
    assert_eq!(sim.running(&job), 1);
    assert_eq!(
        sim.starts[&job], 1,
        "its lease was renewed, so that its run went on"
    );
}

/// Guards against a further run of a task whose last allowed one failed while the scheduler had no
/// configuration, as after a start beside a silent store.
#[test]
fn a_task_that_used_up_its_runs_before_the_configuration_came_does_not_run_again() {
    /// Runs that the queue allows.
    const MAX_ATTEMPTS: u32 = 3;
    for is_gang in [false, true] {
        let mut sim = Sim::new(3);
        let spec = flow::StepSpec {
            gang: is_gang,
            ..step(1, 1_000, 300)
        };
        let job = sim.submit("failing", vec![spec]);
        sim.always_failing.insert(job.clone());
        while sim.starts.get(&job) != Some(&MAX_ATTEMPTS) {
            sim.step();
        }
        sim.run_for(100);
        sim.take_over();
        let config = flow::FlowConfig {
            version: 1,
            ..flow::FlowConfig::default()
        };
        sim.scheduler.set_config(config);
        sim.run_for(2_000);
        assert!(!sim.ended_ms.contains_key(&job), "no limit is known yet");
        sim.scheduler.set_config(common::config());
        sim.run_for(2_000);
        assert_eq!(sim.starts[&job], MAX_ATTEMPTS, "runs of the task");
        assert_eq!(sim.ended_ms[&job].1, flow::FlowPhase::Failed);
    }
}
