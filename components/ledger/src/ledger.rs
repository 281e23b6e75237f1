//! The ledger.

use crate::{AdmissionDecision, Allocation, AllocationState};
use backing::{AttemptRef, AttemptReport, AttemptStatus};
use model::{Attempt, Resources, ServiceName, TaskId};
use std::collections::{BTreeMap, VecDeque};
use utils::Map;
use wire::{AttemptEnd, EndKind, StartOrder};

/// Most tasks whose newest attempt is remembered after its end.
const MAX_FENCES: usize = 20_000;

/// What the VM has, what is taken, and which attempts hold it.
#[derive(Debug)]
pub struct Ledger {
    /// What the VM has.
    capacity: Resources,
    /// What services on the VM take.
    reserved: BTreeMap<ServiceName, Resources>,
    /// Attempts that hold part of the VM.
    held: Map<AttemptRef, Allocation>,
    /// Newest attempt seen of each task; older ones are refused.
    newest: Map<TaskId, Attempt>,
    /// Tasks in `newest`, oldest first.
    newest_order: VecDeque<TaskId>,
    /// Ends that their owner has not confirmed.
    ends: Map<AttemptRef, AttemptEnd>,
    /// Whether the runtime's attempts were read since the start; nothing is admitted before.
    synced: bool,
    /// Whether the VM leaves; nothing new is admitted.
    closed: bool,
}

impl Ledger {
    /// The ledger of a VM about which nothing is known but its size.
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
            held: Map::default(),
            newest: Map::default(),
            newest_order: VecDeque::new(),
            ends: Map::default(),
            synced: false,
            closed: false,
        }
    }

    /// Admits nothing new from now on, because the VM leaves.
    ///
    /// ```
    /// let mut ledger = ledger::Ledger::new(model::Resources::new(1_000, 1_024, 0));
    /// ledger.on_reports(0, &[]);
    /// ledger.stop_admitting();
    /// ```
    pub fn stop_admitting(&mut self) {
        self.closed = true;
    }

    /// Whether the runtime's attempts were read since the start.
    pub fn is_synced(&self) -> bool {
        self.synced
    }

    /// Sets what the services on the VM take.
    pub fn set_reserved(&mut self, reserved: BTreeMap<ServiceName, Resources>) {
        self.reserved = reserved;
    }

    /// What is not taken; nothing until the runtime's attempts were read.
    pub fn free(&self) -> Resources {
        if !self.synced {
            return Resources::default();
        }
        self.capacity.minus(&self.committed())
    }

    /// What services and attempts take together.
    pub fn committed(&self) -> Resources {
        let services = self
            .reserved
            .values()
            .fold(Resources::default(), |sum, need| sum.plus(need));
        self.held
            .values()
            .fold(services, |sum, held| sum.plus(&held.committed()))
    }

    /// Attempts that hold part of the VM.
    pub fn allocations(&self) -> impl Iterator<Item = (&AttemptRef, &Allocation)> {
        self.held.iter()
    }

    /// One attempt that holds part of the VM.
    pub fn get(&self, attempt: &AttemptRef) -> Option<&Allocation> {
        self.held.get(attempt)
    }

    /// Attempts whose leases are to be renewed.
    pub fn leased_attempts(&self) -> Vec<AttemptRef> {
        let is_up = |held: &Allocation| !matches!(held.state, AllocationState::AwaitingPreemption);
        self.held
            .iter()
            .filter(|(_, held)| is_up(held))
            .map(|(attempt, _)| attempt.clone())
            .collect()
    }

    /// Decides about a start order and takes the attempt in unless it is refused.
    pub fn admit(&mut self, now_ms: u64, order: &StartOrder) -> AdmissionDecision {
        let attempt = &order.attempt;
        if self.held.contains_key(attempt) || self.ends.contains_key(attempt) {
            return AdmissionDecision::Known;
        }
        let newest = self.newest.get(&attempt.task).copied().unwrap_or(0);
        let sibling_runs = self.held.keys().any(|held| held.task == attempt.task);
        if !self.synced {
            return AdmissionDecision::Unready;
        }
        if self.closed || newest > attempt.attempt || sibling_runs {
            return AdmissionDecision::Refuse;
        }
        let decision = self.room_for(order);
        let state = match &decision {
            AdmissionDecision::Start => AllocationState::Starting,
            AdmissionDecision::Preempt(victims) => {
                self.stop_all(victims);
                AllocationState::AwaitingPreemption
            }
            AdmissionDecision::Known | AdmissionDecision::Refuse | AdmissionDecision::Unready => {
                return decision;
            }
        };
        self.note_newest(attempt);
        let held = Allocation {
            order: Some(order.clone()),
            need: order.need,
            peak: Resources::default(),
            state,
            since_ms: now_ms,
            throttle_percent: 100,
        };
        self.held.insert(attempt.clone(), held);
        decision
    }

    fn room_for(&self, order: &StartOrder) -> AdmissionDecision {
        if order.need.fits_in(&self.free()) {
            return AdmissionDecision::Start;
        }
        if !order.urgent {
            return AdmissionDecision::Refuse;
        }
        let mut victims: Vec<(&AttemptRef, &Allocation)> = self
            .held
            .iter()
            .filter(|(_, held)| held.is_preemptible())
            .collect();
        victims.sort_by(|left, right| {
            right
                .1
                .since_ms
                .cmp(&left.1.since_ms)
                .then_with(|| left.0.task.cmp(&right.0.task))
        });
        let mut room = self.free();
        let mut chosen = Vec::new();
        for (attempt, held) in victims {
            if order.need.fits_in(&room) {
                break;
            }
            room = room.plus(&held.committed());
            chosen.push(attempt.clone());
        }
        // The sum of what victims give back can exceed the VM when a measured peak did.
        if order.need.fits_in(&room) && order.need.fits_in(&self.capacity) {
            AdmissionDecision::Preempt(chosen)
        } else {
            AdmissionDecision::Refuse
        }
    }

    fn stop_all(&mut self, victims: &[AttemptRef]) {
        for victim in victims {
            self.mark_stopping(victim, true);
        }
    }

    fn note_newest(&mut self, attempt: &AttemptRef) {
        if self
            .newest
            .insert(attempt.task.clone(), attempt.attempt)
            .is_none()
        {
            self.newest_order.push_back(attempt.task.clone());
        }
        while self.newest_order.len() > MAX_FENCES {
            if let Some(oldest) = self.newest_order.pop_front() {
                self.newest.remove(&oldest);
            }
        }
    }

    /// Marks an attempt as being stopped; answers whether the runtime is to be asked.
    pub fn mark_stopping(&mut self, attempt: &AttemptRef, checkpoint: bool) -> bool {
        let Some(held) = self.held.get_mut(attempt) else {
            return false;
        };
        let already = matches!(held.state, AllocationState::Stopping { .. });
        held.state = AllocationState::Stopping { checkpoint };
        !already
    }

    /// Marks an attempt as running.
    pub fn mark_running(&mut self, attempt: &AttemptRef) {
        if let Some(held) = self.held.get_mut(attempt)
            && held.state == AllocationState::Starting
        {
            held.state = AllocationState::Running;
        }
    }

    /// Attempts that waited for room and now have it; they become `Starting`.
    pub fn take_startable(&mut self) -> Vec<StartOrder> {
        let fits = self.committed().fits_in(&self.capacity);
        let mut startable = Vec::new();
        for held in self.held.values_mut() {
            if fits && held.state == AllocationState::AwaitingPreemption {
                held.state = AllocationState::Starting;
                startable.extend(held.order.clone());
            }
        }
        startable
    }

    /// Sets the throttle of an attempt.
    pub fn set_throttle(&mut self, attempt: &AttemptRef, percent: u32) {
        if let Some(held) = self.held.get_mut(attempt) {
            held.throttle_percent = percent;
        }
    }

    /// Ends an attempt with proof; it is reported until confirmed.
    pub fn record_end(&mut self, now_ms: u64, attempt: &AttemptRef, kind: EndKind) {
        let held = self.held.remove(attempt);
        let since_ms = held.as_ref().map_or(now_ms, |held| held.since_ms);
        let peak = held.map_or(Resources::default(), |held| held.peak);
        self.note_newest(attempt);
        let end = AttemptEnd {
            attempt: attempt.clone(),
            kind,
            peak,
            run_ms: now_ms.saturating_sub(since_ms),
        };
        self.ends.insert(attempt.clone(), end);
    }

    /// Ends that their owner has not confirmed.
    pub fn unconfirmed_ends(&self) -> impl Iterator<Item = &AttemptEnd> {
        self.ends.values()
    }

    /// Whether an attempt's end waits to be confirmed.
    pub fn has_unconfirmed_end(&self, attempt: &AttemptRef) -> bool {
        self.ends.contains_key(attempt)
    }

    /// Forgets ends that are durable.
    pub fn confirm_ends(&mut self, ends: &[AttemptRef]) {
        for end in ends {
            self.ends.remove(end);
        }
    }

    /// Takes the runtime's own account of all attempts on the worker. The first one also tells
    /// which ended while no agent was there; their owners may not know.
    pub fn on_reports(&mut self, now_ms: u64, reports: &[AttemptReport]) {
        let is_first = !std::mem::replace(&mut self.synced, true);
        for report in reports {
            let known = self.held.get_mut(&report.attempt);
            match (known, report.status) {
                (Some(held), AttemptStatus::Running) => held.peak = held.peak.max(&report.peak),
                (Some(_), status) => self.record_end(now_ms, &report.attempt, end_kind(status)),
                (None, AttemptStatus::Running) => self.take_in(now_ms, report),
                (None, status) if is_first => {
                    self.record_end(now_ms, &report.attempt, end_kind(status));
                }
                (None, _) => {}
            }
        }
    }

    /// Takes in an attempt that ran before this agent did.
    fn take_in(&mut self, now_ms: u64, report: &AttemptReport) {
        if self.ends.contains_key(&report.attempt) {
            return;
        }
        self.note_newest(&report.attempt);
        let held = Allocation {
            order: None,
            need: report.need,
            peak: report.peak,
            state: AllocationState::Running,
            since_ms: now_ms,
            throttle_percent: 100,
        };
        self.held.insert(report.attempt.clone(), held);
    }
}

/// How an attempt ended, by its final status in the runtime.
pub fn end_kind(status: AttemptStatus) -> EndKind {
    match status {
        AttemptStatus::Succeeded => EndKind::Succeeded,
        AttemptStatus::Failed => EndKind::Failed,
        AttemptStatus::Checkpointed => EndKind::Checkpointed,
        AttemptStatus::Running | AttemptStatus::Stopped | AttemptStatus::Lapsed => EndKind::Stopped,
    }
}
