//! Evacuations: failure domains in which no task may start until the operator ends the evacuation.
//!
//! An evacuation is in force once the operator's request is stored, which the scheduler learns by reading.
//! So it starts nothing, in any domain, unless it has read the requests so recently that no bound can
//! have passed since; the lease in each start order ends at that time, too, so that a worker refuses an
//! order that arrives later.

use crate::candidate::Candidate;
use crate::view::WorkerView;
use crate::{
    DecisionKind, LeaseLimit, RunStage, Scheduler, StepSpec, StepState, TaskKey, TaskState,
};
use model::{AgentId, DomainName, ServiceName};
use std::collections::{BTreeMap, BTreeSet};

/// Part of the bound that is reserved for the worker to start a run, in milliseconds.
const START_MARGIN_MS: u64 = 300;
/// Least time until the last start for which tasks are placed, in milliseconds. A placement is committed
/// before its start is sent.
const MIN_PLACING_MS: u64 = 700;
/// Age of an evacuation from which runs are moved, in milliseconds. A request that is taken back at once
/// moves nothing.
const MOVE_AFTER_MS: u64 = 5_000;
/// Remaining run time from which a run that saves its progress is moved, in milliseconds; others end
/// soon.
const MIN_MOVED_MS: u64 = 10_000;
/// Interval between two searches for runs to move, in milliseconds.
const SEARCH_INTERVAL_MS: u64 = 200;
/// Greatest number of moves in one search, so that the other workers' reports catch up.
const MAX_MOVES: usize = 8;
/// Greatest number of runs for which a worker is searched at once.
const MAX_SEARCHES: usize = 32;
/// Least time between two new runs on a worker that is slow after its start, in milliseconds.
const COLD_RUN_INTERVAL_MS: u64 = 500;
/// Progress that a long-running task reports once it does its work, in percent.
const READY_PERCENT: u32 = 100;
/// Full pace of a run, in percent.
const FULL_PACE_PERCENT: u64 = 100;

/// Requested evacuations, as last read.
#[derive(Debug, Default)]
pub(crate) struct Evacuations {
    /// When each evacuated domain was first seen as such, in milliseconds.
    since_ms: BTreeMap<DomainName, u64>,
    /// When the last answered read of the requests was sent, in milliseconds; `None` before the first.
    confirmed_ms: Option<u64>,
    /// When runs to move were last searched for, in milliseconds.
    searched_ms: u64,
    /// Run for which a worker was last searched, with the agent of its worker.
    searched_run: Option<(AgentId, TaskKey)>,
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

/// Whether a worker that may be slow after its start accepts a new run now.
pub(crate) fn is_warm_enough(now_ms: u64, view: &WorkerView) -> bool {
    let allocations = view.allocations.values();
    let newest_ms = allocations.map(|allocation| allocation.since_ms).max();
    let has_settled = newest_ms.is_none_or(|newest_ms| now_ms >= newest_ms + COLD_RUN_INTERVAL_MS);
    now_ms >= view.cold_until_ms || has_settled
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

    /// Records that a worker whose failure domain returned to service is slow until `until_ms`. It gets one
    /// new run after the other until then.
    ///
    /// ```
    /// let mut scheduler = flow::Scheduler::default();
    /// scheduler.set_cold(&"a".into(), 5_000);
    /// assert_eq!(scheduler.worker(&"a".into()).unwrap().cold_until_ms, 5_000);
    /// ```
    pub fn set_cold(&mut self, agent: &AgentId, until_ms: u64) {
        self.worker_mut(agent).cold_until_ms = until_ms;
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
    fn runs_in_evacuated(&self) -> Vec<(AgentId, TaskKey)> {
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

    /// Moves runs out of evacuated domains for which other workers have room; none if they were
    /// searched for a moment ago. What does not fit elsewhere stays.
    pub(crate) fn move_evacuated(
        &mut self,
        now_ms: u64,
        candidates: &mut [(ServiceName, Candidate)],
    ) {
        let is_due = now_ms >= self.evacuations.searched_ms + SEARCH_INTERVAL_MS;
        if !is_due || !self.has_evacuations() {
            return;
        }
        self.evacuations.searched_ms = now_ms;
        let (mut moves, mut searches) = (0, 0);
        let due = self.due_evacuation_moves(now_ms);
        // The searches go on where the last ones ended, as the first runs may fit nowhere.
        let after = self.evacuations.searched_run.take();
        let begin = due.partition_point(|run| after.as_ref().is_some_and(|after| run <= after));
        for (agent, key) in due[begin..].iter().chain(&due[..begin]) {
            if moves == MAX_MOVES || searches == MAX_SEARCHES {
                return;
            }
            // An earlier move of this search may have used up the disruption budget of the step.
            if !self.is_evacuation_move_due(now_ms, agent, key) {
                continue;
            }
            searches += 1;
            self.evacuations.searched_run = Some((agent.clone(), key.clone()));
            let percent = self.placement(key).map_or(0, |placement| placement.percent);
            let detail = format!("its failure domain is evacuated; progress {percent}%");
            if self.move_run(now_ms, key, detail, candidates) {
                moves += 1;
            }
        }
    }

    /// Runs in evacuated domains that should go on elsewhere, ordered by worker.
    fn due_evacuation_moves(&self, now_ms: u64) -> Vec<(AgentId, TaskKey)> {
        let mut due = self.runs_in_evacuated();
        due.retain(|(agent, key)| self.is_evacuation_move_due(now_ms, agent, key));
        due
    }

    /// Whether a run in an evacuated domain should go on elsewhere. A task with a duplicate runs elsewhere
    /// already.
    fn is_evacuation_move_due(&self, now_ms: u64, agent: &AgentId, key: &TaskKey) -> bool {
        let (Some(state), Some(spec)) = (self.flows.get(&key.job), self.step_spec(key)) else {
            return false;
        };
        let task = state.task(key).filter(|task| task.duplicate.is_none());
        let Some(placement) = task.and_then(|task| task.placement_on(agent)) else {
            return false;
        };
        let since_ms = self.fleet.workers.get(&placement.agent).and_then(|view| {
            let info = view.info.as_ref()?;
            self.evacuations.since_ms.get(&info.domain)
        });
        let is_old = since_ms.is_some_and(|since_ms| now_ms >= since_ms + MOVE_AFTER_MS);
        if !is_old || !matches!(placement.stage, RunStage::Running { .. }) || spec.gang {
            return false;
        }
        if spec.long_running {
            return self.may_interrupt(key, spec);
        }
        let left_percent = u64::from(100 - placement.percent.min(100));
        let pace = u64::from(placement.pace.max(1));
        let run_ms = self.run_time_ms(state, key.step);
        let left_ms = run_ms * left_percent / 100 * FULL_PACE_PERCENT / pace;
        spec.saves_progress && left_ms >= MIN_MOVED_MS
    }

    /// Whether the disruption budget of a step allows to interrupt one of its long-running tasks; tasks
    /// that are not at work for any reason count against it.
    fn may_interrupt(&self, key: &TaskKey, spec: &StepSpec) -> bool {
        let Some(budget) = spec.disruption_budget else {
            return false;
        };
        let step = self.flows.get(&key.job).and_then(|state| state.step(key));
        let is_at_work = |task: &TaskState| {
            let placement = task.placement.as_ref();
            placement.is_some_and(|placement| {
                let view = self.fleet.workers.get(&placement.agent);
                matches!(placement.stage, RunStage::Running { .. })
                    && placement.percent >= READY_PERCENT
                    && view.is_some_and(WorkerView::is_synced)
            })
        };
        let at_work = step.map_or(0, |step| {
            let tasks = step.all_tasks();
            tasks.filter(|(_, task)| is_at_work(task)).count() as u32
        });
        spec.tasks.saturating_sub(at_work) < budget
    }
}
