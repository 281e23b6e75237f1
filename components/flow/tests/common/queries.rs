//! What tests ask of the simulation.

use super::Sim;
use flow::FlowPhase;
use flow::record_rows::join;
use model::{AgentId, JobId};

impl Sim {
    /// Paces of a flow's runs in progress, in percent.
    pub fn paces(&self, job: &JobId) -> Vec<u32> {
        let running = self.workers.values().flat_map(|worker| &worker.running);
        let of_job = running.filter(|(key, _)| key.job == *job);
        of_job.map(|(_, run)| run.pace).collect()
    }

    /// Number of runs of a flow in progress.
    pub fn running(&self, job: &JobId) -> usize {
        let workers = self.workers.values();
        workers
            .flat_map(|worker| worker.running.keys())
            .filter(|key| key.job == *job)
            .count()
    }

    /// Whether a run of a flow is in progress on a worker.
    pub fn runs_on(&self, agent: &str, job: &JobId) -> bool {
        let mut running = self.workers[&AgentId::from(agent)].running.keys();
        running.any(|key| key.job == *job)
    }

    /// Number of runs on a worker in progress.
    pub fn run_count(&self, agent: &str) -> usize {
        self.workers[&AgentId::from(agent)].running.len()
    }

    /// Whether two workers have crashed under a task of the flow, so that it may be given up.
    pub fn may_be_given_up(&self, job: &JobId) -> bool {
        let mut crashes = self.crashes_under.iter();
        crashes.any(|(key, crashes)| key.job == *job && *crashes >= 2)
    }

    /// Whether two workers have crashed soon after they started the same task of the flow, which makes it
    /// look as if the task were the cause.
    pub fn looks_deadly(&self, job: &JobId) -> bool {
        let mut crashes = self.crashes_soon_under.iter();
        crashes.any(|(key, crashes)| key.job == *job && *crashes >= 2)
    }

    /// Number of completed flows.
    pub fn completed(&self) -> usize {
        let ended = self.ended_ms.values();
        ended
            .filter(|(_, phase)| *phase == FlowPhase::Completed)
            .count()
    }

    /// Durable record of a flow; empty if there is none.
    pub fn record_text(&self, job: &JobId) -> String {
        let rows = self.records.get(job).map_or(&[][..], Vec::as_slice);
        let numbered: Vec<(usize, &str)> = rows.iter().map(String::as_str).enumerate().collect();
        join(&numbered).unwrap_or_default()
    }
}
