//! Resource accounting and admission of batch attempts on one VM.

use crate::{AdmissionDecision, Allocation, AllocationState};
use backing::{AttemptRef, AttemptReport, AttemptStatus};
use model::{Attempt, Resources, ServiceName, TaskId};
use std::collections::{BTreeMap, VecDeque};
use utils::Map;
use wire::{AttemptEnd, EndKind, StartOrder};

/// Most tasks whose newest attempt number is retained to refuse older attempts.
const MAX_FENCED_TASKS: usize = 20_000;

/// Resource accounting of one VM: its capacity, what services reserve, and the attempts that have
/// an allocation. It also retains ended attempts until the owner of their shard confirms them.
#[derive(Debug)]
pub struct Ledger {
    /// Total resources of the VM.
    capacity: Resources,
    /// Resources reserved for each latency-critical service on the VM.
    reserved: BTreeMap<ServiceName, Resources>,
    /// Current allocation of each attempt.
    allocations: Map<AttemptRef, Allocation>,
    /// Newest attempt number seen of each task; older attempts are refused.
    newest: Map<TaskId, Attempt>,
    /// Tasks in `newest`, in order of insertion, for eviction of the oldest.
    newest_order: VecDeque<TaskId>,
    /// Ended attempts that the owner of their shard has not confirmed yet.
    ends: Map<AttemptRef, AttemptEnd>,
    /// Whether the runtime's attempts have been read since the agent started. Nothing is admitted
    /// before.
    is_synced: bool,
    /// Whether the VM is being drained; nothing new is admitted then.
    is_draining: bool,
}

impl Ledger {
    /// Creates the ledger of a VM of this capacity. It admits nothing until
    /// [`Ledger::on_reports`] has been called once.
    ///
    /// ```
    /// use model::Resources;
    /// let ledger = ledger::Ledger::new(Resources::new(1_000, 1_024, 0));
    /// assert!(!ledger.is_synced());
    /// assert_eq!(ledger.free(), Resources::default());
    /// ```
    pub fn new(capacity: Resources) -> Self {
        Self {
            capacity,
            reserved: BTreeMap::new(),
            allocations: Map::default(),
            newest: Map::default(),
            newest_order: VecDeque::new(),
            ends: Map::default(),
            is_synced: false,
            is_draining: false,
        }
    }

    /// Stops admission for good, because the VM is being drained.
    ///
    /// ```
    /// let mut ledger = ledger::Ledger::new(model::Resources::new(1_000, 1_024, 0));
    /// ledger.on_reports(0, &[]);
    /// ledger.stop_admitting();
    /// ```
    pub fn stop_admitting(&mut self) {
        self.is_draining = true;
    }

    /// Whether the runtime's attempts have been read since the agent started.
    pub fn is_synced(&self) -> bool {
        self.is_synced
    }

    /// Replaces the reservations of the latency-critical services on the VM.
    pub fn set_reserved(&mut self, reserved: BTreeMap<ServiceName, Resources>) {
        self.reserved = reserved;
    }

    /// Free capacity; zero until the runtime's attempts have been read.
    pub fn free(&self) -> Resources {
        if !self.is_synced {
            return Resources::default();
        }
        self.capacity.minus(&self.committed())
    }

    /// Resources reserved for services plus those allocated to attempts.
    pub fn committed(&self) -> Resources {
        let services = self
            .reserved
            .values()
            .fold(Resources::default(), |sum, need| sum.plus(need));
        self.allocations.values().fold(services, |sum, allocation| {
            sum.plus(&allocation.committed())
        })
    }

    /// All attempts with an allocation, in no particular order.
    pub fn allocations(&self) -> impl Iterator<Item = (&AttemptRef, &Allocation)> {
        self.allocations.iter()
    }

    /// Allocation of an attempt; `None` if it has ended or was never admitted here.
    pub fn get(&self, attempt: &AttemptRef) -> Option<&Allocation> {
        self.allocations.get(attempt)
    }

    /// Attempts whose leases need renewal: all but those that await a preemption and so have not
    /// started.
    pub fn leased_attempts(&self) -> Vec<AttemptRef> {
        let is_leased = |allocation: &Allocation| {
            !matches!(allocation.state, AllocationState::AwaitingPreemption)
        };
        self.allocations
            .iter()
            .filter(|(_, allocation)| is_leased(allocation))
            .map(|(attempt, _)| attempt.clone())
            .collect()
    }

    /// Decides on a start order. An admitted attempt gets its allocation at once; when it has to
    /// preempt others, these are marked as stopping.
    pub fn admit(&mut self, now_ms: u64, order: &StartOrder) -> AdmissionDecision {
        let attempt = &order.attempt;
        if self.allocations.contains_key(attempt) || self.ends.contains_key(attempt) {
            return AdmissionDecision::Known;
        }
        let newest = self.newest.get(&attempt.task).copied().unwrap_or(0);
        let sibling_runs = self
            .allocations
            .keys()
            .any(|other| other.task == attempt.task);
        if !self.is_synced {
            return AdmissionDecision::Unready;
        }
        if self.is_draining || newest > attempt.attempt || sibling_runs {
            return AdmissionDecision::Refuse;
        }
        let decision = self.decide_admission(order);
        let state = match &decision {
            AdmissionDecision::Start => AllocationState::Starting,
            AdmissionDecision::Preempt(victims) => {
                self.mark_all_stopping(victims);
                AllocationState::AwaitingPreemption
            }
            AdmissionDecision::Known | AdmissionDecision::Refuse | AdmissionDecision::Unready => {
                return decision;
            }
        };
        self.record_newest(attempt);
        let allocation = Allocation {
            order: Some(order.clone()),
            need: order.need,
            peak: Resources::default(),
            state,
            since_ms: now_ms,
            throttle_percent: 100,
        };
        self.allocations.insert(attempt.clone(), allocation);
        decision
    }

    /// Decides by capacity alone. Only urgent work preempts: attempts are chosen until the order
    /// fits, those admitted last first.
    fn decide_admission(&self, order: &StartOrder) -> AdmissionDecision {
        if order.need.fits_in(&self.free()) {
            return AdmissionDecision::Start;
        }
        if !order.urgent {
            return AdmissionDecision::Refuse;
        }
        let mut victims: Vec<(&AttemptRef, &Allocation)> = self
            .allocations
            .iter()
            .filter(|(_, allocation)| allocation.is_preemptible())
            .collect();
        victims.sort_by(|left, right| {
            right
                .1
                .since_ms
                .cmp(&left.1.since_ms)
                .then_with(|| left.0.task.cmp(&right.0.task))
        });
        let mut available = self.free();
        let mut chosen = Vec::new();
        for (attempt, allocation) in victims {
            if order.need.fits_in(&available) {
                break;
            }
            available = available.plus(&allocation.committed());
            chosen.push(attempt.clone());
        }
        // A measured peak may exceed the VM, and then the sum that victims free does so too.
        if order.need.fits_in(&available) && order.need.fits_in(&self.capacity) {
            AdmissionDecision::Preempt(chosen)
        } else {
            AdmissionDecision::Refuse
        }
    }

    fn mark_all_stopping(&mut self, victims: &[AttemptRef]) {
        for victim in victims {
            self.mark_stopping(victim, true);
        }
    }

    /// Records the newest attempt number of a task and evicts the oldest tasks over the limit.
    fn record_newest(&mut self, attempt: &AttemptRef) {
        if self
            .newest
            .insert(attempt.task.clone(), attempt.attempt)
            .is_none()
        {
            self.newest_order.push_back(attempt.task.clone());
        }
        while self.newest_order.len() > MAX_FENCED_TASKS {
            if let Some(oldest) = self.newest_order.pop_front() {
                self.newest.remove(&oldest);
            }
        }
    }

    /// Marks an attempt as stopping. Returns true if the caller has to ask the runtime to stop it,
    /// false if that was done before or the attempt has no allocation.
    pub fn mark_stopping(&mut self, attempt: &AttemptRef, checkpoint: bool) -> bool {
        let Some(allocation) = self.allocations.get_mut(attempt) else {
            return false;
        };
        let was_stopping = matches!(allocation.state, AllocationState::Stopping { .. });
        allocation.state = AllocationState::Stopping { checkpoint };
        !was_stopping
    }

    /// Marks an attempt as running once the runtime has started it. One that is being stopped
    /// keeps that state.
    pub fn mark_running(&mut self, attempt: &AttemptRef) {
        if let Some(allocation) = self.allocations.get_mut(attempt)
            && allocation.state == AllocationState::Starting
        {
            allocation.state = AllocationState::Running;
        }
    }

    /// Returns the start orders of attempts that awaited a preemption, once all allocations
    /// together fit the VM. They become `Starting`.
    pub fn take_startable(&mut self) -> Vec<StartOrder> {
        let fits = self.committed().fits_in(&self.capacity);
        let mut startable = Vec::new();
        for allocation in self.allocations.values_mut() {
            if fits && allocation.state == AllocationState::AwaitingPreemption {
                allocation.state = AllocationState::Starting;
                startable.extend(allocation.order.clone());
            }
        }
        startable
    }

    /// Records the share of its processors that an attempt may use.
    pub fn set_throttle(&mut self, attempt: &AttemptRef, percent: u32) {
        if let Some(allocation) = self.allocations.get_mut(attempt) {
            allocation.throttle_percent = percent;
        }
    }

    /// Records an end that the runtime has proved and frees the allocation. The end is reported to
    /// the owner of the shard until [`Ledger::confirm_ends`].
    pub fn record_end(&mut self, now_ms: u64, attempt: &AttemptRef, kind: EndKind) {
        let allocation = self.allocations.remove(attempt);
        let since_ms = allocation
            .as_ref()
            .map_or(now_ms, |allocation| allocation.since_ms);
        let peak = allocation.map_or(Resources::default(), |allocation| allocation.peak);
        self.record_newest(attempt);
        let end = AttemptEnd {
            attempt: attempt.clone(),
            kind,
            peak,
            run_ms: now_ms.saturating_sub(since_ms),
        };
        self.ends.insert(attempt.clone(), end);
    }

    /// Ended attempts that still have to be reported to the owner of their shard.
    pub fn unconfirmed_ends(&self) -> impl Iterator<Item = &AttemptEnd> {
        self.ends.values()
    }

    /// Whether an attempt has ended and the owner of its shard has not confirmed that yet.
    pub fn has_unconfirmed_end(&self, attempt: &AttemptRef) -> bool {
        self.ends.contains_key(attempt)
    }

    /// Removes ends that the owner of their shard has written to the table.
    pub fn confirm_ends(&mut self, ends: &[AttemptRef]) {
        for end in ends {
            self.ends.remove(end);
        }
    }

    /// Applies the runtime's reports of all attempts on the worker. The first call also records
    /// attempts that ended while no agent was running, because their owners may not know of it.
    pub fn on_reports(&mut self, now_ms: u64, reports: &[AttemptReport]) {
        let is_first = !std::mem::replace(&mut self.is_synced, true);
        for report in reports {
            let known = self.allocations.get_mut(&report.attempt);
            match (known, report.status) {
                (Some(allocation), AttemptStatus::Running) => {
                    allocation.peak = allocation.peak.max(&report.peak);
                }
                (Some(_), status) => self.record_end(now_ms, &report.attempt, end_kind(status)),
                (None, AttemptStatus::Running) => self.adopt_running(now_ms, report),
                (None, status) if is_first => {
                    self.record_end(now_ms, &report.attempt, end_kind(status));
                }
                (None, _) => {}
            }
        }
    }

    /// Allocates resources to an attempt that was started before this agent.
    fn adopt_running(&mut self, now_ms: u64, report: &AttemptReport) {
        if self.ends.contains_key(&report.attempt) {
            return;
        }
        self.record_newest(&report.attempt);
        let allocation = Allocation {
            order: None,
            need: report.need,
            peak: report.peak,
            state: AllocationState::Running,
            since_ms: now_ms,
            throttle_percent: 100,
        };
        self.allocations.insert(report.attempt.clone(), allocation);
    }
}

/// Maps the final status of an attempt in the runtime to the end that is reported. A lapsed lease
/// counts as stopped, and so does `Running`, which is no final status.
pub fn end_kind(status: AttemptStatus) -> EndKind {
    match status {
        AttemptStatus::Succeeded => EndKind::Succeeded,
        AttemptStatus::Failed => EndKind::Failed,
        AttemptStatus::Checkpointed => EndKind::Checkpointed,
        AttemptStatus::Running | AttemptStatus::Stopped | AttemptStatus::Lapsed => EndKind::Stopped,
    }
}
