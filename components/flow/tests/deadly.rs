//! Tasks that crash the workers that start them, in virtual time.

mod common;

use common::{Sim, step};
use flow::{FlowPhase, TaskKey};
use model::{AgentId, JobId};

/// Most starts of a task that crashes its workers, by the platform's pages: after three workers
/// have crashed under it, it must not be started three times more.
const MAX_STARTS: u32 = 5;

/// Key of the only task of a flow's only step.
fn only_task(job: &JobId) -> TaskKey {
    TaskKey {
        job: job.clone(),
        occurrence: 0,
        step: 0,
        index: 0,
    }
}

/// Submits `flows` flows of a few tasks, and makes one task of each flow deadly whose number is a
/// multiple of `deadly_every`.
fn submit_flows(sim: &mut Sim, flows: usize, deadly_every: usize) {
    for number in 0..flows {
        let is_deadly = number % deadly_every == 0;
        let job = sim.submit(&format!("f{number:02}"), vec![step(4, 1_000, 800)]);
        if is_deadly {
            sim.deadly.insert(only_task(&job));
        }
        sim.run_for(100);
    }
}

/// Asserts that each flow with a deadly task failed after few starts, and that all others completed.
fn assert_only_deadly_flows_failed(sim: &Sim) {
    for (task, crashes) in &sim.crashes {
        assert!(*crashes <= MAX_STARTS, "{task} crashed {crashes} workers");
    }
    for (job, (_, phase)) in &sim.ended_ms {
        let expected = if sim.deadly.contains(&only_task(job)) {
            FlowPhase::Failed
        } else {
            FlowPhase::Completed
        };
        assert_eq!(*phase, expected, "{job}");
    }
}

/// Guards against a task that crashes worker after worker, and against flows that are given up only
/// because they ran beside it.
#[test]
fn a_task_that_crashes_its_workers_is_given_up_and_no_other() {
    for deadly_every in [30, 10, 5] {
        let mut sim = Sim::new(11);
        submit_flows(&mut sim, 30, deadly_every);
        assert!(sim.run_until_ended(40_000), "{:?}", sim.crashes);
        assert_only_deadly_flows_failed(&sim);
    }
}

/// Guards against tasks that are started for ever because so many of them crash workers at once that
/// the crashes count against nobody.
#[test]
fn many_deadly_tasks_at_once_are_given_up_too() {
    for deadly_every in [1, 2] {
        let mut sim = Sim::new(11);
        for number in 0..24 {
            let job = sim.submit(&format!("f{number:02}"), vec![step(4, 1_000, 800)]);
            if number % deadly_every == 0 {
                sim.deadly.insert(only_task(&job));
            }
        }
        assert!(sim.run_until_ended(120_000), "{:?}", sim.crashes);
        for (task, crashes) in &sim.crashes {
            assert!(*crashes <= MAX_STARTS, "{task} crashed {crashes} workers");
        }
        for (job, (_, phase)) in &sim.ended_ms {
            let is_allowed = *phase == FlowPhase::Completed || sim.may_be_given_up(job);
            assert!(is_allowed, "{job} is {phase}");
        }
    }
}

/// Guards against crashes that a scheduler forgets when it replaces the one that counted them.
#[test]
fn a_new_scheduler_remembers_the_crashes_of_a_task() {
    for take_over_after_ms in [40, 100, 160, 300] {
        let mut sim = Sim::new(6);
        let job = sim.submit("deadly", vec![step(1, 1_000, 800)]);
        sim.deadly.insert(only_task(&job));
        sim.run_for(200);
        for _ in 0..20 {
            sim.run_for(take_over_after_ms);
            let crashes = sim.crashes.values().sum::<u32>();
            if crashes < 3 {
                sim.take_over();
            }
        }
        assert!(sim.run_until_ended(30_000), "{:?}", sim.crashes);
        assert_only_deadly_flows_failed(&sim);
    }
}

/// Guards against flows that are given up because workers crash for another cause: all crash at
/// once, twice, and single ones crash time and again.
#[test]
fn flows_survive_crashes_that_no_task_causes() {
    let mut sim = Sim::new(8);
    let lasting = {
        let mut lasting = step(2, 2_000, 500);
        lasting.long_running = true;
        sim.submit("lasting", vec![lasting])
    };
    for number in 0..40 {
        sim.submit(&format!("f{number:02}"), vec![step(3, 1_000, 900)]);
        sim.run_for(150);
        let agents: Vec<AgentId> = sim.workers.keys().cloned().collect();
        if number == 10 || number == 30 {
            for agent in &agents {
                sim.crash_for_a_while(agent);
            }
        } else if number % 5 == 4 {
            sim.crash_for_a_while(&agents[number % agents.len()]);
        }
    }
    for _ in 0..8 {
        sim.run_for(20_000);
        let agents: Vec<AgentId> = sim.workers.keys().cloned().collect();
        for agent in &agents {
            sim.crash_for_a_while(agent);
        }
    }
    sim.run_for(10_000);
    assert_eq!(sim.completed(), 40, "{:?}", sim.ended_ms);
    assert_eq!(sim.running(&lasting), 2);
}
