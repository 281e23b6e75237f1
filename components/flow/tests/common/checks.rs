//! Invariants that the simulation checks at every step.

use super::{ModelWorker, Sim};
use flow::{FlowState, TaskKey};
use model::AgentId;
use std::collections::{BTreeMap, BTreeSet};

/// Failed runs of a task that the only queue allows.
const MAX_ATTEMPTS: u32 = 3;

impl Sim {
    /// Checks the invariants: no task runs on two workers, or on more than two where duplicates are
    /// allowed, steps run in order, `max_per_worker` is kept, and a flow whose runs all fail is started
    /// at most three times per task.
    pub(super) fn check_invariants(&self) {
        let mut seen: BTreeMap<&TaskKey, Vec<&AgentId>> = BTreeMap::new();
        for (agent, worker) in &self.workers {
            for key in worker.running.keys() {
                let agents = seen.entry(key).or_default();
                agents.push(agent);
                let most = if self.may_have_duplicate(key) { 2 } else { 1 };
                assert!(agents.len() <= most, "{key} runs on {agents:?}");
                self.check_order(key);
                self.check_max_per_worker(key, worker);
            }
        }
        self.check_placements();
        for (job, starts) in &self.starts {
            if self.always_failing.contains(job) {
                let tasks: u32 = self.jobs[job]
                    .spec
                    .steps
                    .iter()
                    .map(|step| step.tasks)
                    .sum();
                assert!(*starts <= tasks * 3, "{job} was started {starts} times");
            }
        }
    }

    /// Checks what the scheduler holds of each task: a duplicate beside a placement only, on another
    /// worker and with a higher number; an allocation for each placement; no more failed runs than the
    /// queue allows.
    fn check_placements(&self) {
        let tasks = self.scheduler.flows().flat_map(FlowState::tasks);
        for (key, task) in tasks {
            let runs: Vec<u32> = task.placements().map(|placement| placement.run).collect();
            assert!(runs.is_sorted_by(|first, second| first < second), "{key}");
            assert!(runs.iter().all(|run| *run <= task.run), "{key}: {runs:?}");
            assert!(task.duplicate.is_none() || runs.len() == 2, "{key}");
            let agents: BTreeSet<&AgentId> = task.placements().map(|run| &run.agent).collect();
            assert_eq!(
                agents.len(),
                runs.len(),
                "{key} is placed twice on a worker"
            );
            for placement in task.placements() {
                let view = self.scheduler.worker(&placement.agent).unwrap();
                let allocation = view.allocations.get(&key);
                let run = allocation.map(|allocation| allocation.run);
                assert_eq!(run, Some(placement.run), "{key} on {}", placement.agent);
            }
            assert!(task.failures <= MAX_ATTEMPTS || self.spec(&key).long_running);
        }
    }

    /// Whether two runs of a task may be in progress at once.
    fn may_have_duplicate(&self, key: &TaskKey) -> bool {
        self.policies.duplicates && self.spec(key).duplicates_allowed
    }

    pub(super) fn check_order(&self, key: &TaskKey) {
        let Some(flow) = self.scheduler.flow(&key.job) else {
            return;
        };
        let is_ready = flow.is_step_ready(key.occurrence as usize, key.step as usize);
        assert!(
            is_ready,
            "{key} runs before the steps it depends on are done"
        );
    }

    pub(super) fn check_max_per_worker(&self, key: &TaskKey, worker: &ModelWorker) {
        let spec = self.spec(key);
        let siblings = worker.running.keys();
        let siblings = siblings.filter(|other| other.job == key.job && other.step == key.step);
        let limit = spec.max_per_worker.unwrap_or(u32::MAX);
        assert!(
            siblings.count() as u32 <= limit,
            "{key} exceeds max_per_worker"
        );
    }
}
