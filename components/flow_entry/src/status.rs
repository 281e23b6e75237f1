//! Status of an entry for operators.

use crate::coordinator::Coordinator;
use crate::messages::QueryStatus;
use actix::{Handler, MessageResult};
use flow::StayingRuns;
use model::{DomainName, EntryId};
use serde::{Deserialize, Serialize};
use utils::boot_ms;

/// State of an entry for flows; the body of `/v1/status` at its monitoring server. A field that an earlier
/// version does not state has its default.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct FlowEntryStatus {
    /// Entry that reports.
    pub entry: EntryId,
    /// Version of the configuration in force; 0 until one was read.
    #[serde(default)]
    pub config: u64,
    /// Whether it is the scheduler and has loaded its state.
    #[serde(default)]
    pub scheduler: bool,
    /// Time since its last answered read of the requests for evacuations was sent, in milliseconds; `None`
    /// before the first.
    #[serde(default)]
    pub evacuations_read_ago_ms: Option<u64>,
    /// Evacuated domains as it read them, ordered by name.
    #[serde(default)]
    pub evacuations: Vec<EvacuationStatus>,
}

/// State of an evacuated domain.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct EvacuationStatus {
    /// Name of the domain.
    pub domain: DomainName,
    /// Time since this entry first read the request, in milliseconds.
    #[serde(default)]
    pub requested_ago_ms: u64,
    /// Runs in the domain; `None` unless the entry is the scheduler.
    #[serde(default)]
    pub runs: Option<EvacuationRuns>,
}

/// Runs in an evacuated domain.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct EvacuationRuns {
    /// Workers of the domain.
    pub workers: usize,
    /// Runs that are left on them.
    pub left: usize,
    /// Whether none is left.
    pub empty: bool,
    /// Runs that can't be moved now, by cause.
    pub staying: StayingRuns,
}

impl Coordinator {
    /// Runs in each evacuated domain; `None` unless this entry is the scheduler and has loaded its state.
    fn evacuation_runs(&self) -> Option<Vec<(DomainName, EvacuationRuns)>> {
        let leadership = self.leadership.as_ref();
        let scheduler = &leadership
            .filter(|leadership| leadership.is_loaded)?
            .scheduler;
        let staying = scheduler.staying_runs();
        let progress = scheduler.evacuations().into_iter();
        let runs = progress.map(|evacuation| {
            let runs = EvacuationRuns {
                workers: evacuation.workers,
                left: evacuation.runs_left,
                empty: evacuation.runs_left == 0,
                staying: staying.get(&evacuation.domain).copied().unwrap_or_default(),
            };
            (evacuation.domain, runs)
        });
        Some(runs.collect())
    }
}

impl Handler<QueryStatus> for Coordinator {
    type Result = MessageResult<QueryStatus>;

    fn handle(&mut self, _: QueryStatus, _: &mut Self::Context) -> Self::Result {
        let now_ms = boot_ms();
        let runs = self.evacuation_runs();
        let runs_in = |domain: &DomainName| {
            let mut runs = runs.iter().flatten();
            runs.find(|(name, _)| name == domain).map(|(_, runs)| *runs)
        };
        let confirmed_ms = self.evacuations.confirmed_ms();
        let evacuations = self.evacuations.domains();
        let status = |(domain, since_ms): (&DomainName, u64)| EvacuationStatus {
            domain: domain.clone(),
            requested_ago_ms: now_ms.saturating_sub(since_ms),
            runs: runs_in(domain),
        };
        MessageResult(FlowEntryStatus {
            entry: self.settings.id.clone(),
            config: self.config.load().version,
            scheduler: runs.is_some(),
            evacuations_read_ago_ms: confirmed_ms.map(|at_ms| now_ms.saturating_sub(at_ms)),
            evacuations: evacuations.map(status).collect(),
        })
    }
}
