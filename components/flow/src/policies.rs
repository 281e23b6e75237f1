//! Policies of the scheduler that a deployment switches on.

/// Policies that are in force; all are off by default.
///
/// ```
/// assert!(!flow::Policies::default().overload_order);
/// ```
#[derive(Debug, Clone, Copy, Default, PartialEq)]
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
    /// Whether paces of fillers are raised late and in steps.
    pub damped_pacing: bool,
}
