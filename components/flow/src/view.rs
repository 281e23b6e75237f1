//! A worker as the scheduler sees it.

use crate::health::Health;
use crate::protect::LatencyTrace;
use crate::{ClockSample, Incarnation, TaskKey, WorkerInfo};
use model::{AgentId, JobId, Resources};
use std::collections::{BTreeMap, VecDeque};

/// Share of the processors set aside for a task that serves callers that it is expected to use, in
/// percent.
const SERVING_USE_PERCENT: i64 = 60;

/// What one run takes of a worker.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Allocation {
    /// Number of the run.
    pub run: u32,
    /// What is set aside for it.
    pub reserved: Resources,
    /// Processors that it would use, in thousandths.
    pub processors_milli: u32,
    /// Whether it takes only what others leave over.
    pub filler: bool,
    /// Tail latency that it owes its callers, in milliseconds.
    pub latency_target_ms: Option<u32>,
    /// What it runs.
    pub image: Option<String>,
    /// When it was placed.
    pub since_ms: u64,
}

impl Allocation {
    /// Processors that the run is expected to use, in thousandths.
    pub fn expected_milli(&self) -> i64 {
        let milli = i64::from(self.processors_milli);
        if self.latency_target_ms.is_some() {
            milli * SERVING_USE_PERCENT / 100
        } else {
            milli
        }
    }
}

/// An end that waits for the record that it changed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PendingAck {
    /// Number of the end.
    pub number: u64,
    /// Flow and revision of its record; absent if no record changed.
    pub record: Option<(JobId, u64)>,
}

/// A worker as the scheduler sees it.
#[derive(Debug, Default)]
pub struct WorkerView {
    /// What its heartbeats say.
    pub info: Option<WorkerInfo>,
    /// Life of the worker whose lists were read.
    pub incarnation: Option<Incarnation>,
    /// Whether its lists were read, so that it may be given work.
    pub synced: bool,
    /// Runs that are placed there.
    pub allocations: BTreeMap<TaskKey, Allocation>,
    /// Runs that it has although they are not placed there, with what they may take.
    pub strays: BTreeMap<TaskKey, Stray>,
    /// Newest end that was taken in.
    pub seen_end: u64,
    /// Newest end that is recorded for good.
    pub acknowledged: u64,
    /// Ends that wait for their records, oldest first.
    pub pending_acks: VecDeque<PendingAck>,
    /// Newest reading of its clock.
    pub clock: Option<ClockSample>,
    /// When every lease that was granted there is surely over.
    pub lease_expired_ms: u64,
    /// When it was last heard.
    pub heard_ms: u64,
    /// Whether it does what it is told.
    pub health: Health,
    /// Time before which nothing is placed there.
    pub not_before_ms: u64,
    /// Latency of the most troubled task that serves there, as a share of its target in percent.
    pub worst_percent: u32,
    /// Latencies of the tasks that serve there.
    pub latencies: BTreeMap<TaskKey, LatencyTrace>,
    /// Since when a latency target there is missed.
    pub over_since_ms: Option<u64>,
}

/// A run that is not placed where it runs.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Stray {
    /// Number of the run.
    pub run: u32,
    /// What it may take.
    pub reserved: Resources,
    /// When its stop was last ordered.
    pub stopped_ms: u64,
}

impl WorkerView {
    /// What is set aside for runs.
    pub fn reserved(&self) -> Resources {
        let placed = self.allocations.values().map(|held| held.reserved);
        let strays = self.strays.values().map(|stray| stray.reserved);
        placed
            .chain(strays)
            .fold(Resources::default(), |sum, need| sum.plus(&need))
    }

    /// Processors that nobody is expected to use, in thousandths; below zero when fillers compete.
    ///
    /// Tasks that serve callers use part of what is set aside for them.
    pub fn left_over_milli(&self, capacity_milli: u32) -> i64 {
        let used = self.allocations.values().map(Allocation::expected_milli);
        let strays = self.strays.values();
        let stray_milli: i64 = strays
            .map(|stray| i64::from(stray.reserved.processors_milli))
            .sum();
        i64::from(capacity_milli) - used.sum::<i64>() - stray_milli
    }

    /// Runs that were placed there since it was last set aside.
    pub fn trials(&self) -> usize {
        let since_ms = self.health.paused_until_ms;
        let held = self.allocations.values();
        held.filter(|held| held.since_ms >= since_ms).count()
    }

    /// Whether a task that serves callers runs there.
    pub fn serves(&self) -> bool {
        let mut held = self.allocations.values();
        held.any(|held| held.latency_target_ms.is_some())
    }

    /// Runs of one step there.
    pub fn count_of(&self, job: &JobId, occurrence: u32, step: u32) -> u32 {
        let is_of =
            |key: &&TaskKey| key.job == *job && key.occurrence == occurrence && key.step == step;
        self.allocations.keys().filter(is_of).count() as u32
    }

    /// Forgets what belonged to an earlier life.
    pub fn begin_life(&mut self, incarnation: Option<Incarnation>) {
        self.incarnation = incarnation;
        self.synced = false;
        self.strays.clear();
        self.seen_end = 0;
        self.acknowledged = 0;
        self.pending_acks.clear();
        self.clock = None;
        self.lease_expired_ms = 0;
        self.health = Health::default();
    }
}

/// All workers, by their agents.
#[derive(Debug, Default)]
pub struct Fleet {
    /// Workers by agent.
    pub workers: BTreeMap<AgentId, WorkerView>,
}

impl Fleet {
    /// Whether a run of the task exists that is not placed.
    pub fn is_stray(&self, task: &TaskKey) -> bool {
        self.workers
            .values()
            .any(|view| view.strays.contains_key(task))
    }

    /// Gives back what a run held.
    pub fn release(&mut self, agent: &AgentId, task: &TaskKey) {
        if let Some(view) = self.workers.get_mut(agent) {
            view.allocations.remove(task);
        }
    }
}
