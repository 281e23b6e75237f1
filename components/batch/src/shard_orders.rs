//! Derives the orders that are due to agents.

use crate::{Effect, JobState, Shard, TrackedTask};
use backing::AttemptRef;
use model::{AgentId, Job, TaskState};
use wire::{StartOrder, StopOrder};

/// Time after which an order without an answer is sent again.
const RESEND_ORDER_MS: u64 = 2_000;
/// Time without a heartbeat after which an agent's attempts are recovered through the platform.
const RECOVER_AFTER_MS: u64 = 10_000;

impl Shard {
    /// Orders that are due: starts that were not answered, stops of cancelled tasks, and recovery
    /// of attempts on agents without heartbeats. `heartbeat_age_ms` gives the time since an agent's
    /// last heartbeat; for an agent that this entry does not know (`None`), the time since the
    /// shard was claimed counts.
    pub fn due_orders(
        &mut self,
        now_ms: u64,
        heartbeat_age_ms: impl Fn(&AgentId) -> Option<u64>,
    ) -> Vec<Effect> {
        let mut effects = Vec::new();
        let owned_ms = now_ms.saturating_sub(self.claimed_ms);
        let heartbeat_age_ms = |agent: &AgentId| heartbeat_age_ms(agent).unwrap_or(owned_ms);
        for JobState {
            job,
            is_cancelled,
            tasks,
            ..
        } in self.jobs.values_mut()
        {
            for tracked in tasks.values_mut() {
                effects.extend(due_order(
                    now_ms,
                    job,
                    *is_cancelled,
                    tracked,
                    &heartbeat_age_ms,
                ));
            }
        }
        effects
    }
}

/// The order that is due for one task; `None` if it is not placed, its placement is not durable, an
/// order was sent recently, or the agent has accepted the attempt.
pub(crate) fn due_order(
    now_ms: u64,
    job: &Job,
    is_cancelled: bool,
    tracked: &mut TrackedTask,
    heartbeat_age_ms: &impl Fn(&AgentId) -> u64,
) -> Option<Effect> {
    let TaskState::Placed(agent) = &tracked.record.state else {
        return None;
    };
    let was_sent_recently = tracked
        .last_order_ms
        .is_some_and(|last_ms| now_ms < last_ms + RESEND_ORDER_MS);
    if !tracked.is_durable || was_sent_recently {
        return None;
    }
    let attempt = AttemptRef {
        task: tracked.record.id.clone(),
        attempt: tracked.record.attempt,
    };
    let is_lost = heartbeat_age_ms(agent) >= RECOVER_AFTER_MS;
    if is_lost {
        tracked.last_order_ms = Some(now_ms);
        return Some(Effect::Recover(agent.clone(), attempt));
    }
    if is_cancelled {
        tracked.last_order_ms = Some(now_ms);
        return Some(Effect::Stop(
            agent.clone(),
            StopOrder {
                attempt,
                checkpoint: false,
            },
        ));
    }
    if tracked.is_accepted {
        return None;
    }
    tracked.last_order_ms = Some(now_ms);
    let order = StartOrder {
        attempt,
        kind: job.spec.kind.clone(),
        need: tracked.need,
        urgent: job.spec.urgent,
        payload: job.spec.payload.clone(),
        checkpoint: tracked.record.checkpoint,
    };
    Some(Effect::Start(agent.clone(), order))
}
