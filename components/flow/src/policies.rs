//! Policies of the scheduler that a deployment switches on.

use std::collections::BTreeMap;

/// Policies that are in force; all are off by default.
///
/// ```
/// assert!(!flow::Policies::default().overload_order);
/// ```
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Policies {
    /// Time after the request for an evacuation from which no task may start in the failure domain,
    /// in milliseconds; `None` if starts don't depend on when evacuations were last read.
    pub evacuation_bound_ms: Option<u64>,
    /// Whether run times of tasks and speeds of workers are learned.
    pub learned_run_times: bool,
    /// Whether flows that can still end in time come first when there is too little room.
    pub overload_order: bool,
    /// Whether a second run of a slow task may start where its step allows that.
    pub duplicates: bool,
    /// Factor by which a task takes longer away from its data or its group; `None` if tasks don't
    /// wait for a near worker.
    pub remote_factor: Option<f64>,
    /// Shares of the queues of equal priority in the pool that they have in common; `None` if queues don't
    /// have shares.
    pub fair_shares: Option<FairSharePolicy>,
    /// Whether urgent tasks may take the place of less urgent ones that save their progress.
    pub preemption: bool,
    /// Whether paces of fillers are raised late and in steps.
    pub damped_pacing: bool,
}

/// Shares of queues.
///
/// ```
/// let weights = std::collections::BTreeMap::from([("a.example/q/".to_owned(), 2.0)]);
/// let policy = flow::FairSharePolicy { weights };
/// assert_eq!((policy.weight("a.example/q/"), policy.weight("b.example/q/")), (2.0, 1.0));
/// ```
#[derive(Debug, Clone, Default, PartialEq)]
pub struct FairSharePolicy {
    /// Weights by the names of queues, which are their hosts and prefixes; 1 for the others.
    pub weights: BTreeMap<String, f64>,
}

impl FairSharePolicy {
    /// Weight of the queue with this name.
    pub fn weight(&self, queue: &str) -> f64 {
        self.weights.get(queue).copied().unwrap_or(1.0)
    }
}
