//! Live workers, as known to an entry.

use model::{AgentId, JobId, KindName, Resources};
use utils::{Map, Set};
use wire::Heartbeat;

/// Distinct jobs that must fail on a worker without a success in between before it is quarantined.
const QUARANTINE_JOBS: usize = 3;
/// Length of the first quarantine; each further one without a success is twice as long.
const QUARANTINE_MS: u64 = 30_000;
/// Upper bound on the length of a quarantine.
const MAX_QUARANTINE_MS: u64 = 600_000;

/// Capacity, load and reliability of one live worker.
#[derive(Debug, Clone)]
pub struct Worker {
    /// Agent of the worker.
    pub agent: AgentId,
    /// Total resources of the VM.
    pub capacity: Resources,
    /// Free capacity: as of the last heartbeat, less attempts accepted or refused and plus attempts
    /// ended since.
    pub free: Resources,
    /// Resources of attempts that were placed and that the agent has not accepted or refused yet.
    pub reserved: Resources,
    /// Jobs that have failed there since the last success or quarantine.
    failed_jobs: Set<JobId>,
    /// Number of quarantines since the last success.
    quarantines: u32,
    /// End of the last quarantine; 0 before the first.
    quarantined_until_ms: u64,
    /// Kinds of work that slow the worker's services down, as of the last heartbeat.
    pub bad_kinds: Vec<KindName>,
}

impl Worker {
    /// Capacity that is neither used nor reserved.
    pub fn available(&self) -> Resources {
        self.free.minus(&self.reserved)
    }

    /// Whether the worker was quarantined and no attempt has succeeded there since.
    pub fn is_on_probation(&self) -> bool {
        self.quarantines > 0
    }

    /// Whether nothing may be placed on the worker now, because attempts of several jobs failed
    /// there.
    pub fn is_quarantined(&self, now_ms: u64) -> bool {
        now_ms < self.quarantined_until_ms
    }
}

/// All live workers.
#[derive(Debug, Default)]
pub struct Workers {
    /// Workers, in no particular order.
    list: Vec<Worker>,
    /// Index of each worker in `list`.
    position: Map<AgentId, usize>,
}

impl Workers {
    /// All live workers, in no particular order.
    pub fn list(&self) -> &[Worker] {
        &self.list
    }

    /// The worker of an agent; `None` if it is not live or is draining.
    pub fn get(&self, agent: &AgentId) -> Option<&Worker> {
        self.position.get(agent).map(|&index| &self.list[index])
    }

    /// Mutable access to the worker of an agent; `None` as for [`Workers::get`].
    pub fn get_mut(&mut self, agent: &AgentId) -> Option<&mut Worker> {
        self.position.get(agent).map(|&index| &mut self.list[index])
    }

    /// Adds or updates a worker from its agent's heartbeat; a draining one is removed.
    pub fn on_heartbeat(&mut self, heartbeat: &Heartbeat) {
        if heartbeat.draining {
            self.on_lost(&heartbeat.agent);
            return;
        }
        if let Some(worker) = self.get_mut(&heartbeat.agent) {
            worker.capacity = heartbeat.capacity;
            worker.free = heartbeat.free;
            worker.bad_kinds.clone_from(&heartbeat.bad_kinds);
            return;
        }
        self.position
            .insert(heartbeat.agent.clone(), self.list.len());
        self.list.push(Worker {
            agent: heartbeat.agent.clone(),
            capacity: heartbeat.capacity,
            free: heartbeat.free,
            reserved: Resources::default(),
            failed_jobs: Set::default(),
            quarantines: 0,
            quarantined_until_ms: 0,
            bad_kinds: heartbeat.bad_kinds.clone(),
        });
    }

    /// Removes a worker, with its reservations and its record of failures.
    pub fn on_lost(&mut self, agent: &AgentId) {
        let Some(index) = self.position.remove(agent) else {
            return;
        };
        self.list.swap_remove(index);
        if let Some(moved) = self.list.get(index) {
            self.position.insert(moved.agent.clone(), index);
        }
    }

    /// Reserves resources for an attempt that was placed on a worker.
    pub fn reserve(&mut self, agent: &AgentId, need: &Resources) {
        if let Some(worker) = self.get_mut(agent) {
            worker.reserved = worker.reserved.plus(need);
        }
    }

    /// Turns the reservation of an attempt into usage, once the agent has accepted or refused it.
    pub fn consume_reservation(&mut self, agent: &AgentId, need: &Resources) {
        if let Some(worker) = self.get_mut(agent) {
            worker.reserved = worker.reserved.minus(need);
            // After a refusal this is an estimate: the worker is fuller than known, and the next
            // heartbeat gives the exact figure.
            worker.free = worker.free.minus(need);
        }
    }

    /// Frees the resources of an attempt that has ended on a worker, up to its capacity.
    pub fn free_resources(&mut self, agent: &AgentId, need: &Resources) {
        if let Some(worker) = self.get_mut(agent) {
            let freed = worker.free.plus(need);
            let excess = freed.minus(&worker.capacity);
            worker.free = freed.minus(&excess);
        }
    }

    /// Records a success, which clears the worker's failures and quarantines.
    pub fn record_success(&mut self, agent: &AgentId) {
        if let Some(worker) = self.get_mut(agent) {
            worker.failed_jobs.clear();
            worker.quarantines = 0;
        }
    }

    /// Records the failure of a job's attempt on a worker. Returns whether the worker is
    /// quarantined for it. A worker on probation is quarantined at its first failure.
    pub fn record_failure(&mut self, now_ms: u64, agent: &AgentId, job: &JobId) -> bool {
        let Some(worker) = self.get_mut(agent) else {
            return false;
        };
        worker.failed_jobs.insert(job.clone());
        let is_on_probation = worker.quarantines > 0;
        let is_due = worker.failed_jobs.len() >= QUARANTINE_JOBS || is_on_probation;
        if !is_due || worker.is_quarantined(now_ms) {
            return false;
        }
        let doubled = QUARANTINE_MS.saturating_mul(1 << worker.quarantines.min(16));
        worker.quarantined_until_ms = now_ms + doubled.min(MAX_QUARANTINE_MS);
        worker.quarantines += 1;
        worker.failed_jobs.clear();
        true
    }

    /// Whether other jobs have failed on a worker since its last success, or it is on probation, so
    /// that a failure there says little about this job.
    pub fn is_suspect(&self, agent: &AgentId, job: &JobId) -> bool {
        let Some(worker) = self.get(agent) else {
            return false;
        };
        worker.quarantines > 0 || worker.failed_jobs.iter().any(|failed| failed != job)
    }

    /// Whether a task of this size fits on any worker when that is empty; true while no worker is
    /// known.
    pub fn can_ever_fit(&self, need: &Resources) -> bool {
        self.list.is_empty()
            || self
                .list
                .iter()
                .any(|worker| need.fits_in(&worker.capacity))
    }

    /// Total capacity of all workers.
    pub fn total(&self) -> Resources {
        self.list.iter().fold(Resources::default(), |sum, worker| {
            sum.plus(&worker.capacity)
        })
    }
}
