//! The scheduler of flows: a state machine that uses neither a clock nor the network. Times are
//! arguments, and actions are returned as effects.

use crate::begun::ProgressLimit;
use crate::evacuation::Evacuations;
use crate::filler_failures::FillerFailures;
use crate::learned::Learned;
use crate::overload::Overload;
use crate::placed_runs::{allocation_for, placements, run_ref};
use crate::preempted::Preemptions;
use crate::shares::Shares;
use crate::slow_runs::SlowSearch;
use crate::suspects::suspects;
use crate::view::{Fleet, WorkerView};
use crate::{
    Decision, DecisionKind, Effect, FlowConfig, FlowJob, FlowLimits, FlowPhase, FlowRecord,
    FlowState, LimitExceeded, Policies, QueueKey, RunStage, StartInput, TaskKey,
};
use duplicates::History;
use interference::PressureModel;
use model::{AgentId, JobId};
use std::collections::{BTreeMap, BTreeSet};

/// State of the scheduler: flows, workers, and effects that are not carried out yet.
#[derive(Debug, Default)]
pub struct Scheduler {
    /// Configuration in force.
    pub(crate) config: FlowConfig,
    /// Policies in force.
    pub(crate) policies: Policies,
    /// Requested evacuations of failure domains.
    pub(crate) evacuations: Evacuations,
    /// Flows that have not ended, and those whose end is not durable yet.
    pub(crate) flows: BTreeMap<JobId, FlowState>,
    /// Flows whose end is durable.
    pub(crate) ended: BTreeMap<JobId, FlowPhase>,
    /// Workers, by their agents.
    pub(crate) fleet: Fleet,
    /// Flows whose records changed since they were last taken for a commit.
    pub(crate) dirty: BTreeSet<JobId>,
    /// Flow whose record was last taken for a commit; the next one follows it.
    pub(crate) last_taken: Option<JobId>,
    /// Number of durable rows of the records that have more than one.
    pub(crate) record_rows: BTreeMap<JobId, usize>,
    /// Flows that failed because their progress can't be recorded.
    pub(crate) set_aside: BTreeSet<JobId>,
    /// Flows with placements that are started once their record is durable.
    pub(crate) uncommitted: BTreeSet<JobId>,
    /// Tasks that may crash the workers that start them and so are started alone, each with
    /// the time of the last crash, in milliseconds; 0 if it is not known.
    pub(crate) suspects: BTreeMap<TaskKey, u64>,
    /// Agents of workers that were kept free for suspects a moment ago, each with the time until which
    /// they isolate none, in milliseconds.
    pub(crate) open_until_ms: BTreeMap<AgentId, u64>,
    /// Results of the newest duplicates.
    pub(crate) duplicate_history: History,
    /// Searches for slow runs.
    pub(crate) slow_search: SlowSearch,
    /// Learned pressures of fillers on latency-critical tasks.
    pub(crate) pressures: PressureModel,
    /// Learned run times of tasks and speeds of workers.
    pub(crate) learned: Learned,
    /// When starved fillers were last searched for, in milliseconds.
    pub(crate) starved_searched_ms: u64,
    /// Fillers for which no worker was found a moment ago.
    pub(crate) filler_failures: FillerFailures,
    /// Whether the order defers flows, and how many.
    pub(crate) overload: Overload,
    /// Use and debts of the queues.
    pub(crate) shares: Shares,
    /// When every lease that former schedulers granted is guaranteed to have expired, in milliseconds.
    pub(crate) former_leases_expired_ms: u64,
    /// Runs that are being preempted, and how often tasks were.
    pub(crate) preemptions: Preemptions,
    /// Memory for flows in progress.
    pub(crate) progress: ProgressLimit,
    /// Effects since the last call of [`Scheduler::take_effects`].
    pub(crate) effects: Vec<Effect>,
}

impl Scheduler {
    /// Applies a configuration unless it is older than the present one.
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

    /// Puts policies in force.
    ///
    /// ```
    /// let mut scheduler = flow::Scheduler::default();
    /// scheduler.set_policies(flow::Policies { overload_order: true, ..Default::default() });
    /// ```
    pub fn set_policies(&mut self, policies: Policies) {
        self.policies = policies;
        self.overload = Overload::default();
        self.shares = Shares::default();
    }

    /// Version of the configuration in force; 0 before the first.
    pub fn config_version(&self) -> u64 {
        self.config.version
    }

    /// Adds an accepted flow and activates its first occurrence if that is due. Returns whether it was new. A flow
    /// beyond [`FlowLimits::MAX`], which an earlier version may have accepted, fails instead.
    pub fn add(&mut self, now_ms: u64, wall_ms: u64, mut job: FlowJob) -> bool {
        if self.flows.contains_key(&job.id) || self.ended.contains_key(&job.id) {
            return false;
        }
        let id = job.id.clone();
        job.spec.compact();
        let mut state = FlowState::new(job, now_ms);
        let exceeded = FlowLimits::MAX.check_spec(&state.job.spec).err();
        if exceeded.is_none() {
            state.activate_within(wall_ms, 1);
        }
        self.flows.insert(id.clone(), state);
        if let Some(exceeded) = exceeded {
            self.fail_oversized(&id, exceeded);
        }
        true
    }

    /// Fails a flow that asks for more than a limit allows, of which nothing is allocated.
    fn fail_oversized(&mut self, job: &JobId, exceeded: LimitExceeded) {
        if let Some(state) = self.flows.get_mut(job) {
            state.failed = true;
            state.exceeds_limits = true;
        }
        let key = TaskKey {
            job: job.clone(),
            occurrence: 0,
            step: 0,
            index: 0,
        };
        let detail = exceeded.to_string();
        self.log_decision(DecisionKind::Failed, &key, 0, &"".into(), detail);
        self.mark_dirty(job);
    }

    /// Adds a flow that has ended according to the table.
    pub fn add_ended(&mut self, job: JobId, phase: FlowPhase) {
        self.flows.remove(&job);
        self.preemptions.forget_flow(&job);
        self.ended.insert(job, phase);
    }

    /// Applies the record that a former scheduler wrote of a flow, and allocates resources for the
    /// placements in it. Does nothing if the flow is not known.
    pub fn restore(&mut self, now_ms: u64, job: &JobId, record: &FlowRecord) {
        let Some(state) = self.flows.get_mut(job) else {
            return;
        };
        record.restore(state, now_ms);
        self.preemptions.restore(now_ms, job, record.preemptions());
        state.is_end_restored = !state.exceeds_limits && state.end().is_some();
        let placed: Vec<(TaskKey, u32, AgentId)> = placements(state)
            .map(|(key, run, placement)| (key, run, placement.agent.clone()))
            .collect();
        self.suspects.extend(suspects(state));
        for (key, run, agent) in placed {
            self.allocate(&key, run, &agent);
        }
    }

    /// Cancels a flow and stops its runs; has no effect on a flow that has ended. Returns whether
    /// the flow is known.
    pub fn cancel(&mut self, now_ms: u64, job: &JobId) -> bool {
        let Some(state) = self.flows.get_mut(job) else {
            return self.ended.contains_key(job);
        };
        let is_open = state.end().is_none();
        // A flow that failed only because it was loaded may have been cancelled before.
        if is_open || (state.exceeds_limits && !state.cancelled) {
            state.cancelled = true;
            self.stop_flow(now_ms, job);
        }
        true
    }

    /// Phase of a flow as reported to callers, or `None` if the flow is not known.
    ///
    /// ```
    /// assert_eq!(flow::Scheduler::default().phase(&"a".into()), None);
    /// ```
    pub fn phase(&self, job: &JobId) -> Option<FlowPhase> {
        let ended = self.ended.get(job).copied();
        ended.or_else(|| self.flows.get(job).map(FlowState::phase))
    }

    /// State of a flow, or `None` if it is not known or its end is durable.
    pub fn flow(&self, job: &JobId) -> Option<&FlowState> {
        self.flows.get(job)
    }

    /// All flows whose end is not durable yet, ordered by identifier.
    pub fn flows(&self) -> impl ExactSizeIterator<Item = &FlowState> {
        self.flows.values()
    }

    /// Number of flows of a queue that have not ended and of which no task has started.
    ///
    /// ```
    /// assert_eq!(flow::Scheduler::default().count_queued(&flow::QueueKey::default()), 0);
    /// ```
    pub fn count_queued(&self, queue: &QueueKey) -> usize {
        let is_queued = |state: &&FlowState| {
            state.job.queue == *queue && !state.started && state.end().is_none()
        };
        self.flows.values().filter(is_queued).count()
    }

    /// Takes the effects since the last call, in the order in which they were decided.
    pub fn take_effects(&mut self) -> Vec<Effect> {
        std::mem::take(&mut self.effects)
    }

    /// View of a worker, or `None` if the worker is not known.
    pub fn worker(&self, agent: &AgentId) -> Option<&WorkerView> {
        self.fleet.workers.get(agent)
    }

    /// All known workers, ordered by agent.
    pub fn workers(&self) -> impl Iterator<Item = (&AgentId, &WorkerView)> {
        self.fleet.workers.iter()
    }

    /// View of a worker; adds an empty one if the worker is not known.
    pub fn worker_mut(&mut self, agent: &AgentId) -> &mut WorkerView {
        self.fleet.workers.entry(agent.clone()).or_default()
    }

    /// Orders the starts of a flow whose placements are in a durable record.
    pub(crate) fn order_starts(&mut self, job: &JobId) {
        if !self.uncommitted.contains(job) {
            return;
        }
        let Some(state) = self.flows.get_mut(job) else {
            self.uncommitted.remove(job);
            return;
        };
        let durable = state.durable_revision;
        let payload = state.job.spec.payload.clone();
        let runs: Vec<(TaskKey, u32)> = placements(state)
            .filter(|(_, _, placement)| placement.stage == RunStage::Uncommitted)
            .map(|(key, run, _)| (key, run))
            .collect();
        let mut not_durable = 0;
        for (key, run) in runs {
            let Some(task) = state.task_mut(&key) else {
                continue;
            };
            let checkpoint = task.checkpoint.clone();
            let Some(placement) = task.placement_of_mut(run) else {
                continue;
            };
            if placement.revision > durable {
                not_durable += 1;
                continue;
            }
            placement.stage = RunStage::Ordered;
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
        if not_durable == 0 {
            self.uncommitted.remove(job);
        }
    }

    /// Acknowledges the ends of a worker whose records are durable, in the order of the ends.
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

    /// Reports the end of a flow once the end is durable and the flow has no placements.
    pub(crate) fn finish_flow(&mut self, job: &JobId) {
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
        self.uncommitted.remove(job);
        self.preemptions.forget_flow(job);
        self.ended.insert(job.clone(), end);
        self.effects.push(Effect::Ended(job.clone(), end));
    }

    /// Removes a flow that has ended; its phase is no longer known afterwards.
    pub fn evict_ended(&mut self, job: &JobId) {
        self.ended.remove(job);
        self.record_rows.remove(job);
        self.set_aside.remove(job);
    }

    /// Marks a flow's record as changed. Returns its new revision, or 0 if the flow is not known.
    pub(crate) fn mark_dirty(&mut self, job: &JobId) -> u64 {
        let Some(state) = self.flows.get_mut(job) else {
            return 0;
        };
        state.revision += 1;
        self.dirty.insert(job.clone());
        state.revision
    }

    /// Allocates resources for a run that a former scheduler placed.
    pub(crate) fn allocate(&mut self, key: &TaskKey, run: u32, agent: &AgentId) {
        let Some(spec) = self.step_spec(key) else {
            return;
        };
        let allocation = allocation_for(0, spec, run);
        let view = self.fleet.workers.entry(agent.clone()).or_default();
        view.allocations.insert(key.clone(), allocation);
    }

    /// Emits a decision record for the log.
    pub(crate) fn log_decision(
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
