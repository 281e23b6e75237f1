//! What agents tell of attempts: taken in, refused, ended.

use crate::{Effect, Kinds, Shard, TeamUsage, Workers};
use backing::AttemptRef;
use model::{AgentId, EndReason, TaskState};
use wire::{AttemptEnd, EndKind};

impl Shard {
    /// Takes the proved end of an attempt from the worker that had it.
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
        let Some(view) = state.tasks.get_mut(&end.attempt.task.index) else {
            return Some(confirm);
        };
        let placed = view.record.state == TaskState::Placed(agent.clone());
        if view.record.attempt != end.attempt.attempt || !placed || !view.durable {
            let settled = view.durable || view.record.attempt > end.attempt.attempt;
            return settled.then_some(confirm);
        }
        let spec = &state.job.spec;
        usage.remove(&spec.team, &view.need);
        if std::mem::take(&mut view.on_the_way) {
            workers.arrived(agent, &view.need);
        } else {
            workers.ended(agent, &view.need);
        }
        if end.kind == EndKind::Succeeded {
            workers.succeeded(agent);
            kinds.add(&spec.kind, end);
        }
        let is_blameless = end.kind == EndKind::Failed && workers.is_suspect(agent, &state.job.id);
        if end.kind == EndKind::Failed {
            workers.failed(now_ms, agent, &state.job.id);
        }
        view.take_end(agent, end.kind, is_blameless, spec.max_failures);
        if state.cancelled && view.record.state == TaskState::Waiting {
            view.record.state = TaskState::Ended(EndReason::Cancelled);
        }
        if view.record.state == TaskState::Waiting {
            state.waiting.push_back(end.attempt.task.index);
        }
        view.touch();
        view.confirm.push((agent.clone(), end.attempt.attempt));
        self.dirty.insert(end.attempt.task.clone());
        None
    }

    /// Takes an agent's refusal to start an attempt, which proves that it never ran there.
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
        let Some(view) = state.tasks.get_mut(&attempt.task.index) else {
            return;
        };
        let placed = view.record.state == TaskState::Placed(agent.clone());
        if view.record.attempt != attempt.attempt || !placed || !view.durable {
            return;
        }
        usage.remove(&state.job.spec.team, &view.need);
        if std::mem::take(&mut view.on_the_way) {
            workers.arrived(agent, &view.need);
        }
        if state.cancelled {
            view.record.state = TaskState::Ended(EndReason::Cancelled);
        } else {
            view.record.state = TaskState::Waiting;
            view.avoid = Some(agent.clone());
            state.waiting.push_front(attempt.task.index);
        }
        view.touch();
        self.dirty.insert(attempt.task.clone());
    }

    /// Takes an agent's word that it has taken an attempt in.
    pub fn on_accepted(&mut self, agent: &AgentId, attempt: &AttemptRef, workers: &mut Workers) {
        let Some(state) = self.jobs.get_mut(&attempt.task.job) else {
            return;
        };
        let Some(view) = state.tasks.get_mut(&attempt.task.index) else {
            return;
        };
        if view.record.attempt == attempt.attempt && !view.accepted {
            view.accepted = true;
            if std::mem::take(&mut view.on_the_way) {
                workers.arrived(agent, &view.need);
            }
        }
    }

    /// Orders anew what was placed on an agent that was restarted and may have missed its end.
    pub fn on_agent_restarted(&mut self, agent: &AgentId) {
        for view in self
            .jobs
            .values_mut()
            .flat_map(|state| state.tasks.values_mut())
        {
            if view.record.state == TaskState::Placed(agent.clone()) {
                view.accepted = false;
                view.ordered_ms = None;
            }
        }
    }
}
