//! The scheduler's view of a worker and of the fleet.

use crate::health::Health;
use crate::interference::LatencyTrace;
use crate::learned::ProgressPart;
use crate::{ClockSample, ColdTime, Incarnation, Leases, StepSpec, TaskKey, WorkerInfo, has_form};
use interference::PaceDamping;
use model::{AgentId, JobId, Resources};
use std::collections::{BTreeMap, VecDeque};
use worker_speed::SpeedTrack;

/// Share of its reserved processors that a latency-critical task is expected to use, in percent.
/// The rest is spare for fillers.
const LATENCY_CRITICAL_USE_PERCENT: i64 = 45;

/// Resources of a worker that are allocated to one run, with the properties of its step that
/// placement needs.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Allocation {
    /// Number of the run.
    pub run: u32,
    /// Reserved resources; a filler reserves no processors.
    pub reserved: Resources,
    /// Declared processors, in thousandths, for fillers too.
    pub processors_milli: u32,
    /// Whether the run is a filler, which uses only spare processors.
    pub filler: bool,
    /// Target of the tail latency, in milliseconds; `None` unless the task is latency-critical.
    pub latency_target_ms: Option<u32>,
    /// Image that it runs, if the caller stated one.
    pub image: Option<String>,
    /// When it was placed, in milliseconds; 0 if a former scheduler placed it.
    pub since_ms: u64,
}

impl Allocation {
    /// Processors that the run is expected to use, in thousandths.
    pub fn expected_milli(&self) -> i64 {
        let milli = i64::from(self.processors_milli);
        if self.latency_target_ms.is_some() {
            milli * LATENCY_CRITICAL_USE_PERCENT / 100
        } else {
            milli
        }
    }
}

/// An end of a run that is acknowledged once the record that it changed is durable.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PendingAck {
    /// Number of the end, within the incarnation of the worker.
    pub number: u64,
    /// Flow and revision of its record; `None` if the flow is not known, so that no record changed.
    pub record: Option<(JobId, u64)>,
}

/// Whether a worker can be reached, and how far its report was read.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum Contact {
    /// This scheduler has not heard of it yet.
    #[default]
    Unknown,
    /// It answers, but its report has more ends than were read.
    Reading,
    /// It answers, and its report is complete. Only then it gets runs.
    Synced,
    /// Its last poll failed.
    Unreachable,
}

impl Contact {
    /// Whether the last poll was answered.
    ///
    /// ```
    /// assert!(flow::Contact::Reading.is_answering());
    /// assert!(!flow::Contact::Unknown.is_answering());
    /// ```
    pub fn is_answering(self) -> bool {
        match self {
            Self::Reading | Self::Synced => true,
            Self::Unknown | Self::Unreachable => false,
        }
    }
}

/// What the scheduler knows about a worker.
#[derive(Debug, Default)]
pub struct WorkerView {
    /// Contents of its last heartbeat; `None` before the first.
    pub info: Option<WorkerInfo>,
    /// Incarnation of the last applied report; `None` before the first one and once the worker is
    /// known to run nothing.
    pub incarnation: Option<Incarnation>,
    /// Whether it can be reached, and how far its report was read.
    pub contact: Contact,
    /// Allocations of the runs that are placed on it.
    pub allocations: BTreeMap<TaskKey, Allocation>,
    /// Runs that it reports although they are not placed on it.
    pub orphans: BTreeMap<TaskKey, OrphanedRun>,
    /// Number of the newest end that was applied.
    pub last_end: u64,
    /// Number of the newest end whose record is durable.
    pub acknowledged: u64,
    /// Ends whose records are not durable yet, oldest first.
    pub pending_acks: VecDeque<PendingAck>,
    /// Newest sample of its clock.
    pub clock: Option<ClockSample>,
    /// Leases that this scheduler offered to it.
    pub leases: Leases,
    /// When the leases of former schedulers are guaranteed to have expired, in milliseconds, if they
    /// named it as away.
    pub former_expired_ms: Option<u64>,
    /// Whether a commit named it as away, and none that took effect has taken this back.
    pub is_noted_away: bool,
    /// When its last applied report was requested, in milliseconds.
    pub report_requested_ms: u64,
    /// When its last report arrived, in milliseconds.
    pub last_seen_ms: u64,
    /// Health by the ends and the progress of its runs.
    pub health: Health,
    /// Time before which nothing is placed on it, in milliseconds.
    pub not_before_ms: u64,
    /// For how long it is slow after its start; known only of workers whose failure domain returned to
    /// service.
    pub cold: ColdTime,
    /// Latency traces of its latency-critical tasks.
    pub latencies: BTreeMap<TaskKey, LatencyTrace>,
    /// Damping of the paces of its fillers; empty unless the policy is in force.
    pub pace_dampings: BTreeMap<TaskKey, PaceDamping>,
    /// When a filler's run last ended on it, in milliseconds.
    pub filler_ended_ms: u64,
    /// Since when a latency target is missed on it; `None` while all are met.
    pub over_target_since_ms: Option<u64>,
    /// Suspects for which it is kept free of other new runs; may be outdated.
    pub hold: Option<Hold>,
    /// Its learned speed.
    pub speed: SpeedTrack,
    /// Parts of its runs whose progress is measured, to learn its speed.
    pub parts: BTreeMap<TaskKey, ProgressPart>,
}

/// Keeps a worker free of new runs for tasks that may crash it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Hold {
    /// Tasks that are to start without any others.
    pub tasks: Vec<TaskKey>,
    /// Until when the worker is kept free while they wait, in milliseconds.
    pub until_ms: u64,
}

/// A run that a worker reports although it is not placed there.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct OrphanedRun {
    /// Number of the run.
    pub run: u32,
    /// Resources that it may use, counted as reserved until the run ends.
    pub reserved: Resources,
    /// When its stop was last ordered, in milliseconds.
    pub stopped_ms: u64,
}

impl WorkerView {
    /// Whether a complete report was applied and the worker answers, so that it may get runs.
    pub fn is_synced(&self) -> bool {
        self.contact == Contact::Synced
    }

    /// Whether it may be offered a lease: it answers, and no commit names it as away.
    pub fn may_get_lease(&self) -> bool {
        self.contact.is_answering() && !self.is_noted_away
    }

    /// When every lease that it may hold is guaranteed to have expired, in milliseconds, if those of
    /// former schedulers to any worker have at `former_ms`.
    pub fn leases_expired_ms(&self, former_ms: u64) -> u64 {
        let former_ms = self.former_expired_ms.unwrap_or(former_ms);
        self.leases.expired_ms().max(former_ms)
    }

    /// Resources reserved for placed and orphaned runs.
    pub fn reserved(&self) -> Resources {
        let placed = self
            .allocations
            .values()
            .map(|allocation| allocation.reserved);
        let orphans = self.orphans.values().map(|orphan| orphan.reserved);
        placed
            .chain(orphans)
            .fold(Resources::default(), |sum, need| sum.plus(&need))
    }

    /// Processors that no run is expected to use, in thousandths; negative when fillers compete.
    ///
    /// Latency-critical tasks are expected to use only part of their reservation.
    pub fn spare_milli(&self, capacity_milli: u32) -> i64 {
        let used = self.allocations.values().map(Allocation::expected_milli);
        let orphans = self.orphans.values();
        let orphan_milli: i64 = orphans
            .map(|orphan| i64::from(orphan.reserved.processors_milli))
            .sum();
        i64::from(capacity_milli) - used.sum::<i64>() - orphan_milli
    }

    /// Whether it is in the rack that holds the data of a step's tasks, if there is one.
    pub(crate) fn is_near(&self, spec: &StepSpec) -> bool {
        spec.data_rack.as_deref().is_none_or(|rack| {
            let own = self.info.as_ref().and_then(WorkerInfo::rack);
            own.is_some_and(|own| has_form(own, rack))
        })
    }

    /// How long a latency target has been missed on it, in milliseconds; 0 while all are met.
    pub fn over_target_ms(&self, now_ms: u64) -> u64 {
        let since_ms = self.over_target_since_ms;
        since_ms.map_or(0, |since_ms| now_ms.saturating_sub(since_ms))
    }

    /// Whether a latency-critical task is placed on it.
    pub fn has_latency_critical(&self) -> bool {
        let mut allocations = self.allocations.values();
        allocations.any(|allocation| allocation.latency_target_ms.is_some())
    }

    /// Number of runs of one step that are placed on it.
    pub fn count_step_runs(&self, job: &JobId, occurrence: u32, step: u32) -> u32 {
        let is_of_step =
            |key: &&TaskKey| key.job == *job && key.occurrence == occurrence && key.step == step;
        self.allocations.keys().filter(is_of_step).count() as u32
    }

    /// Clears the state that belongs to an earlier incarnation and sets the new one. The heartbeat,
    /// the allocations, the latencies, the leases, and the times of the last report stay.
    pub fn reset(&mut self, incarnation: Option<Incarnation>) {
        self.incarnation = incarnation;
        self.contact = Contact::Unknown;
        self.orphans.clear();
        self.last_end = 0;
        self.acknowledged = 0;
        self.pending_acks.clear();
        self.clock = None;
        self.parts.clear();
        self.health = Health::default();
    }
}

/// All known workers.
#[derive(Debug, Default)]
pub struct Fleet {
    /// Workers, by their agents.
    pub workers: BTreeMap<AgentId, WorkerView>,
}

impl Fleet {
    /// Whether any worker has an orphaned run of the task.
    pub fn has_orphan(&self, task: &TaskKey) -> bool {
        self.workers
            .values()
            .any(|view| view.orphans.contains_key(task))
    }

    /// Removes the allocation of a task on a worker, if there is one.
    pub fn release(&mut self, now_ms: u64, agent: &AgentId, task: &TaskKey) {
        let Some(view) = self.workers.get_mut(agent) else {
            return;
        };
        let released = view.allocations.remove(task);
        view.pace_dampings.remove(task);
        if released.is_some_and(|allocation| allocation.filler) {
            view.filler_ended_ms = now_ms;
        }
    }
}
