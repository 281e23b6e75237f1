//! Evacuations: failure domains in which no task may start until the operator ends the evacuation.
//!
//! An evacuation is in force once the operator's request is stored, which the scheduler learns by reading.
//! So it starts nothing, in any domain, unless it has read the requests so recently that no bound can
//! have passed since; the lease in each start order ends at that time, too, so that a worker refuses an
//! order that arrives later.

use crate::view::WorkerView;
use crate::{DecisionKind, LeaseLimit, RunStage, Scheduler, StepState, TaskKey};
use model::{AgentId, DomainName, ServiceName};
use std::collections::{BTreeMap, BTreeSet};

/// Part of the bound that is reserved for the worker to start a run, in milliseconds.
const START_MARGIN_MS: u64 = 300;
/// Least time until the last start for which tasks are placed, in milliseconds. A placement is committed
/// before its start is sent.
const MIN_PLACING_MS: u64 = 700;

/// Requested evacuations, as last read.
#[derive(Debug, Default)]
pub(crate) struct Evacuations {
    /// When each evacuated domain was first seen as such, in milliseconds.
    pub since_ms: BTreeMap<DomainName, u64>,
    /// When the last answered read of the requests was sent, in milliseconds; `None` before the first.
    confirmed_ms: Option<u64>,
    /// When runs to move were last searched for, in milliseconds.
    pub searched_ms: u64,
    /// Run for which a worker was last searched, with the agent of its worker.
    pub searched_run: Option<(AgentId, TaskKey)>,
    /// Runs for which the last search found no room elsewhere, with the agents of their workers. Each search
    /// removes those that are not to be moved any more. No decision depends on it.
    pub without_room: BTreeSet<(AgentId, TaskKey)>,
}

/// Progress of one evacuation.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EvacuationProgress {
    /// The domain.
    pub domain: DomainName,
    /// When this scheduler first saw the request, in milliseconds.
    pub since_ms: u64,
    /// Workers of the domain.
    pub workers: usize,
    /// Runs that are placed on them.
    pub runs_left: usize,
}

impl Evacuations {
    fn includes(&self, domain: &DomainName) -> bool {
        self.since_ms.contains_key(domain)
    }

    /// Whether a worker is in an evacuated domain.
    pub(crate) fn includes_worker(&self, view: &WorkerView) -> bool {
        let info = view.info.as_ref();
        info.is_some_and(|info| self.includes(&info.domain))
    }
}

impl Scheduler {
    /// Sets the domains that are evacuated. Placements in a domain that is evacuated from now on are
    /// revoked unless their starts were sent.
    ///
    /// ```
    /// let mut scheduler = flow::Scheduler::default();
    /// scheduler.set_evacuations(1_000, &["d1".into()].into());
    /// assert_eq!(scheduler.evacuations()[0].domain, "d1".into());
    /// ```
    pub fn set_evacuations(&mut self, now_ms: u64, domains: &BTreeSet<DomainName>) {
        let since_ms = &mut self.evacuations.since_ms;
        since_ms.retain(|domain, _| domains.contains(domain));
        for domain in domains {
            since_ms.entry(domain.clone()).or_insert(now_ms);
        }
        self.revoke_unstarted(now_ms);
    }

    /// Records that the evacuations that are set were all that was requested at `at_ms`.
    ///
    /// ```
    /// let mut scheduler = flow::Scheduler::default();
    /// let evacuation_bound_ms = Some(5_000);
    /// scheduler.set_policies(flow::Policies { evacuation_bound_ms, ..Default::default() });
    /// assert_eq!(scheduler.starts_until_ms(), Some(0));
    /// scheduler.confirm_evacuations(1_000);
    /// assert!(scheduler.starts_until_ms() > Some(5_000));
    /// ```
    pub fn confirm_evacuations(&mut self, at_ms: u64) {
        let confirmed_ms = &mut self.evacuations.confirmed_ms;
        *confirmed_ms = (*confirmed_ms).max(Some(at_ms));
    }

    /// Time after which a run must not start by what is known of evacuations, in milliseconds; 0 if
    /// nothing is known. `None` if the deployment states no bound.
    pub fn starts_until_ms(&self) -> Option<u64> {
        let bound_ms = self.policies.evacuation_bound_ms?;
        let confirmed_ms = self.evacuations.confirmed_ms;
        Some(confirmed_ms.map_or(0, |at_ms| at_ms + bound_ms.saturating_sub(START_MARGIN_MS)))
    }

    /// Limit of the lease in an order to start a run. It ends when the run must not start any more, so that
    /// the worker refuses an order that arrives later.
    ///
    /// ```
    /// let limit = flow::LeaseLimit { until_ms: 9_000, slack_ms: 300 };
    /// assert_eq!(flow::Scheduler::default().start_lease_limit(limit), limit);
    /// ```
    pub fn start_lease_limit(&self, limit: LeaseLimit) -> LeaseLimit {
        let starts_until_ms = self.starts_until_ms().unwrap_or(u64::MAX);
        LeaseLimit {
            until_ms: limit.until_ms.min(starts_until_ms),
            ..limit
        }
    }

    /// Whether what is known of evacuations is recent enough to place tasks.
    pub(crate) fn is_evacuation_known(&self, now_ms: u64) -> bool {
        let until_ms = self.starts_until_ms();
        until_ms.is_none_or(|until_ms| now_ms + MIN_PLACING_MS <= until_ms)
    }

    /// Whether any domain is evacuated.
    pub(crate) fn has_evacuations(&self) -> bool {
        !self.evacuations.since_ms.is_empty()
    }

    /// Progress of each evacuation, ordered by domain.
    pub fn evacuations(&self) -> Vec<EvacuationProgress> {
        let progress = |(domain, since_ms): (&DomainName, &u64)| {
            let views = self.fleet.workers.values();
            let is_there = |view: &&WorkerView| {
                let info = view.info.as_ref();
                info.is_some_and(|info| info.domain == *domain)
            };
            let runs = views.filter(is_there).map(|view| view.allocations.len());
            let (workers, runs_left) =
                runs.fold((0, 0), |(workers, sum), runs| (workers + 1, sum + runs));
            EvacuationProgress {
                domain: domain.clone(),
                since_ms: *since_ms,
                workers,
                runs_left,
            }
        };
        self.evacuations.since_ms.iter().map(progress).collect()
    }

    /// Agents of the workers in these domains.
    pub fn agents_in(&self, domains: &BTreeSet<DomainName>) -> Vec<AgentId> {
        let in_domains = self.fleet.workers.iter().filter(|(_, view)| {
            let info = view.info.as_ref();
            info.is_some_and(|info| domains.contains(&info.domain))
        });
        in_domains.map(|(agent, _)| agent.clone()).collect()
    }

    /// Whether a pool has workers, all of them in evacuated domains.
    pub(crate) fn is_pool_evacuated(&self, service: &ServiceName) -> bool {
        let infos = self.fleet.workers.values();
        let infos = infos.filter_map(|view| view.info.as_ref());
        let mut pool = infos.filter(|info| info.service == *service).peekable();
        pool.peek().is_some() && pool.all(|info| self.evacuations.includes(&info.domain))
    }

    /// Runs that are placed on workers of evacuated domains, ordered by worker.
    pub(crate) fn runs_in_evacuated(&self) -> Vec<(AgentId, TaskKey)> {
        if !self.has_evacuations() {
            return Vec::new();
        }
        let workers = self.fleet.workers.iter();
        let evacuated = workers.filter(|(_, view)| self.evacuations.includes_worker(view));
        let runs = evacuated.flat_map(|(agent, view)| {
            let keys = view.allocations.keys();
            keys.map(|key| (agent.clone(), key.clone()))
        });
        runs.collect()
    }

    /// Revokes the placements in evacuated domains whose starts were not sent.
    fn revoke_unstarted(&mut self, now_ms: u64) {
        for (agent, key) in self.runs_in_evacuated() {
            let task = self.task(&key);
            let placement = task.and_then(|task| task.placement_on(&agent));
            if let Some(placement) = placement.filter(|one| one.stage == RunStage::Uncommitted) {
                let run = placement.run;
                self.revoke_start(now_ms, &agent, &key, run);
            }
        }
    }

    /// Takes back the placement of a run whose start was not sent. The other members of its gang are queued
    /// again or stopped, as they would wait for it in vain.
    fn revoke_start(&mut self, now_ms: u64, agent: &AgentId, key: &TaskKey, run: u32) {
        let detail = "its failure domain is evacuated";
        self.log_decision(DecisionKind::Revoked, key, run, agent, detail);
        self.requeue(now_ms, key, run, now_ms);
        if !self.step_spec(key).is_some_and(|spec| spec.gang) {
            return;
        }
        for member in self.placed_siblings(key) {
            let Some(placement) = self.placement(&member).cloned() else {
                continue;
            };
            let run = placement.run;
            match placement.stage {
                RunStage::Uncommitted => self.requeue(now_ms, &member, run, now_ms),
                RunStage::Stopping { .. } => {}
                RunStage::Ordered | RunStage::Unconfirmed | RunStage::Running { .. } => {
                    self.stop_run(now_ms, &member, run, &placement);
                }
            }
        }
    }

    /// Placed tasks of the step of a task.
    fn placed_siblings(&self, key: &TaskKey) -> Vec<TaskKey> {
        let step = self.flows.get(&key.job).and_then(|state| state.step(key));
        let tasks = step.into_iter().flat_map(StepState::all_tasks);
        let placed = tasks.filter(|(_, task)| task.placement.is_some());
        placed
            .map(|(index, _)| TaskKey {
                index,
                ..key.clone()
            })
            .collect()
    }
}
