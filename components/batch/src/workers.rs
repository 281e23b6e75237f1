//! Workers as an entry sees them.

use model::{AgentId, JobId, KindName, Resources};
use utils::{Map, Set};
use wire::Heartbeat;

/// Distinct jobs that must fail in a row before a worker is set aside.
const QUARANTINE_JOBS: usize = 3;
/// Length of the first quarantine.
const QUARANTINE_MS: u64 = 30_000;
/// Longest quarantine.
const MAX_QUARANTINE_MS: u64 = 600_000;

/// One worker as an entry sees it.
#[derive(Debug, Clone)]
pub struct Worker {
    /// The agent there.
    pub agent: AgentId,
    /// What the VM has.
    pub capacity: Resources,
    /// What is free, as last told and corrected by what was placed and ended since.
    pub free: Resources,
    /// Placed, but not yet taken in by the agent.
    pub on_the_way: Resources,
    /// Jobs that failed there since the last success.
    failed_jobs: Set<JobId>,
    /// Quarantines since the last success.
    quarantines: u32,
    /// End of the present quarantine.
    quarantined_until_ms: u64,
    /// Kinds that slow the services there down.
    pub bad_kinds: Vec<KindName>,
}

impl Worker {
    /// What may still be placed there.
    pub fn room(&self) -> Resources {
        self.free.minus(&self.on_the_way)
    }

    /// Whether the worker was set aside and has not succeeded since.
    pub fn is_on_probation(&self) -> bool {
        self.quarantines > 0
    }

    /// Whether the worker is set aside because it fails everything.
    pub fn is_quarantined(&self, now_ms: u64) -> bool {
        now_ms < self.quarantined_until_ms
    }
}

/// The live workers.
#[derive(Debug, Default)]
pub struct Workers {
    /// Workers in no particular order.
    list: Vec<Worker>,
    /// Position of each worker in the list.
    position: Map<AgentId, usize>,
}

impl Workers {
    /// All live workers.
    pub fn list(&self) -> &[Worker] {
        &self.list
    }

    /// A worker by name.
    pub fn get(&self, agent: &AgentId) -> Option<&Worker> {
        self.position.get(agent).map(|&index| &self.list[index])
    }

    /// A worker by name.
    pub fn get_mut(&mut self, agent: &AgentId) -> Option<&mut Worker> {
        self.position.get(agent).map(|&index| &mut self.list[index])
    }

    /// Takes an agent's heartbeat.
    pub fn on_heartbeat(&mut self, beat: &Heartbeat) {
        if beat.draining {
            self.on_lost(&beat.agent);
            return;
        }
        if let Some(worker) = self.get_mut(&beat.agent) {
            worker.capacity = beat.capacity;
            worker.free = beat.free;
            worker.bad_kinds.clone_from(&beat.bad_kinds);
            return;
        }
        self.position.insert(beat.agent.clone(), self.list.len());
        self.list.push(Worker {
            agent: beat.agent.clone(),
            capacity: beat.capacity,
            free: beat.free,
            on_the_way: Resources::default(),
            failed_jobs: Set::default(),
            quarantines: 0,
            quarantined_until_ms: 0,
            bad_kinds: beat.bad_kinds.clone(),
        });
    }

    /// Forgets a worker.
    pub fn on_lost(&mut self, agent: &AgentId) {
        let Some(index) = self.position.remove(agent) else {
            return;
        };
        self.list.swap_remove(index);
        if let Some(moved) = self.list.get(index) {
            self.position.insert(moved.agent.clone(), index);
        }
    }

    /// Counts an attempt as placed on a worker.
    pub fn placed(&mut self, agent: &AgentId, need: &Resources) {
        if let Some(worker) = self.get_mut(agent) {
            worker.on_the_way = worker.on_the_way.plus(need);
        }
    }

    /// Counts an attempt as taken in or refused by the agent.
    pub fn arrived(&mut self, agent: &AgentId, need: &Resources) {
        if let Some(worker) = self.get_mut(agent) {
            worker.on_the_way = worker.on_the_way.minus(need);
            // A refusal tells that the worker is fuller than known; the next heartbeat tells how
            // full.
            worker.free = worker.free.minus(need);
        }
    }

    /// Counts an attempt as ended on a worker.
    pub fn ended(&mut self, agent: &AgentId, need: &Resources) {
        if let Some(worker) = self.get_mut(agent) {
            let freed = worker.free.plus(need);
            let excess = freed.minus(&worker.capacity);
            worker.free = freed.minus(&excess);
        }
    }

    /// Counts a success on a worker.
    pub fn succeeded(&mut self, agent: &AgentId) {
        if let Some(worker) = self.get_mut(agent) {
            worker.failed_jobs.clear();
            worker.quarantines = 0;
        }
    }

    /// Counts a failure on a worker; answers whether it is set aside for it.
    pub fn failed(&mut self, now_ms: u64, agent: &AgentId, job: &JobId) -> bool {
        let Some(worker) = self.get_mut(agent) else {
            return false;
        };
        worker.failed_jobs.insert(job.clone());
        let on_trial = worker.quarantines > 0;
        let enough = worker.failed_jobs.len() >= QUARANTINE_JOBS || on_trial;
        if !enough || worker.is_quarantined(now_ms) {
            return false;
        }
        let doubled = QUARANTINE_MS.saturating_mul(1 << worker.quarantines.min(16));
        worker.quarantined_until_ms = now_ms + doubled.min(MAX_QUARANTINE_MS);
        worker.quarantines += 1;
        worker.failed_jobs.clear();
        true
    }

    /// Whether a worker has failed other jobs since its last success, so that a failure there
    /// says little about this one.
    pub fn is_suspect(&self, agent: &AgentId, job: &JobId) -> bool {
        let Some(worker) = self.get(agent) else {
            return false;
        };
        worker.quarantines > 0 || worker.failed_jobs.iter().any(|failed| failed != job)
    }

    /// Whether a task of this size fits on any worker when it is empty; true while none is known.
    pub fn can_ever_fit(&self, need: &Resources) -> bool {
        self.list.is_empty()
            || self
                .list
                .iter()
                .any(|worker| need.fits_in(&worker.capacity))
    }

    /// What all workers have together.
    pub fn total(&self) -> Resources {
        self.list.iter().fold(Resources::default(), |sum, worker| {
            sum.plus(&worker.capacity)
        })
    }
}
