//! Order of the flows in a scheduling pass: earliest due first, and behind others if their queue has used more
//! than its share.

use crate::{FlowState, Queue, Scheduler, StepState};
use model::JobId;

/// Multiple of its objective after which a flow is ordered behind those that can still meet theirs.
const OVERDUE_FACTOR: f64 = 3.0;

/// Sort key of a flow in a scheduling pass; the lowest is placed first.
#[derive(Debug, Clone, Copy, PartialEq, PartialOrd)]
struct Rank {
    /// Priority of the queue; 0 is the most urgent.
    priority: u32,
    /// Debt of the queue, in thousandths of its share; 0 for long-running flows.
    debt_milli: u64,
    /// Whether the flow has exceeded its objective by [`OVERDUE_FACTOR`].
    is_overdue: bool,
    /// When the flow should end, in milliseconds; 0 for long-running flows.
    due_ms: f64,
}

impl Scheduler {
    /// Flows with queued tasks, earliest due first.
    pub(crate) fn order_by_due_time(&self, now_ms: u64) -> Vec<JobId> {
        let mut order: Vec<(Rank, JobId)> = self
            .flows
            .values()
            .filter(|state| !state.is_closed())
            .filter_map(|state| Some((self.rank(now_ms, state)?, state.job.id.clone())))
            .collect();
        order.sort_by(|left, right| left.partial_cmp(right).unwrap_or(std::cmp::Ordering::Equal));
        order.into_iter().map(|(_, job)| job).collect()
    }

    /// Sort key of a flow, or `None` if it has no queued task.
    fn rank(&self, now_ms: u64, state: &FlowState) -> Option<Rank> {
        let has_queued_tasks = state
            .occurrences
            .iter()
            .flat_map(|occurrence| &occurrence.steps)
            .any(StepState::has_queued_tasks);
        if !has_queued_tasks {
            return None;
        }
        let queue = self.config.queue(&state.job.queue);
        let priority = queue.map_or(u32::MAX, |queue| queue.priority);
        let objective_ms = queue.map_or(0.0, |queue| objective_ms(queue, state));
        let first_seen_ms = state.first_seen_ms as f64;
        let due_ms = if state.job.spec.is_long_running() {
            0.0
        } else {
            first_seen_ms + objective_ms
        };
        let is_overdue =
            due_ms > 0.0 && (now_ms as f64) > first_seen_ms + OVERDUE_FACTOR * objective_ms;
        Some(Rank {
            priority,
            debt_milli: self.debt_milli(state),
            is_overdue,
            due_ms,
        })
    }
}

/// Time after acceptance within which a flow should end, in milliseconds.
pub(crate) fn objective_ms(queue: &Queue, state: &FlowState) -> f64 {
    queue.stretch * state.job.spec.chain_ms() as f64 + queue.latency_target_ms as f64
}
