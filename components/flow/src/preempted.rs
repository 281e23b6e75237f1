//! Runs that are being preempted, and how often tasks were.

use crate::{DecisionKind, Effect, FlowState, RunStage, Scheduler, TaskKey};
use model::{AgentId, JobId};
use preemption::Victim;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// Time after which the stop of a preempted run counts as late, in milliseconds: twice what a stop, its
/// report and one repetition take.
const LATE_STOP_MS: u64 = 2_000;

/// What became of a preemption. Each that was ordered has exactly one of the other outcomes, unless the
/// scheduler changes in between.
///
/// ```
/// assert_eq!(flow::PreemptionOutcome::Requeued.to_string(), "requeued");
/// ```
#[derive(Debug, Clone, Copy, PartialEq, Eq, strum::Display, strum::IntoStaticStr)]
#[strum(serialize_all = "kebab-case")]
pub enum PreemptionOutcome {
    /// The stop of the run was ordered.
    Ordered,
    /// The run ended, and its task is queued again.
    Requeued,
    /// The task succeeded before the stop, or its flow ended.
    Finished,
}

/// Preemptions as the scheduler knows them.
#[derive(Debug, Default)]
pub(crate) struct Preemptions {
    /// When urgent tasks that wait are searched for again, in milliseconds.
    pub search_due_ms: u64,
    /// Runs that are being preempted; at most [`preemption::MAX_PREEMPTING`].
    pending: BTreeMap<TaskKey, PendingPreemption>,
    /// Tasks that were preempted and are not done, by flow. A flow has at most as many as it has open tasks,
    /// whose number [`crate::FlowLimits`] bounds.
    tasks: BTreeMap<JobId, BTreeMap<TaskNumber, PreemptedTask>>,
    /// Work that the preemptions for each flow have cost, in core-milliseconds, by open flow.
    spent: BTreeMap<JobId, u64>,
}

/// Occurrence, step and index of a task within its flow.
type TaskNumber = (u32, u32, u32);

/// A run that is being stopped to make room.
#[derive(Debug)]
struct PendingPreemption {
    run: u32,
    agent: AgentId,
    /// When its stop was ordered, in milliseconds.
    since_ms: u64,
    /// Whether it was logged that the stop is late.
    is_logged_late: bool,
}

/// Preemptions of a task.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
struct PreemptedTask {
    count: u32,
    /// When it was last preempted, or when its record was read if that is later, in milliseconds.
    last_ms: u64,
}

/// Number of preemptions of a task, as stored with the record of its flow.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct PreemptionRecord(
    /// Occurrence of the task.
    u32,
    /// Step of the task.
    u32,
    /// Index of the task.
    u32,
    /// Number of preemptions.
    u32,
);

impl Preemptions {
    /// Number of tasks that are being preempted.
    pub(crate) fn count_pending(&self) -> u32 {
        self.pending.len() as u32
    }

    /// Whether a run on a worker should have ended after its preemption, and has not.
    pub(crate) fn is_late_on(&self, now_ms: u64, agent: &AgentId) -> bool {
        let mut pending = self.pending.values();
        pending.any(|preempted| preempted.agent == *agent && preempted.is_late(now_ms))
    }

    /// Work that the preemptions for a flow have cost, in core-milliseconds.
    pub(crate) fn spent(&self, job: &JobId) -> u64 {
        self.spent.get(job).copied().unwrap_or(0)
    }

    /// Counts the cost of a preemption for a flow, in core-milliseconds.
    pub(crate) fn spend(&mut self, job: &JobId, work: u64) {
        *self.spent.entry(job.clone()).or_default() += work;
    }

    /// Enters the preemptions of a task so far.
    pub(crate) fn fill(&self, key: &TaskKey, victim: &mut Victim) {
        let tasks = self.tasks.get(&key.job);
        if let Some(preempted) = tasks.and_then(|tasks| tasks.get(&number_of(key))) {
            victim.preemptions = preempted.count;
            victim.last_preempted_ms = Some(preempted.last_ms);
        }
    }

    /// Preemptions of the tasks of a flow that are not done, as they are stored.
    pub(crate) fn records(&self, state: &FlowState) -> Vec<PreemptionRecord> {
        let job = &state.job.id;
        let tasks = self.tasks.get(job).into_iter().flatten();
        tasks
            .filter(|(number, _)| is_open(state, &key_of(job, **number)))
            .map(|((occurrence, step, index), preempted)| {
                PreemptionRecord(*occurrence, *step, *index, preempted.count)
            })
            .collect()
    }

    /// Restores the preemptions that a former scheduler stored. When they were is not known, so that the
    /// pause after each begins anew.
    pub(crate) fn restore(&mut self, now_ms: u64, job: &JobId, records: &[PreemptionRecord]) {
        for PreemptionRecord(occurrence, step, index, count) in records {
            let preempted = PreemptedTask {
                count: *count,
                last_ms: now_ms,
            };
            let tasks = self.tasks.entry(job.clone()).or_default();
            tasks.insert((*occurrence, *step, *index), preempted);
        }
    }

    /// Forgets a flow that has ended.
    pub(crate) fn forget_flow(&mut self, job: &JobId) {
        self.tasks.remove(job);
        self.spent.remove(job);
    }
}

impl PendingPreemption {
    fn is_late(&self, now_ms: u64) -> bool {
        now_ms >= self.since_ms.saturating_add(LATE_STOP_MS)
    }
}

impl Scheduler {
    /// Stops a run to make room, and counts that. `reason` goes into the log.
    pub(crate) fn preempt_run(&mut self, now_ms: u64, key: &TaskKey, reason: String) {
        let Some(placement) = self.placement(key).cloned() else {
            return;
        };
        self.forget_done_preempted(&key.job);
        let tasks = self.preemptions.tasks.entry(key.job.clone()).or_default();
        let preempted = tasks.entry(number_of(key)).or_default();
        preempted.count += 1;
        preempted.last_ms = now_ms;
        let pending = PendingPreemption {
            run: placement.run,
            agent: placement.agent.clone(),
            since_ms: now_ms,
            is_logged_late: false,
        };
        self.preemptions.pending.insert(key.clone(), pending);
        // The number of preemptions is part of the record.
        self.mark_dirty(&key.job);
        let (kind, run) = (DecisionKind::Preempted, placement.run);
        self.log_decision(kind, key, run, &placement.agent, reason);
        self.effects
            .push(Effect::Preemption(PreemptionOutcome::Ordered));
        self.stop_run(now_ms, key, run, &placement);
    }

    /// Forgets the tasks of a flow that are done, so that they don't pile up in recurring flows.
    fn forget_done_preempted(&mut self, job: &JobId) {
        let Some(state) = self.flows.get(job) else {
            return;
        };
        if let Some(tasks) = self.preemptions.tasks.get_mut(job) {
            tasks.retain(|number, _| is_open(state, &key_of(job, *number)));
        }
    }

    /// Counts the preemptions whose runs have ended, and logs those whose stops are late.
    pub(crate) fn settle_preemptions(&mut self, now_ms: u64) {
        let mut pending = std::mem::take(&mut self.preemptions.pending);
        pending.retain(|key, preempted| {
            let is_stopping = self.is_stopping(key, preempted.run);
            if !is_stopping {
                let outcome = self.preemption_outcome(key);
                self.effects.push(Effect::Preemption(outcome));
            } else if preempted.is_late(now_ms) && !preempted.is_logged_late {
                preempted.is_logged_late = true;
                let detail = format!("not stopped after {LATE_STOP_MS} ms");
                let (run, agent) = (preempted.run, &preempted.agent);
                self.log_decision(DecisionKind::PreemptionLate, key, run, agent, detail);
            }
            is_stopping
        });
        self.preemptions.pending = pending;
    }

    fn is_stopping(&self, key: &TaskKey, run: u32) -> bool {
        let placement = self.task(key).and_then(|task| task.placement_of(run));
        placement.is_some_and(|placement| matches!(placement.stage, RunStage::Stopping { .. }))
    }

    /// What became of a preemption whose run has ended.
    fn preemption_outcome(&self, key: &TaskKey) -> PreemptionOutcome {
        let state = self.flows.get(&key.job);
        let open = state.filter(|state| state.end().is_none());
        match open.is_some_and(|state| is_open(state, key)) {
            true => PreemptionOutcome::Requeued,
            false => PreemptionOutcome::Finished,
        }
    }
}

/// Whether a task is not done.
fn is_open(state: &FlowState, key: &TaskKey) -> bool {
    state.task(key).is_some_and(|task| !task.done)
}

fn number_of(key: &TaskKey) -> TaskNumber {
    (key.occurrence, key.step, key.index)
}

fn key_of(job: &JobId, (occurrence, step, index): TaskNumber) -> TaskKey {
    TaskKey {
        job: job.clone(),
        occurrence,
        step,
        index,
    }
}
