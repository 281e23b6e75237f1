//! One agent as a target for the requests of one service.

use crate::{Class, Ejection};
use model::{AgentId, DomainName};
use std::net::SocketAddr;
use utils::Ewma;
use wire::BackendLoad;

/// Samples that the mean run time remembers.
const SPAN: f64 = 32.0;

/// How a dispatched request ended, as far as its agent is to blame.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum TargetOutcome {
    /// A whole answer that is no server error.
    Succeeded,
    /// A server error, a broken connection or silence.
    Failed,
    /// Refused for want of a slot, or given up by the caller.
    Neutral,
}

/// One agent as a target for the requests of one service.
#[derive(Debug, Clone)]
pub struct Target {
    /// The agent.
    pub agent: AgentId,
    /// Its incarnation.
    pub incarnation: u64,
    /// Its failure domain.
    pub domain: DomainName,
    /// Its address for requests.
    pub traffic: SocketAddr,
    /// Its address for control calls.
    pub control: SocketAddr,
    /// Slots of its backend servers.
    pub slots: u32,
    /// Free slots, as last told and corrected by what was sent since.
    pub free: BackendLoad,
    /// When free slots were last told.
    pub told_ms: u64,
    /// Requests of this entry that are out there.
    pub outstanding: u32,
    /// When it was first heard.
    pub joined_ms: u64,
    /// Failures and ejections.
    pub ejection: Ejection,
    /// Mean time from dispatch to answer of short requests.
    pub mean_ms: Ewma,
}

impl Target {
    /// A target that was just heard.
    pub(crate) fn new(beat: &wire::Heartbeat, now_ms: u64) -> Self {
        Self {
            agent: beat.agent.clone(),
            incarnation: beat.incarnation,
            domain: beat.domain.clone(),
            traffic: beat.traffic,
            control: beat.control,
            slots: 0,
            free: BackendLoad::default(),
            told_ms: now_ms,
            outstanding: 0,
            joined_ms: now_ms,
            ejection: Ejection::default(),
            mean_ms: Ewma::new(SPAN),
        }
    }

    /// Free slots for a class, as far as known.
    pub fn free_for(&self, class: Class) -> u32 {
        match class {
            Class::Short => self.free.free,
            Class::Long => self.free.free_long,
        }
    }

    /// Most requests that this entry may have out there now.
    pub fn allowance(&self, now_ms: u64, slow_start_ms: u64) -> u32 {
        if self.ejection.is_out(now_ms) {
            return 0;
        }
        if self.ejection.is_on_trial(now_ms) {
            return 1;
        }
        let age_ms = now_ms.saturating_sub(self.joined_ms);
        if age_ms >= slow_start_ms {
            return u32::MAX;
        }
        let grown = u64::from(self.slots) * age_ms / slow_start_ms.max(1);
        (grown as u32).max(1)
    }

    /// Whether the agent takes its whole share: known for long enough, and not ejected.
    pub(crate) fn is_warm(&self, now_ms: u64, slow_start_ms: u64) -> bool {
        let age_ms = now_ms.saturating_sub(self.joined_ms);
        let is_held_back = self.ejection.is_out(now_ms) || self.ejection.is_on_trial(now_ms);
        age_ms >= slow_start_ms && !is_held_back
    }

    pub(crate) fn sent(&mut self, class: Class) {
        self.outstanding += 1;
        self.free.free = self.free.free.saturating_sub(1);
        if class == Class::Long {
            self.free.free_long = self.free.free_long.saturating_sub(1);
        }
        self.free.free_long = self.free.free_long.min(self.free.free);
    }

    pub(crate) fn told(&mut self, now_ms: u64, load: BackendLoad) {
        self.free = load;
        self.told_ms = now_ms;
    }
}
