//! What the servers for callers ask of the entry.

use crate::coordinator::Coordinator;
use crate::messages::{AskPhase, AskReady, AskWaiting, Cancel, Submit};
use crate::metrics::Metrics;
use actix::Addr;
use arc_swap::ArcSwap;
use flow::{FlowConfig, FlowJob, FlowPhase, QueueKey};
use model::JobId;
use std::sync::Arc;
use utils::boot_ms;
use wire::{CancelOutcome, SubmitOutcome};

/// What an entry knows of a flow.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PhaseAnswer {
    /// Its state.
    Known(FlowPhase),
    /// There is no such flow.
    Unknown,
    /// Neither the scheduler nor the table can be asked.
    Unavailable,
}

/// What the servers for callers ask of the entry.
#[derive(Clone)]
pub struct EntryHandle {
    /// The control thread.
    pub(crate) control: Addr<Coordinator>,
    /// Configuration in force.
    pub(crate) config: Arc<ArcSwap<FlowConfig>>,
    /// Metrics of the process.
    pub(crate) metrics: Metrics,
}

impl EntryHandle {
    /// The configuration in force; number 0 before there is one.
    pub fn config(&self) -> Arc<FlowConfig> {
        self.config.load_full()
    }

    /// Whether the entry takes callers.
    pub async fn is_ready(&self) -> bool {
        self.control.send(AskReady).await.unwrap_or(false)
    }

    /// Accepts a flow, within `limit_ms`.
    pub async fn submit(&self, job: FlowJob, limit_ms: u64) -> SubmitOutcome {
        let until_ms = boot_ms() + limit_ms;
        let sent = self.control.send(Submit { job, until_ms }).await;
        sent.unwrap_or(SubmitOutcome::Refused)
    }

    /// Cancels a flow, within `limit_ms`.
    pub async fn cancel(&self, job: JobId, limit_ms: u64) -> CancelOutcome {
        let until_ms = boot_ms() + limit_ms;
        let sent = self.control.send(Cancel { job, until_ms }).await;
        sent.unwrap_or(CancelOutcome::Unavailable)
    }

    /// State of a flow, within `limit_ms`.
    pub async fn phase(&self, job: JobId, limit_ms: u64) -> PhaseAnswer {
        let until_ms = boot_ms() + limit_ms;
        let sent = self.control.send(AskPhase { job, until_ms }).await;
        sent.unwrap_or(PhaseAnswer::Unavailable)
    }

    /// Waiting flows of a queue, if anyone can tell.
    pub async fn queued(&self, queue: QueueKey) -> Option<u64> {
        self.control.send(AskWaiting(queue)).await.ok().flatten()
    }

    /// The metrics as text.
    pub fn metrics(&self) -> String {
        self.metrics.text()
    }
}
