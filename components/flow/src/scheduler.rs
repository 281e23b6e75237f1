//! The scheduler of flows: a state machine without clock and without network.

use crate::view::{Allocation, Fleet, WorkerView};
use crate::{
    Decision, DecisionKind, Effect, FlowConfig, FlowJob, FlowPhase, FlowRecord, FlowState, Pairs,
    Placement, QueueKey, RunRef, Stage, StartInput, StepSpec, TaskKey,
};
use model::{AgentId, JobId};
use std::collections::{BTreeMap, BTreeSet};

/// One row of a group commit.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RecordRow {
    /// The flow.
    pub job: JobId,
    /// Revision of its record.
    pub revision: u64,
    /// The record.
    pub text: String,
}

/// The scheduler of flows.
#[derive(Debug, Default)]
pub struct Scheduler {
    /// Configuration in force.
    pub(crate) config: FlowConfig,
    /// Flows that are not over, and those whose end is not durable.
    pub(crate) flows: BTreeMap<JobId, FlowState>,
    /// Flows that are over for good.
    pub(crate) ended: BTreeMap<JobId, FlowPhase>,
    /// Workers.
    pub(crate) fleet: Fleet,
    /// Flows whose records changed since they were last written.
    pub(crate) dirty: BTreeSet<JobId>,
    /// Flows with placements whose start waits for the record.
    pub(crate) unwritten: BTreeSet<JobId>,
    /// Which fillers disturb which tasks that serve.
    pub(crate) pairs: Pairs,
    /// Decisions and orders since the last call of [`Scheduler::take_effects`].
    pub(crate) effects: Vec<Effect>,
}

impl Scheduler {
    /// Puts a configuration in force unless it is older.
    ///
    /// ```
    /// let mut scheduler = flow::Scheduler::default();
    /// scheduler.set_config(flow::FlowConfig { version: 3, ..Default::default() });
    /// assert_eq!(scheduler.config_version(), 3);
    /// ```
    pub fn set_config(&mut self, config: FlowConfig) {
        if config.version >= self.config.version {
            self.config = config;
        }
    }

    /// Number of the configuration in force.
    pub fn config_version(&self) -> u64 {
        self.config.version
    }

    /// Takes in an accepted flow; answers whether it was new.
    pub fn add(&mut self, now_ms: u64, wall_ms: u64, job: FlowJob) -> bool {
        if self.flows.contains_key(&job.id) || self.ended.contains_key(&job.id) {
            return false;
        }
        let id = job.id.clone();
        let mut state = FlowState::new(job, now_ms);
        state.activate(wall_ms);
        self.flows.insert(id, state);
        true
    }

    /// Takes in a flow that is over, as the table tells.
    pub fn add_ended(&mut self, job: JobId, phase: FlowPhase) {
        self.flows.remove(&job);
        self.ended.insert(job, phase);
    }

    /// Takes in the record that a former scheduler left of a known flow.
    pub fn restore(&mut self, now_ms: u64, job: &JobId, record: &FlowRecord) {
        let Some(state) = self.flows.get_mut(job) else {
            return;
        };
        record.restore(state, now_ms);
        let placed: Vec<(TaskKey, u32, AgentId)> = placements(state)
            .map(|(key, run, placement)| (key, run, placement.agent.clone()))
            .collect();
        for (key, run, agent) in placed {
            self.hold(&key, run, &agent);
        }
    }

    /// Takes in a cancellation; answers whether the flow is known.
    pub fn cancel(&mut self, now_ms: u64, job: &JobId) -> bool {
        let Some(state) = self.flows.get_mut(job) else {
            return self.ended.contains_key(job);
        };
        if state.end().is_none() {
            state.cancelled = true;
            self.close(now_ms, job);
        }
        true
    }

    /// A flow's state as callers are told, if it is known.
    ///
    /// ```
    /// assert_eq!(flow::Scheduler::default().phase(&"a".into()), None);
    /// ```
    pub fn phase(&self, job: &JobId) -> Option<FlowPhase> {
        let ended = self.ended.get(job).copied();
        ended.or_else(|| self.flows.get(job).map(FlowState::phase))
    }

    /// A flow that is not over.
    pub fn flow(&self, job: &JobId) -> Option<&FlowState> {
        self.flows.get(job)
    }

    /// Flows that are not over.
    pub fn flows(&self) -> impl ExactSizeIterator<Item = &FlowState> {
        self.flows.values()
    }

    /// Accepted flows of a queue of which no task has started.
    ///
    /// ```
    /// assert_eq!(flow::Scheduler::default().queued(&flow::QueueKey::default()), 0);
    /// ```
    pub fn queued(&self, queue: &QueueKey) -> usize {
        let waits = |state: &&FlowState| {
            state.job.queue == *queue && !state.started && state.end().is_none()
        };
        self.flows.values().filter(waits).count()
    }

    /// What is to be done since the last call.
    pub fn take_effects(&mut self) -> Vec<Effect> {
        std::mem::take(&mut self.effects)
    }

    /// A worker as the scheduler sees it.
    pub fn worker(&self, agent: &AgentId) -> Option<&WorkerView> {
        self.fleet.workers.get(agent)
    }

    /// All workers.
    pub fn workers(&self) -> impl Iterator<Item = (&AgentId, &WorkerView)> {
        self.fleet.workers.iter()
    }

    /// A worker as the scheduler sees it, made known if it is not.
    pub fn worker_mut(&mut self, agent: &AgentId) -> &mut WorkerView {
        self.fleet.workers.entry(agent.clone()).or_default()
    }

    /// Records that are to be written, at most `limit` of them. Those taken count as written only
    /// after [`Scheduler::on_committed`].
    pub fn take_commit(&mut self, limit: usize) -> Vec<RecordRow> {
        let mut rows = Vec::new();
        while rows.len() < limit {
            let Some(job) = self.dirty.pop_first() else {
                break;
            };
            if let Some(state) = self.flows.get(&job) {
                let record = FlowRecord::of(state);
                let text = serde_json::to_string(&record).unwrap_or_default();
                let revision = state.revision;
                rows.push(RecordRow {
                    job,
                    revision,
                    text,
                });
            }
        }
        rows
    }

    /// Takes note that records are durable: orders the starts that waited for them, and lets go
    /// of the ends.
    pub fn on_committed(&mut self, rows: &[RecordRow]) {
        for row in rows {
            let Some(state) = self.flows.get_mut(&row.job) else {
                continue;
            };
            state.durable_revision = state.durable_revision.max(row.revision);
            self.order_starts(&row.job);
        }
        let workers = self.fleet.workers.iter();
        let waiting = workers.filter(|(_, view)| !view.pending_acks.is_empty());
        let agents: Vec<AgentId> = waiting.map(|(agent, _)| agent.clone()).collect();
        for agent in &agents {
            self.acknowledge(agent);
        }
        for row in rows {
            self.finish(&row.job);
        }
    }

    /// Orders the starts of a flow whose records are durable.
    fn order_starts(&mut self, job: &JobId) {
        if !self.unwritten.contains(job) {
            return;
        }
        let Some(state) = self.flows.get_mut(job) else {
            self.unwritten.remove(job);
            return;
        };
        let durable = state.durable_revision;
        let payload = state.job.spec.payload.clone();
        let keys: Vec<TaskKey> = placements(state)
            .filter(|(_, _, placement)| placement.stage == Stage::Unwritten)
            .map(|(key, _, _)| key)
            .collect();
        let mut left = 0;
        for key in keys {
            let Some(task) = state.task_mut(&key) else {
                continue;
            };
            let (run, checkpoint) = (task.run, task.checkpoint.clone());
            let Some(placement) = task.placement.as_mut() else {
                continue;
            };
            if placement.revision > durable {
                left += 1;
                continue;
            }
            placement.stage = Stage::Ordered;
            let payload = payload.clone();
            let run = run_ref(&key, run, placement);
            self.effects.push(Effect::Start(
                run,
                StartInput {
                    payload,
                    checkpoint,
                },
            ));
        }
        if left == 0 {
            self.unwritten.remove(job);
        }
    }

    /// Lets go of the ends of a worker whose records are durable.
    pub(crate) fn acknowledge(&mut self, agent: &AgentId) {
        let Some(view) = self.fleet.workers.get_mut(agent) else {
            return;
        };
        let before = view.acknowledged;
        while let Some(front) = view.pending_acks.front() {
            let is_durable = front.record.as_ref().is_none_or(|(job, revision)| {
                let state = self.flows.get(job);
                state.is_none_or(|state| state.durable_revision >= *revision)
            });
            if !is_durable {
                break;
            }
            view.acknowledged = front.number;
            view.pending_acks.pop_front();
        }
        if view.acknowledged > before {
            self.effects.push(Effect::Acknowledge(agent.clone()));
        }
    }

    /// Hands on the end of a flow once it is durable and nothing of it runs.
    pub(crate) fn finish(&mut self, job: &JobId) {
        let Some(state) = self.flows.get_mut(job) else {
            return;
        };
        let Some(end) = state.end() else {
            return;
        };
        if !state.is_durable() || state.has_placements() {
            return;
        }
        self.flows.remove(job);
        self.dirty.remove(job);
        self.unwritten.remove(job);
        self.ended.insert(job.clone(), end);
        self.effects.push(Effect::Ended(job.clone(), end));
    }

    /// Has a flow's record written once more.
    pub fn rewrite(&mut self, job: &JobId) {
        self.touch(job);
    }

    /// What was learnt of pairs, if anything was since the last call.
    pub fn take_learned(&mut self) -> Option<String> {
        self.pairs.take_changed().then(|| self.pairs.text())
    }

    /// Goes on from what a former scheduler learnt of pairs.
    pub fn set_learned(&mut self, pairs: Pairs) {
        self.pairs = pairs;
    }

    /// Drops what was kept of a flow that is over.
    pub fn evict_ended(&mut self, job: &JobId) {
        self.ended.remove(job);
    }

    /// Marks a flow's record as changed; answers its revision.
    pub(crate) fn touch(&mut self, job: &JobId) -> u64 {
        let Some(state) = self.flows.get_mut(job) else {
            return 0;
        };
        state.revision += 1;
        self.dirty.insert(job.clone());
        state.revision
    }

    /// Sets aside what a run takes.
    pub(crate) fn hold(&mut self, key: &TaskKey, run: u32, agent: &AgentId) {
        let Some(spec) = self.step_spec(key) else {
            return;
        };
        let held = held(0, spec, run);
        let view = self.fleet.workers.entry(agent.clone()).or_default();
        view.allocations.insert(key.clone(), held);
    }

    /// Takes back a placement whose run surely does not exist, so that the task waits again.
    pub(crate) fn unplace(&mut self, key: &TaskKey, not_before_ms: u64) {
        let Some(task) = self.task_mut(key) else {
            return;
        };
        let Some(placement) = task.placement.take() else {
            return;
        };
        task.not_before_ms = not_before_ms;
        self.fleet.release(&placement.agent, key);
        self.touch(&key.job);
    }

    /// Stops everything that a closed flow has, and takes back what was not ordered yet.
    pub(crate) fn close(&mut self, now_ms: u64, job: &JobId) {
        self.touch(job);
        let Some(state) = self.flows.get(job) else {
            return;
        };
        let placed: Vec<(TaskKey, u32, Placement)> = placements(state)
            .map(|(key, run, placement)| (key, run, placement.clone()))
            .collect();
        for (key, run, placement) in placed {
            match placement.stage {
                Stage::Unwritten => self.unplace(&key, now_ms),
                Stage::Stopping { .. } => {}
                Stage::Ordered | Stage::Unsure | Stage::Running { .. } => {
                    self.stop(now_ms, &key, run, &placement);
                }
            }
        }
        self.unwritten.remove(job);
    }

    /// Orders the stop of a placed run.
    pub(crate) fn stop(&mut self, now_ms: u64, key: &TaskKey, run: u32, placement: &Placement) {
        self.effects
            .push(Effect::Stop(run_ref(key, run, placement)));
        let task = self.task_mut(key);
        if let Some(placement) = task.and_then(|task| task.placement.as_mut()) {
            placement.stage = Stage::Stopping {
                ordered_ms: now_ms,
                answered_ms: None,
            };
        }
    }

    /// Logs a decision.
    pub(crate) fn note(
        &mut self,
        kind: DecisionKind,
        task: &TaskKey,
        run: u32,
        agent: &AgentId,
        detail: impl Into<String>,
    ) {
        self.effects.push(Effect::Decided(Decision {
            kind,
            task: task.clone(),
            run,
            agent: agent.clone(),
            detail: detail.into(),
        }));
    }
}

/// Every placed task of a flow with the number of its run.
pub(crate) fn placements(state: &FlowState) -> impl Iterator<Item = (TaskKey, u32, &Placement)> {
    state.tasks().filter_map(|(key, task)| {
        let placement = task.placement.as_ref()?;
        Some((key, task.run, placement))
    })
}

/// Names a placed run.
pub(crate) fn run_ref(key: &TaskKey, run: u32, placement: &Placement) -> RunRef {
    RunRef {
        agent: placement.agent.clone(),
        incarnation: placement.incarnation.clone(),
        task: key.clone(),
        run,
    }
}

/// What a run of a step takes.
pub(crate) fn held(now_ms: u64, spec: &StepSpec, run: u32) -> Allocation {
    Allocation {
        run,
        since_ms: now_ms,
        reserved: spec.reserved(),
        processors_milli: spec.need.processors_milli,
        filler: spec.filler,
        latency_target_ms: spec.latency_target_ms,
        image: spec.image.clone(),
    }
}
