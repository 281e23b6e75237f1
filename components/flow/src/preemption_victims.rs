//! Runs that may have to make room for urgent tasks, and what they would lose.

use crate::view::Allocation;
use crate::{Placement, RunStage, Scheduler, TaskKey, TaskState};
use ::preemption::Victim;
use model::AgentId;

/// Least remaining run time of a run that is preempted, in milliseconds; others end soon.
const MIN_LEFT_MS: u64 = 2_000;

impl Scheduler {
    /// Runs of a worker that may have to make room, apart from the limits of the rule.
    pub(crate) fn victims(&self, now_ms: u64, agent: &AgentId) -> Vec<(TaskKey, Victim)> {
        let view = self.fleet.workers.get(agent);
        let runs = view.into_iter().flat_map(|view| &view.allocations);
        let victims = runs.filter_map(|(key, allocation)| {
            Some((key.clone(), self.victim(now_ms, agent, key, allocation)?))
        });
        victims.collect()
    }

    /// A run as the rule sees it; `None` if it must not be preempted.
    fn victim(
        &self,
        now_ms: u64,
        agent: &AgentId,
        key: &TaskKey,
        allocation: &Allocation,
    ) -> Option<Victim> {
        let state = self
            .flows
            .get(&key.job)
            .filter(|state| !state.is_closed())?;
        let queue = self.config.queue(&state.job.queue)?;
        let spec = state.step_spec(key.step)?;
        let task = state.task(key)?;
        let placement = sole_run(task).filter(|placement| placement.agent == *agent)?;
        let may_stop = spec.saves_progress && !spec.gang && !spec.long_running;
        if !may_stop || self.suspects.contains_key(key) {
            return None;
        }
        let left_ms = self.remaining_run_ms(now_ms, key, allocation);
        if left_ms.is_some_and(|left_ms| left_ms < MIN_LEFT_MS) {
            return None;
        }
        let run_ms = self.run_time_ms(state, key.step);
        let slack_ms = self.start_slack_ms(now_ms, state, key);
        let gained_ms = run_ms as i64 - left_ms.unwrap_or(run_ms) as i64;
        let lost_ms = unsaved_ms(now_ms, task, placement, run_ms);
        let mut victim = Victim {
            priority: queue.priority,
            cores_milli: allocation.reserved.processors_milli,
            memory_mb: allocation.reserved.memory_mb.into(),
            lost_work: u64::from(allocation.processors_milli).saturating_mul(lost_ms) / 1_000,
            slack_ms: slack_ms.saturating_add(gained_ms),
            ..Victim::default()
        };
        self.preemptions.fill(key, &mut victim);
        Some(victim)
    }
}

/// Placement of a task's run if it is in progress and the only one.
fn sole_run(task: &TaskState) -> Option<&Placement> {
    let placement = task.placement.as_ref()?;
    let is_running = matches!(placement.stage, RunStage::Running { .. });
    (is_running && !task.done && task.duplicate.is_none()).then_some(placement)
}

/// Time whose work would be lost by a stop of a run, in milliseconds at full pace: that since the run's newest
/// checkpoint or, before its first, since its start. All progress counts if its task has no checkpoint, as the
/// start of a run that another scheduler placed is not known.
fn unsaved_ms(now_ms: u64, task: &TaskState, placement: &Placement, run_ms: u64) -> u64 {
    let started_ms = match placement.stage {
        RunStage::Running { since_ms } => since_ms,
        _ => now_ms,
    };
    let since_ms = started_ms.max(placement.saved_ms);
    let pace = u64::from(placement.pace);
    let unsaved_ms = now_ms.saturating_sub(since_ms).saturating_mul(pace) / 100;
    let progress_ms = run_ms.saturating_mul(placement.percent.min(100).into()) / 100;
    match task.checkpoint {
        Some(_) => unsaved_ms,
        None => unsaved_ms.max(progress_ms),
    }
}
