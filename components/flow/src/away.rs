//! Workers that are away: they don't answer and may still hold a lease. The row of the scheduler's
//! lease names them, and one that is named is offered no lease until a commit no longer names it. So a
//! new scheduler knows when their leases expire, however often the scheduler changes.

use crate::{Contact, Scheduler, WorkerView};
use model::AgentId;
use serde::{Deserialize, Serialize};

/// Upper bound for the bytes that a worker takes in the row beside the name of its agent.
const ENTRY_BYTES: usize = 60;

/// A worker that is offered no lease.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct AwayWorker {
    /// Agent of the worker.
    pub agent: AgentId,
    /// Time from when the row was written until its leases are guaranteed to have expired, in
    /// milliseconds.
    pub expires_in_ms: u64,
}

impl Scheduler {
    /// Workers that the next commit is to name as away, as many as `max_bytes` of its row hold; the
    /// leases of others count as the longest possible after a change of the scheduler. They are
    /// offered no lease until [`Scheduler::on_away_committed`] confirms a commit that does not name them.
    ///
    /// ```
    /// assert!(flow::Scheduler::default().note_away(1_000, 4_096).is_empty());
    /// ```
    pub fn note_away(&mut self, now_ms: u64, max_bytes: usize) -> Vec<AwayWorker> {
        let former_ms = self.former_leases_expired_ms;
        let mut left_bytes = max_bytes;
        let mut away = Vec::new();
        for (agent, view) in &mut self.fleet.workers {
            let expires_in_ms = view.leases_expired_ms(former_ms).saturating_sub(now_ms);
            let bytes = agent.as_str().len() + ENTRY_BYTES;
            if expires_in_ms > 0 && is_away(view) && bytes <= left_bytes {
                left_bytes -= bytes;
                view.is_noted_away = true;
                away.push(AwayWorker {
                    agent: agent.clone(),
                    expires_in_ms,
                });
            }
        }
        away
    }

    /// Records that a commit which named exactly these workers as away has taken effect. The others
    /// may be offered leases again.
    pub fn on_away_committed(&mut self, away: &[AwayWorker]) {
        for (agent, view) in &mut self.fleet.workers {
            view.is_noted_away &= away.iter().any(|worker| worker.agent == *agent);
        }
    }

    /// Whether a worker answers that a commit still names as away, so that it gets a lease only after
    /// another commit.
    pub fn has_returned_worker(&self) -> bool {
        let mut workers = self.fleet.workers.values();
        workers.any(|view| view.is_noted_away && view.contact.is_answering())
    }

    /// Restores a worker that the former scheduler's last commit named as away, and whose leases are
    /// guaranteed to have expired at `expired_ms`.
    pub fn restore_away(&mut self, agent: &AgentId, expired_ms: u64) {
        let view = self.worker_mut(agent);
        view.is_noted_away = true;
        view.former_expired_ms = Some(expired_ms);
    }
}

/// Whether a worker with unexpired leases is to be named as away.
fn is_away(view: &WorkerView) -> bool {
    let has_runs = !view.allocations.is_empty() || !view.orphans.is_empty();
    match view.contact {
        Contact::Reading | Contact::Synced => false,
        Contact::Unreachable => has_runs || view.is_noted_away,
        Contact::Unknown => view.is_noted_away,
    }
}
