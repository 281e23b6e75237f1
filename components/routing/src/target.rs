//! Routing state of one agent for one service.

use crate::{Class, Ejection};
use model::{AgentId, DomainName};
use std::net::SocketAddr;
use utils::Ewma;
use wire::BackendLoad;

/// Samples that the moving average of run times covers.
const EWMA_SAMPLES: f64 = 32.0;

/// How a dispatched request counts for the health of its agent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum TargetOutcome {
    /// A complete answer other than a server error.
    Succeeded,
    /// A server error, a broken connection or a timeout.
    Failed,
    /// Refused because no slot was free, or abandoned by the caller; not counted.
    Neutral,
}

/// Routing state of one agent for one service, as this entry sees it.
#[derive(Debug, Clone)]
pub struct Target {
    /// Name of the agent.
    pub agent: AgentId,
    /// Incarnation of the agent; a restart replaces the whole target.
    pub incarnation: u64,
    /// Failure domain of the agent.
    pub domain: DomainName,
    /// Address of the agent for requests.
    pub traffic: SocketAddr,
    /// Address of the agent for control calls.
    pub control: SocketAddr,
    /// Total slots of the agent's backend servers.
    pub slots: u32,
    /// Free slots as last reported, less the requests that this entry has dispatched since.
    pub free: BackendLoad,
    /// Time of the last report of free slots.
    pub load_updated_ms: u64,
    /// Requests of this entry that were dispatched to the agent and have not ended.
    pub outstanding: u32,
    /// Time of the first heartbeat that offered the service in this incarnation.
    pub first_seen_ms: u64,
    /// Consecutive failures and ejections of the agent.
    pub ejection: Ejection,
    /// Average time from dispatch to a complete answer, in milliseconds, over successful requests
    /// of both classes.
    pub mean_run_ms: Ewma,
}

impl Target {
    /// Creates the target for an agent whose first heartbeat has just arrived. Its slots are set
    /// by the update that follows.
    pub(crate) fn new(heartbeat: &wire::Heartbeat, now_ms: u64) -> Self {
        Self {
            agent: heartbeat.agent.clone(),
            incarnation: heartbeat.incarnation,
            domain: heartbeat.domain.clone(),
            traffic: heartbeat.traffic,
            control: heartbeat.control,
            slots: 0,
            free: BackendLoad::default(),
            load_updated_ms: now_ms,
            outstanding: 0,
            first_seen_ms: now_ms,
            ejection: Ejection::default(),
            mean_run_ms: Ewma::new(EWMA_SAMPLES),
        }
    }

    /// Known free slots that a request of a class may use.
    pub fn free_for(&self, class: Class) -> u32 {
        match class {
            Class::Short => self.free.free,
            Class::Long => self.free.free_long,
        }
    }

    /// Maximum number of outstanding requests that this entry allows itself at the agent.
    ///
    /// It is 0 during an ejection and 1 on probation. It grows to all slots during slow start and
    /// is unlimited afterwards.
    pub fn max_outstanding(&self, now_ms: u64, slow_start_ms: u64) -> u32 {
        if self.ejection.is_ejected(now_ms) {
            return 0;
        }
        if self.ejection.is_on_probation(now_ms) {
            return 1;
        }
        let age_ms = now_ms.saturating_sub(self.first_seen_ms);
        if age_ms >= slow_start_ms {
            return u32::MAX;
        }
        let grown = u64::from(self.slots) * age_ms / slow_start_ms.max(1);
        (grown as u32).max(1)
    }

    /// Whether the agent is past slow start and neither ejected nor on probation.
    pub(crate) fn is_warm(&self, now_ms: u64, slow_start_ms: u64) -> bool {
        let age_ms = now_ms.saturating_sub(self.first_seen_ms);
        let is_held_back =
            self.ejection.is_ejected(now_ms) || self.ejection.is_on_probation(now_ms);
        age_ms >= slow_start_ms && !is_held_back
    }

    pub(crate) fn record_dispatch(&mut self, class: Class) {
        self.outstanding += 1;
        self.free.free = self.free.free.saturating_sub(1);
        if class == Class::Long {
            self.free.free_long = self.free.free_long.saturating_sub(1);
        }
        self.free.free_long = self.free.free_long.min(self.free.free);
    }

    pub(crate) fn update_load(&mut self, now_ms: u64, load: BackendLoad) {
        self.free = load;
        self.load_updated_ms = now_ms;
    }
}
