//! Applies agents' reports about attempts: accepted, refused, ended.

use crate::{Effect, Kinds, Shard, TeamUsage, Workers};
use backing::AttemptRef;
use model::{AgentId, EndReason, TaskState};
use wire::{AttemptEnd, EndKind};

impl Shard {
    /// Applies the proved end of an attempt, reported by the agent that ran it. Returns the
    /// confirmation if the agent may discard the end now: the job or task is not known any more, or
    /// the table already records a later state. Returns `None` if the end has to become durable
    /// first, or if the agent has to report it again.
    pub fn on_end(
        &mut self,
        now_ms: u64,
        agent: &AgentId,
        end: &AttemptEnd,
        workers: &mut Workers,
        usage: &mut TeamUsage,
        kinds: &mut Kinds,
    ) -> Option<Effect> {
        let confirm = Effect::Confirm(agent.clone(), end.attempt.clone());
        let Some(state) = self.jobs.get_mut(&end.attempt.task.job) else {
            return Some(confirm);
        };
        let Some(tracked) = state.tasks.get_mut(&end.attempt.task.index) else {
            return Some(confirm);
        };
        let is_placed = tracked.record.state == TaskState::Placed(agent.clone());
        if tracked.record.attempt != end.attempt.attempt || !is_placed || !tracked.is_durable {
            let is_obsolete = tracked.is_durable || tracked.record.attempt > end.attempt.attempt;
            return is_obsolete.then_some(confirm);
        }
        let spec = &state.job.spec;
        usage.remove(&spec.team, &tracked.need);
        if std::mem::take(&mut tracked.is_reserved) {
            workers.consume_reservation(agent, &tracked.need);
        } else {
            workers.free_resources(agent, &tracked.need);
        }
        if end.kind == EndKind::Succeeded {
            workers.record_success(agent);
            kinds.add(&spec.kind, end);
        }
        let is_blameless = end.kind == EndKind::Failed && workers.is_suspect(agent, &state.job.id);
        if end.kind == EndKind::Failed {
            workers.record_failure(now_ms, agent, &state.job.id);
        }
        tracked.apply_end(agent, end.kind, is_blameless, spec.max_failures);
        if state.is_cancelled && tracked.record.state == TaskState::Waiting {
            tracked.record.state = TaskState::Ended(EndReason::Cancelled);
        }
        if tracked.record.state == TaskState::Waiting {
            state.requeued.push_back(end.attempt.task.index);
        }
        tracked.mark_dirty();
        tracked
            .ends_to_confirm
            .push((agent.clone(), end.attempt.attempt));
        self.dirty.insert(end.attempt.task.clone());
        None
    }

    /// Applies an agent's refusal to start an attempt, which proves that it never ran there. The
    /// task goes to the front of the queue, or ends if the job is cancelled.
    pub fn on_refused(
        &mut self,
        agent: &AgentId,
        attempt: &AttemptRef,
        workers: &mut Workers,
        usage: &mut TeamUsage,
    ) {
        let Some(state) = self.jobs.get_mut(&attempt.task.job) else {
            return;
        };
        let Some(tracked) = state.tasks.get_mut(&attempt.task.index) else {
            return;
        };
        let is_placed = tracked.record.state == TaskState::Placed(agent.clone());
        if tracked.record.attempt != attempt.attempt || !is_placed || !tracked.is_durable {
            return;
        }
        usage.remove(&state.job.spec.team, &tracked.need);
        if std::mem::take(&mut tracked.is_reserved) {
            workers.consume_reservation(agent, &tracked.need);
        }
        if state.is_cancelled {
            tracked.record.state = TaskState::Ended(EndReason::Cancelled);
        } else {
            tracked.record.state = TaskState::Waiting;
            tracked.avoided_agent = Some(agent.clone());
            state.requeued.push_front(attempt.task.index);
        }
        tracked.mark_dirty();
        self.dirty.insert(attempt.task.clone());
    }

    /// Records that an agent has accepted an attempt.
    pub fn on_accepted(&mut self, agent: &AgentId, attempt: &AttemptRef, workers: &mut Workers) {
        let Some(state) = self.jobs.get_mut(&attempt.task.job) else {
            return;
        };
        let Some(tracked) = state.tasks.get_mut(&attempt.task.index) else {
            return;
        };
        if tracked.record.attempt == attempt.attempt && !tracked.is_accepted {
            tracked.is_accepted = true;
            if std::mem::take(&mut tracked.is_reserved) {
                workers.consume_reservation(agent, &tracked.need);
            }
        }
    }

    /// Makes the starts of all tasks placed on a restarted agent due again, because the agent may
    /// have missed their ends.
    pub fn on_agent_restarted(&mut self, agent: &AgentId) {
        for tracked in self
            .jobs
            .values_mut()
            .flat_map(|state| state.tasks.values_mut())
        {
            if tracked.record.state == TaskState::Placed(agent.clone()) {
                tracked.is_accepted = false;
                tracked.last_order_ms = None;
            }
        }
    }
}
