//! Shares of the queues of equal priority in the pool that they have in common: who has used more than its
//! share while others waited, and so ranks behind them.

use crate::remaining::arrived_ms;
use crate::{Effect, FlowState, Queue, QueueKey, Scheduler, StepState, TaskState};
use fair_share::{Amount, FairShares, QueueUse, Share, WINDOW_MS};
use model::{Resources, ServiceName};
use std::collections::BTreeMap;

/// Time between two observations of what the queues use, in milliseconds. One costs about as much as a third of
/// a pass, and a queue gets at most that time of the pool before its debt counts.
const OBSERVE_INTERVAL_MS: u64 = 100;
/// Longest time for which one observation counts, in milliseconds; passes may have stood still.
const MAX_OBSERVED_MS: u64 = 1_000;
/// Debt from which a queue is logged, in thousandths of its share.
const LOGGED_DEBT_MILLI: u64 = 1_000;
/// Most queues with metrics of their own.
pub const MAX_QUEUE_LABELS: usize = 10;
/// Name under which the metrics of all other queues are summed up. Names of queues contain a slash.
const OTHER: &str = "other";

/// Use of a queue, or of all that have no metrics of their own.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct QueueShare {
    /// Name of the queue, or `other`.
    pub queue: String,
    /// Mean part of its pool that it used within the window, in percent; the sum for `other`.
    pub share_percent: f64,
    /// Debt, in percent of its share; the largest for `other`.
    pub debt_percent: f64,
    /// Longest time for which one of its flows has been waiting of which no task has started, in
    /// milliseconds; recurring flows are left out.
    pub wait_ms: u64,
}

/// Use and debts of all queues, in the memory of the scheduler.
#[derive(Debug, Default)]
pub(crate) struct Shares {
    fair: FairShares,
    /// When the queues of each pool were last observed, in milliseconds.
    observed_ms: BTreeMap<ServiceName, u64>,
    /// When the last observation was tried, in milliseconds; `None` before the first.
    tried_ms: Option<u64>,
    /// Debts in thousandths of the share of the queue, as of the last observation; queues without debt are
    /// left out.
    debts_milli: BTreeMap<QueueKey, u64>,
    /// Queues whose debt was logged and is not paid, each with the time of the log line, in milliseconds.
    logged_ms: BTreeMap<QueueKey, u64>,
    /// Use of the queues as of the last observation, for metrics.
    views: Vec<QueueShare>,
}

/// What a queue uses now, and what its queued tasks need.
#[derive(Debug, Clone, Copy, Default)]
struct QueueDemand {
    used: Amount,
    queued: Amount,
    wait_ms: u64,
}

/// Workers of a pool.
#[derive(Debug, Clone, Copy, Default)]
struct PoolSize {
    total: Amount,
    /// The most of each resource that one worker has.
    largest: Resources,
}

impl Scheduler {
    /// Use of the queues as of the last observation: those with the highest use, and the sum of the others.
    /// Empty while the policy is off.
    ///
    /// ```
    /// assert!(flow::Scheduler::default().queue_shares().is_empty());
    /// ```
    pub fn queue_shares(&self) -> &[QueueShare] {
        &self.shares.views
    }

    /// Whether any queue has a debt.
    pub(crate) fn has_debts(&self) -> bool {
        !self.shares.debts_milli.is_empty()
    }

    /// Debt of a flow's queue, in thousandths of its share. Long-running flows have none: they keep their
    /// place in the order.
    pub(crate) fn debt_milli(&self, state: &FlowState) -> u64 {
        if !self.has_debts() || state.job.spec.is_long_running() {
            return 0;
        }
        let debt = self.shares.debts_milli.get(&state.job.queue);
        debt.copied().unwrap_or(0)
    }

    /// Observes what the queues use and wait for once a pass has placed what it could. The first observation
    /// of a pool counts for the whole window: placements that a former scheduler recorded stand for what it
    /// had observed.
    pub(crate) fn observe_shares_if_due(&mut self, now_ms: u64, wall_ms: u64) {
        let Some(policy) = &self.policies.fair_shares else {
            return;
        };
        let tried_ms = self.shares.tried_ms;
        if tried_ms.is_some_and(|tried_ms| now_ms < tried_ms + OBSERVE_INTERVAL_MS) {
            return;
        }
        let pools = self.pool_sizes();
        let demands = self.queue_demands(now_ms, wall_ms, &pools);
        let names: Vec<String> = self
            .config
            .queues
            .iter()
            .map(|queue| queue.key.to_string())
            .collect();
        let mut groups: BTreeMap<(&ServiceName, u32), Vec<QueueUse>> = BTreeMap::new();
        for ((queue, name), demand) in self.config.queues.iter().zip(&names).zip(&demands) {
            let Some(pool) = pools.get(&queue.service) else {
                continue;
            };
            let used = demand.used.dominant_share(&pool.total);
            let queued = demand.queued.dominant_share(&pool.total);
            let group = groups.entry((&queue.service, queue.priority)).or_default();
            group.push(QueueUse {
                queue: name,
                weight: policy.weight(name),
                demand: Share::new(used.get() + queued.get()),
                used,
            });
        }
        for ((service, _), uses) in &groups {
            let observed_ms = self.shares.observed_ms.get(service);
            let lasted_ms = observed_ms.map_or(WINDOW_MS, |observed_ms| {
                now_ms.saturating_sub(*observed_ms).min(MAX_OBSERVED_MS)
            });
            self.shares.fair.observe(now_ms, lasted_ms, uses);
        }
        let services = groups.into_keys().map(|(service, _)| service.clone());
        self.shares.observed_ms = services.map(|service| (service, now_ms)).collect();
        self.shares.tried_ms = Some(now_ms);
        self.update_debts(now_ms, &names);
        self.update_views(now_ms, &names, &demands);
    }

    /// Sizes of the pools that have known workers.
    fn pool_sizes(&self) -> BTreeMap<ServiceName, PoolSize> {
        let mut pools: BTreeMap<ServiceName, PoolSize> = BTreeMap::new();
        let infos = self.fleet.workers.values().map(|view| view.info.as_ref());
        for info in infos.flatten() {
            let pool = pools.entry(info.service.clone()).or_default();
            let capacity = &info.capacity;
            pool.total.add(capacity, 1);
            let largest = &mut pool.largest;
            largest.processors_milli = largest.processors_milli.max(capacity.processors_milli);
            largest.memory_mb = largest.memory_mb.max(capacity.memory_mb);
            largest.accelerators = largest.accelerators.max(capacity.accelerators);
        }
        pools
    }

    /// What each queue uses and waits for, in the order of the configuration. Long-running flows are left out:
    /// they don't take turns with others. Runs count by what they declare, fillers too.
    fn queue_demands(
        &self,
        now_ms: u64,
        wall_ms: u64,
        pools: &BTreeMap<ServiceName, PoolSize>,
    ) -> Vec<QueueDemand> {
        let queues = &self.config.queues;
        let mut demands = vec![QueueDemand::default(); queues.len()];
        for state in self.flows.values() {
            let number = queues.iter().position(|queue| queue.key == state.job.queue);
            let Some(number) = number.filter(|_| !state.job.spec.is_long_running()) else {
                continue;
            };
            let demand = &mut demands[number];
            demand.add_used(state);
            if state.is_closed() {
                continue;
            }
            demand.note_wait(now_ms, wall_ms, state);
            if let Some(pool) = pools.get(&queues[number].service) {
                demand.add_queued(now_ms, state, &pool.largest);
            }
        }
        demands
    }

    /// Updates the debts, and reports those that reach a whole share and those that are paid.
    fn update_debts(&mut self, now_ms: u64, names: &[String]) {
        self.shares.debts_milli.clear();
        for (Queue { key, .. }, name) in self.config.queues.iter().zip(names) {
            let debt_milli = (self.shares.fair.debt(now_ms, name) * 1_000.0) as u64;
            if debt_milli == 0 {
                continue;
            }
            self.shares.debts_milli.insert(key.clone(), debt_milli);
            if debt_milli < LOGGED_DEBT_MILLI || self.shares.logged_ms.contains_key(key) {
                continue;
            }
            self.shares.logged_ms.insert(key.clone(), now_ms);
            let share_percent = self.shares.fair.used(now_ms, name) * 100.0;
            self.effects.push(Effect::QueueInDebt {
                queue: name.clone(),
                debt_percent: debt_milli / 10,
                share_percent: share_percent.round() as u64,
            });
        }
        let debts = &self.shares.debts_milli;
        let effects = &mut self.effects;
        self.shares.logged_ms.retain(|key, logged_ms| {
            let is_open = debts.contains_key(key);
            if !is_open {
                effects.push(Effect::QueueDebtPaid {
                    queue: key.to_string(),
                    lasted_ms: now_ms.saturating_sub(*logged_ms),
                });
            }
            is_open
        });
    }

    /// Updates what metrics show of the queues that use or wait for anything.
    fn update_views(&mut self, now_ms: u64, names: &[String], demands: &[QueueDemand]) {
        let queues = self.config.queues.iter().zip(names).zip(demands);
        let mut views: Vec<QueueShare> = queues
            .map(|((queue, name), demand)| {
                let debt_milli = self.shares.debts_milli.get(&queue.key).copied();
                QueueShare {
                    queue: name.clone(),
                    share_percent: self.shares.fair.used(now_ms, name) * 100.0,
                    debt_percent: debt_milli.unwrap_or(0) as f64 / 10.0,
                    wait_ms: demand.wait_ms,
                }
            })
            .filter(|view| view.share_percent > 0.0 || view.debt_percent > 0.0 || view.wait_ms > 0)
            .collect();
        views.sort_by(|left, right| {
            let by_use = right.share_percent.total_cmp(&left.share_percent);
            by_use.then_with(|| left.queue.cmp(&right.queue))
        });
        if views.len() > MAX_QUEUE_LABELS {
            let others = views.split_off(MAX_QUEUE_LABELS);
            let first = QueueShare {
                queue: OTHER.to_owned(),
                ..QueueShare::default()
            };
            views.push(others.iter().fold(first, |sum, view| QueueShare {
                share_percent: sum.share_percent + view.share_percent,
                debt_percent: sum.debt_percent.max(view.debt_percent),
                wait_ms: sum.wait_ms.max(view.wait_ms),
                ..sum
            }));
        }
        self.shares.views = views;
    }
}

impl QueueDemand {
    /// Adds what the placed runs of a flow take, duplicates included.
    fn add_used(&mut self, state: &FlowState) {
        for occurrence in &state.occurrences {
            for (spec, step) in state.job.spec.steps.iter().zip(&occurrence.steps) {
                let placed = step.tasks.iter().map(|task| task.placements().count());
                self.used.add(&spec.need, placed.sum::<usize>() as u64);
            }
        }
    }

    /// Adds what the queued tasks of a flow need that could start now if there were room; those that no
    /// worker of the pool has room for never could.
    fn add_queued(&mut self, now_ms: u64, state: &FlowState, largest: &Resources) {
        for (occurrence, step) in state.ready_steps() {
            let spec = state.step_spec(step as u32);
            if let Some(spec) = spec.filter(|spec| spec.need.fits_in(largest)) {
                let step = &state.occurrences[occurrence].steps[step];
                self.queued.add(&spec.need, queued_count(now_ms, step));
            }
        }
    }

    /// Notes how long a flow has been waiting if none of its tasks has started.
    fn note_wait(&mut self, now_ms: u64, wall_ms: u64, state: &FlowState) {
        if !state.started && state.job.spec.schedule.is_none() {
            let arrived_ms = arrived_ms(now_ms, wall_ms, state, 0);
            self.wait_ms = self.wait_ms.max(now_ms.saturating_sub(arrived_ms));
        }
    }
}

/// Number of tasks of a ready step that wait for room: those that wait by choice for a worker near their data
/// are left out.
fn queued_count(now_ms: u64, step: &StepState) -> u64 {
    let never_placed = u64::from(step.count).saturating_sub(step.tasks.len() as u64);
    let is_waiting = |task: &&TaskState| task.is_queued() && now_ms >= task.not_before_ms;
    let again = step.tasks.iter().filter(is_waiting).count() as u64;
    let near = step.near_wait.as_ref();
    let by_choice = near
        .filter(|wait| now_ms <= wait.until_ms)
        .map_or(0, |wait| wait.tasks.len() as u64);
    (never_placed + again).saturating_sub(by_choice)
}
