//! A pool in several failure domains, with a bound on evacuations.

use super::{Sim, step};
use flow::{FlowState, Policies, RunStage, StepSpec, TaskKey};
use model::AgentId;
use std::collections::BTreeSet;

/// Time after the request from which no task may start in the domain, in milliseconds.
pub const BOUND_MS: u64 = 5_000;
/// Workers in each domain.
pub const WORKERS_PER_DOMAIN: usize = 2;

/// A simulation with this number of domains, `d0` and so on.
pub fn sim(domains: usize) -> Sim {
    let mut sim = Sim::new(domains * WORKERS_PER_DOMAIN);
    for (number, worker) in sim.workers.values_mut().enumerate() {
        worker.domain = format!("d{}", number / WORKERS_PER_DOMAIN).into();
    }
    sim.set_policies(Policies {
        evacuation_bound_ms: Some(BOUND_MS),
        ..Policies::default()
    });
    sim.run_for(400);
    sim
}

/// Whether a worker is in a domain.
pub fn is_in(sim: &Sim, agent: &AgentId, domain: &str) -> bool {
    sim.workers[agent].domain == domain.into()
}

/// Number of starts in a domain from `from_ms` on.
pub fn starts_in(sim: &Sim, domain: &str, from_ms: u64) -> usize {
    let starts = sim.started.iter();
    starts
        .filter(|(_, agent, at_ms)| *at_ms >= from_ms && is_in(sim, agent, domain))
        .count()
}

/// Number of runs that the workers of a domain have now.
pub fn runs_in(sim: &Sim, domain: &str) -> usize {
    let in_domain = sim
        .scheduler
        .workers()
        .filter(|(agent, _)| is_in(sim, agent, domain));
    in_domain.map(|(_, view)| view.allocations.len()).sum()
}

/// A step of tasks that save their progress.
pub fn saving(tasks: u32, estimate_ms: u64) -> StepSpec {
    StepSpec {
        saves_progress: true,
        ..step(tasks, 1_000, estimate_ms)
    }
}

/// A step of long-running tasks.
pub fn lasting(tasks: u32, disruption_budget: Option<u32>) -> StepSpec {
    StepSpec {
        long_running: true,
        disruption_budget,
        ..step(tasks, 2_000, 500)
    }
}

/// Number of runs that are being stopped.
pub fn stopping(sim: &Sim) -> usize {
    let tasks = sim.scheduler.flows().flat_map(FlowState::tasks);
    let placements = tasks.filter_map(|(_, task)| task.placement.as_ref());
    placements
        .filter(|one| matches!(one.stage, RunStage::Stopping { .. }))
        .count()
}

/// Advances until a run is being stopped.
///
/// # Panics
/// None is within 10 s.
pub fn run_until_stopping(sim: &mut Sim) {
    let until_ms = sim.now_ms + 10_000;
    while stopping(sim) == 0 {
        assert!(sim.now_ms < until_ms, "nothing is moved");
        sim.step();
    }
}

/// Most starts of one task.
pub fn most_starts(sim: &Sim) -> usize {
    let tasks: BTreeSet<&TaskKey> = sim.started.iter().map(|(task, _, _)| task).collect();
    let starts_of = |key: &TaskKey| {
        let starts = sim.started.iter();
        starts.filter(|(task, _, _)| task == key).count()
    };
    tasks.into_iter().map(starts_of).max().unwrap_or(0)
}
