//! Orders to agents about placed attempts.

use crate::{Effect, JobState, Shard, TaskView};
use backing::AttemptRef;
use model::{AgentId, Job, TaskState};
use wire::{StartOrder, StopOrder};

/// Time before an order that brought no answer is sent again.
const REORDER_MS: u64 = 2_000;
/// Time without a heartbeat after which an agent's attempts are recovered through the platform.
const RECOVER_AFTER_MS: u64 = 10_000;

impl Shard {
    /// Orders that are due: starts without an answer, stops of cancelled work, and recovery of
    /// what ran on agents that are gone.
    pub fn due_orders(
        &mut self,
        now_ms: u64,
        unheard_ms: impl Fn(&AgentId) -> Option<u64>,
    ) -> Vec<Effect> {
        let mut effects = Vec::new();
        let owned_ms = now_ms.saturating_sub(self.taken_ms);
        let unheard_ms = |agent: &AgentId| unheard_ms(agent).unwrap_or(owned_ms);
        for JobState {
            job,
            cancelled,
            tasks,
            ..
        } in self.jobs.values_mut()
        {
            for view in tasks.values_mut() {
                effects.extend(due_order(now_ms, job, *cancelled, view, &unheard_ms));
            }
        }
        effects
    }
}

/// The order about one task that is due now, if any.
pub(crate) fn due_order(
    now_ms: u64,
    job: &Job,
    cancelled: bool,
    view: &mut TaskView,
    unheard_ms: &impl Fn(&AgentId) -> u64,
) -> Option<Effect> {
    let TaskState::Placed(agent) = &view.record.state else {
        return None;
    };
    let recently = view
        .ordered_ms
        .is_some_and(|last_ms| now_ms < last_ms + REORDER_MS);
    if !view.durable || recently {
        return None;
    }
    let attempt = AttemptRef {
        task: view.record.id.clone(),
        attempt: view.record.attempt,
    };
    let is_gone = unheard_ms(agent) >= RECOVER_AFTER_MS;
    if is_gone {
        view.ordered_ms = Some(now_ms);
        return Some(Effect::Recover(agent.clone(), attempt));
    }
    if cancelled {
        view.ordered_ms = Some(now_ms);
        return Some(Effect::Stop(
            agent.clone(),
            StopOrder {
                attempt,
                checkpoint: false,
            },
        ));
    }
    if view.accepted {
        return None;
    }
    view.ordered_ms = Some(now_ms);
    let order = StartOrder {
        attempt,
        kind: job.spec.kind.clone(),
        need: view.need,
        urgent: job.spec.urgent,
        payload: job.spec.payload.clone(),
        checkpoint: view.record.checkpoint,
    };
    Some(Effect::Start(agent.clone(), order))
}
