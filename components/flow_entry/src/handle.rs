//! Interface of an entry for the servers that callers connect to.

use crate::config_view::ConfigView;
use crate::coordinator::Coordinator;
use crate::limits::{FlowTooLarge, check_size};
use crate::memory::MemoryShares;
use crate::messages::{
    Admit, Cancel, CountQueued, Explain, GetPhase, GetReadiness, QueryStatus, Submit,
};
use crate::metrics::Metrics;
use crate::overload::Overloaded;
use crate::status::FlowEntryStatus;
use actix::Addr;
use flow::{FlowConfig, FlowJob, FlowLimits, FlowPhase, QueueKey, SpecFault};
use model::JobId;
use std::sync::Arc;
use utils::boot_ms;
use wire::{CancelOutcome, ExplainReply, SubmitOutcome};

/// Result of a query for the state of a flow.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PhaseAnswer {
    /// The flow exists and is in this state.
    Known(FlowPhase),
    /// The table has no such flow: it was never accepted, or its rows have been deleted.
    Unknown,
    /// Neither the scheduler nor the table answered within the caller's limit.
    Unavailable,
}

/// Handle to a running entry; clones refer to the same entry.
#[derive(Clone)]
pub struct EntryHandle {
    /// Address of the control thread.
    pub(crate) control: Addr<Coordinator>,
    /// Configuration in force.
    pub(crate) config: ConfigView,
    /// Limits on what one flow may ask for.
    pub(crate) limits: FlowLimits,
    /// Metrics that the entry exports.
    pub(crate) metrics: Metrics,
    /// Most bytes of a row of the table.
    pub(crate) row_bytes: usize,
    /// Shares of the process's memory.
    pub(crate) memory: MemoryShares,
    /// Whether flows that can't end in time are refused.
    pub(crate) has_admission: bool,
}

impl EntryHandle {
    /// The configuration in force; its version is 0 until one was read.
    pub fn config(&self) -> Arc<FlowConfig> {
        self.config.load()
    }

    /// Shares of the process's memory for what callers set.
    pub fn memory(&self) -> &MemoryShares {
        &self.memory
    }

    /// Whether the configuration in force was confirmed so recently that a queue it lacks can be
    /// denied. Otherwise the queue may have been added meanwhile.
    pub fn is_config_confirmed(&self) -> bool {
        self.config.is_confirmed(boot_ms())
    }

    /// Whether callers may be routed to this entry: it has a configuration, is not draining, and
    /// lately had an answer from the table or the scheduler.
    pub async fn is_ready(&self) -> bool {
        self.control.send(GetReadiness).await.unwrap_or(false)
    }

    /// Checks that a flow can be stored; one that can't is to be refused.
    ///
    /// # Errors
    /// It is larger than the table accepts.
    pub fn check_size(&self, job: &FlowJob) -> Result<(), FlowTooLarge> {
        check_size(job, self.row_bytes)
    }

    /// First fault of a flow, or `None` if it may be submitted.
    pub fn fault(&self, job: &FlowJob) -> Option<SpecFault> {
        let fault = job.spec.fault(&self.limits);
        fault.or_else(|| self.limits.check_job(job).err().map(SpecFault::Limit))
    }

    /// Submits a flow. While the table's answer is ambiguous, retries for up to `limit_ms`.
    pub async fn submit(&self, job: FlowJob, limit_ms: u64) -> SubmitOutcome {
        let until_ms = boot_ms() + limit_ms;
        let sent = self.control.send(Submit { job, until_ms }).await;
        sent.unwrap_or(SubmitOutcome::Refused)
    }

    /// Submits a flow as [`EntryHandle::submit`] does, unless it is new and can't end in time.
    ///
    /// # Errors
    /// It can't; nothing of it is stored.
    pub async fn submit_if_admitted(
        &self,
        job: FlowJob,
        limit_ms: u64,
    ) -> Result<SubmitOutcome, Overloaded> {
        let until_ms = boot_ms() + limit_ms;
        let job = match self.has_admission {
            true => match self.control.send(Admit { job, until_ms }).await {
                Ok(admitted) => admitted?,
                Err(_) => return Ok(SubmitOutcome::Refused),
            },
            false => job,
        };
        let sent = self.control.send(Submit { job, until_ms }).await;
        Ok(sent.unwrap_or(SubmitOutcome::Refused))
    }

    /// Cancels a flow. While the table's answer is ambiguous, retries for up to `limit_ms`.
    pub async fn cancel(&self, job: JobId, limit_ms: u64) -> CancelOutcome {
        let until_ms = boot_ms() + limit_ms;
        let sent = self.control.send(Cancel { job, until_ms }).await;
        sent.unwrap_or(CancelOutcome::Unavailable)
    }

    /// State of a flow, by the scheduler or else by the table; retries for up to `limit_ms`.
    pub async fn phase(&self, job: JobId, limit_ms: u64) -> PhaseAnswer {
        let until_ms = boot_ms() + limit_ms;
        let sent = self.control.send(GetPhase { job, until_ms }).await;
        sent.unwrap_or(PhaseAnswer::Unavailable)
    }

    /// Number of flows of a queue of which no task has started; `None` if no scheduler answers.
    pub async fn count_queued(&self, queue: QueueKey) -> Option<u64> {
        self.control.send(CountQueued(queue)).await.ok().flatten()
    }

    /// Where a job would be placed now and why; nothing is accepted or stored.
    pub async fn explain(&self, job: FlowJob) -> ExplainReply {
        let sent = self.control.send(Explain(job)).await;
        sent.unwrap_or(ExplainReply::NotScheduler)
    }

    /// State of the entry for operators; `None` while it is stopping.
    pub async fn status(&self) -> Option<FlowEntryStatus> {
        self.control.send(QueryStatus).await.ok()
    }

    /// The metrics in the text format of Prometheus.
    pub fn metrics(&self) -> String {
        self.metrics.observe_memory(&self.memory);
        self.metrics.text()
    }
}
