//! A pool with a slow worker, and a flow of which a run there has got a duplicate.

use super::{Sim, step};
use flow::{FlowPhase, Placement, StepSpec, TaskKey};
use model::{AgentId, JobId};

/// Number of tasks of the step; one runs on each worker.
pub const TASKS: u32 = 4;
/// Number of workers; the last one has nothing to run but duplicates.
pub const WORKERS: u32 = TASKS + 1;
/// Time within which a task of the step ends on a usual worker, in milliseconds.
pub const RUN_MS: u64 = 1_000;

/// A step that allows duplicates.
pub fn duplicable() -> StepSpec {
    StepSpec {
        duplicates_allowed: true,
        ..step(TASKS, 2_000, RUN_MS)
    }
}

/// A pool of which the first worker takes seven times as long as the others.
pub fn slow_pool() -> Sim {
    let mut sim = Sim::new(WORKERS as usize);
    sim.slow_workers.insert("w0".into(), 7);
    sim.allow_duplicates();
    sim
}

/// A pool in which the run on the slow worker has got a duplicate that has just started, the flow, the
/// task, and the agent of the duplicate's worker.
pub fn with_duplicate(spec: StepSpec) -> (Sim, JobId, TaskKey, AgentId) {
    let mut sim = slow_pool();
    let job = sim.submit("slow", vec![spec]);
    while sim.starts.get(&job) != Some(&(TASKS + 1)) {
        sim.step();
        assert!(sim.now_ms < 3_000, "no duplicate was started");
    }
    let flow = sim.scheduler.flow(&job).unwrap();
    let (key, task) = (flow.tasks())
        .find(|(_, task)| task.duplicate.is_some())
        .unwrap();
    let agents: Vec<AgentId> = task.placements().map(|run| run.agent.clone()).collect();
    assert_eq!(agents[0], AgentId::from("w0"));
    assert_ne!(agents[1], agents[0]);
    (sim, job, key, agents[1].clone())
}

/// Placements of a task, its own first.
pub fn placements(sim: &Sim, key: &TaskKey) -> Vec<Placement> {
    let task = sim.scheduler.flow(&key.job).and_then(|flow| flow.task(key));
    task.map_or(Vec::new(), |task| task.placements().cloned().collect())
}

/// Number of duplicates with this outcome.
pub fn count(sim: &Sim, outcome: &str) -> u32 {
    sim.duplicate_outcomes.get(outcome).copied().unwrap_or(0)
}

/// Lets a flow complete, and checks that it took at most `starts` starts and leaves nothing.
pub fn assert_completes(sim: &mut Sim, job: &JobId, starts: u32) {
    assert!(sim.run_until_ended(30_000), "{job} has not ended");
    assert_eq!(sim.ended_ms[job].1, FlowPhase::Completed);
    assert_eq!(sim.starts[job], starts, "starts of {job}");
    sim.run_for(1_000);
    assert_nothing_is_left(sim);
}

pub fn assert_nothing_is_left(sim: &Sim) {
    for (agent, view) in sim.scheduler.workers() {
        assert_eq!(sim.run_count(agent.as_str()), 0, "runs on {agent}");
        assert!(view.allocations.is_empty(), "allocations on {agent}");
    }
}
