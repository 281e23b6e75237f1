//! Queues that compete for one pool.

use super::{Sim, step};
use flow::{FairSharePolicy, Policies, Queue, QueueKey, StepSpec};
use model::JobId;

/// Run time of each task, in milliseconds.
pub const RUN_MS: u64 = 1_000;

pub fn key(name: &str) -> QueueKey {
    QueueKey {
        host: "a.example".to_owned(),
        prefix: format!("/{name}/"),
    }
}

pub fn queue(name: &str, priority: u32) -> Queue {
    Queue {
        key: key(name),
        service: "pool".into(),
        priority,
        max_attempts: 3,
        stretch: 2.0,
        latency_target_ms: 500,
    }
}

pub fn fair(weights: &[(&str, f64)]) -> Policies {
    let named = weights.iter();
    let weights = named.map(|(name, weight)| (key(name).to_string(), *weight));
    Policies {
        fair_shares: Some(FairSharePolicy {
            weights: weights.collect(),
        }),
        ..Policies::default()
    }
}

/// Two workers with 32 processors together and these queues of one priority.
pub fn sim_with(names: &[&str], policies: Policies) -> Sim {
    let mut sim = Sim::new(2);
    sim.set_queues(names.iter().map(|name| queue(name, 0)).collect());
    sim.set_policies(policies);
    sim.run_for(500);
    sim
}

pub fn submit(sim: &mut Sim, name: &str, id: &str, steps: Vec<StepSpec>) -> JobId {
    sim.submit_to(key(name), id, steps, None)
}

/// A flow of four tasks of two processors.
pub fn four_tasks() -> Vec<StepSpec> {
    vec![step(4, 2_000, RUN_MS)]
}

/// Debt of a queue as of the last observation, in percent.
pub fn debt_percent(sim: &Sim, name: &str) -> f64 {
    let name = key(name).to_string();
    let mut shares = sim.scheduler.queue_shares().iter();
    shares
        .find(|share| share.queue == name)
        .map_or(0.0, |share| share.debt_percent)
}

/// Number of starts of the flows whose names begin with `prefix`.
pub fn starts_of(sim: &Sim, prefix: &str) -> usize {
    let started = sim.started.iter();
    let of_queue = started.filter(|(task, _, _)| task.job.as_str().starts_with(prefix));
    of_queue.count()
}
