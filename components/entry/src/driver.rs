//! Drives the shards that this entry owns: placement, commits, orders to agents.

use crate::control::Control;
use crate::messages::{Ends, StoreHealth};
use actix::{Addr, AsyncContext, Context, Handler, Message};
use batch::{
    CommitPlan, Effect, Kinds, LeaseWatch, PlaceLimits, PlacementOrder, Placer, Settled, Shard,
    TeamUsage, Workers, shard_key,
};
use model::AgentId;
use platform::{
    AttemptRef, AttemptStatus, HttpRuntime, HttpTable, Row, StopMode, StoreError, TableStore,
    Transaction, WorkerRuntime,
};
use settings::EntrySettings;
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;
use telemetry::{Event, log_event};
use utils::{Backoff, Map};
use wire::{AdoptShard, AgentLink, AttemptEnd, EndKind, StartOrder, StartResult, StopOrder};

/// Time between two rounds of placement and commits.
const ROUND: Duration = Duration::from_millis(50);
/// Time between two looks for orders that are due.
const ORDERS_EVERY: Duration = Duration::from_millis(500);
/// Time for an order to an agent.
const ORDER_TIMEOUT: Duration = Duration::from_millis(1_000);
/// Commits that one shard's backlog may grow ahead of, so that placement keeps pace with writes.
const BACKLOG_COMMITS: usize = 2;
/// Limits of the pause after a commit that failed, in milliseconds.
const RETRY_MS: (u64, u64) = (100, 2_000);
/// Time between two readings of an own shard's jobs.
const POLL_JOBS_EVERY: Duration = Duration::from_millis(5_000);
/// Share of a shard's lease after which it is renewed.
const RENEW_SHARE: u64 = 3;

/// What drives the shards that this entry owns.
pub(crate) struct Driver {
    pub table: Rc<HttpTable>,
    pub runtime: Rc<HttpRuntime>,
    pub watch: LeaseWatch,
    pub shards: BTreeMap<u16, Shard>,
    pub workers: Workers,
    pub usage: TeamUsage,
    pub kinds: Kinds,
    /// When each shard's last commit was sent.
    sent_ms: Map<u16, u64>,
    /// Pauses after failed commits, and when each is over.
    pauses: Map<u16, (Backoff, u64)>,
}

impl Driver {
    pub fn new(settings: &EntrySettings) -> Self {
        let platform = &settings.platform;
        Self {
            table: Rc::new(HttpTable::new(&platform.url, platform.timeout_ms)),
            runtime: Rc::new(HttpRuntime::new(&platform.url, platform.timeout_ms)),
            watch: LeaseWatch::new(settings.batch.shards, settings.batch.shard_lease_ms),
            shards: BTreeMap::new(),
            workers: Workers::default(),
            usage: TeamUsage::default(),
            kinds: Kinds::default(),
            sent_ms: Map::default(),
            pauses: Map::default(),
        }
    }

    fn is_paused(&self, now_ms: u64, shard: u16) -> bool {
        self.pauses
            .get(&shard)
            .is_some_and(|(_, until_ms)| now_ms < *until_ms)
    }
}

/// Outcome of a commit.
#[derive(Message)]
#[rtype(result = "()")]
struct Committed {
    shard: u16,
    epoch: u64,
    result: Result<u64, StoreError>,
}

/// Outcome of reading a lease after an answer was lost.
#[derive(Message)]
#[rtype(result = "()")]
struct LeaseRead {
    shard: u16,
    epoch: u64,
    row: Result<Option<Row>, StoreError>,
}

/// Answers of an agent to start orders.
#[derive(Message)]
#[rtype(result = "()")]
struct OrdersAnswered {
    agent: AgentId,
    attempts: Vec<AttemptRef>,
    results: Vec<StartResult>,
}

impl Control {
    /// Starts the driver's timers.
    pub(crate) fn start_driver(&mut self, context: &mut Context<Self>) {
        context.run_interval(ROUND, super::control::Control::round);
        context.run_interval(ORDERS_EVERY, |control, context| {
            control.send_due_orders(context);
        });
        context.run_interval(POLL_JOBS_EVERY, |control, context| {
            let own: Vec<u16> = control.driver.shards.keys().copied().collect();
            for shard in own {
                control.poll_jobs(shard, context);
            }
        });
        self.start_leases(context);
    }

    /// One round of placement and commits.
    pub(crate) fn round(&mut self, context: &mut Context<Self>) {
        if self.driver.shards.is_empty() {
            return;
        }
        self.place();
        self.commit_all(context);
    }

    fn place(&mut self) {
        let now_ms = self.clock.now_ms();
        let max_backlog = self.settings.batch.max_rows * BACKLOG_COMMITS;
        if self.is_leaving() {
            return;
        }
        let Driver {
            shards,
            workers,
            usage,
            kinds,
            ..
        } = &mut self.driver;
        let mut open: Vec<&mut Shard> = shards
            .values_mut()
            .filter(|shard| shard.backlog() < max_backlog && !shard.is_released())
            .collect();
        let mut placer = Placer {
            workers,
            usage,
            kinds,
            config: &self.config,
            order: PlacementOrder::ShortestFirst,
        };
        let limits = PlaceLimits {
            max_tasks: max_backlog,
        };
        let placed = placer.place(now_ms, &mut open, limits, &mut self.rng);
        self.metrics.placements.inc_by(placed as u64);
    }

    fn commit_all(&mut self, context: &mut Context<Self>) {
        let now_ms = self.clock.now_ms();
        let batch = self.settings.batch.clone();
        let ids: Vec<u16> = self.driver.shards.keys().copied().collect();
        for id in ids {
            let last_ms = self.driver.sent_ms.get(&id).copied().unwrap_or(0);
            let is_paced = now_ms < last_ms + batch.commit_interval_ms;
            let paused = self.driver.is_paused(now_ms, id);
            let Some(shard) = self.driver.shards.get_mut(&id) else {
                continue;
            };
            let is_full = shard.backlog() >= batch.max_rows;
            if paused || (is_paced && !is_full && !shard.has_urgent()) {
                continue;
            }
            let renew_ms = batch.shard_lease_ms / RENEW_SHARE;
            let Some(plan) = shard.next_commit(now_ms, batch.max_rows, renew_ms) else {
                continue;
            };
            let (txn, epoch) = (plan.txn.clone(), plan.row.epoch);
            self.driver.sent_ms.insert(id, now_ms);
            self.send_commit(context.address(), id, epoch, txn);
        }
    }

    fn send_commit(&self, control: Addr<Self>, shard: u16, epoch: u64, txn: Transaction) {
        let table = self.driver.table.clone();
        self.metrics.commits.inc();
        actix_rt::spawn(async move {
            let result = table.commit(&txn).await;
            control.do_send(Committed {
                shard,
                epoch,
                result,
            });
        });
    }

    fn read_lease(&self, control: Addr<Self>, shard: u16, epoch: u64) {
        let table = self.driver.table.clone();
        actix_rt::spawn(async move {
            let rows = table.read(&[shard_key(shard)]).await;
            let row = rows.map(|rows| rows.into_iter().next());
            control.do_send(LeaseRead { shard, epoch, row });
        });
    }

    /// Sends the commit in flight again, or reads the lease again, after a pause.
    fn retry_later(&mut self, shard: u16, epoch: u64, read: bool, context: &mut Context<Self>) {
        let (first_ms, limit_ms) = RETRY_MS;
        let fresh = || (Backoff::new(first_ms, limit_ms), 0);
        let (backoff, _) = self.driver.pauses.entry(shard).or_insert_with(fresh);
        let delay_ms = backoff.next_delay_ms(&mut self.rng);
        context.run_later(Duration::from_millis(delay_ms), move |control, context| {
            let current = control
                .driver
                .shards
                .get(&shard)
                .filter(|s| s.epoch() == epoch);
            let Some(plan) = current.and_then(Shard::in_flight) else {
                return;
            };
            let txn = plan.txn.clone();
            if read {
                control.read_lease(context.address(), shard, epoch);
            } else {
                control.send_commit(context.address(), shard, epoch, txn);
            }
        });
    }

    fn on_committed(&mut self, shard: u16, version: u64, context: &mut Context<Self>) {
        self.driver.pauses.remove(&shard);
        let now_ms = self.clock.now_ms();
        let Some(state) = self.driver.shards.get_mut(&shard) else {
            return;
        };
        let effects = state.on_committed(now_ms, version);
        let released = state.is_released();
        self.carry_out_effects(shard, effects, context);
        if released {
            self.drop_shard(shard);
        }
    }

    /// Forgets a shard that another entry owns or may take.
    pub(crate) fn drop_shard(&mut self, shard: u16) {
        let Some(state) = self.driver.shards.remove(&shard) else {
            return;
        };
        state.return_usage(&mut self.driver.usage);
        self.driver.pauses.remove(&shard);
        self.metrics.shards.set(self.driver.shards.len() as i64);
        log_event!(info, Event::ShardLost, shard, entry = %self.settings.id);
    }

    fn send_due_orders(&mut self, context: &mut Context<Self>) {
        let now_ms = self.clock.now_ms();
        let ids: Vec<u16> = self.driver.shards.keys().copied().collect();
        for id in ids {
            let members = &self.members;
            let unheard = |agent: &AgentId| members.unheard_ms(now_ms, agent);
            let Some(shard) = self.driver.shards.get_mut(&id) else {
                continue;
            };
            let effects = shard.due_orders(now_ms, unheard);
            self.carry_out_effects(id, effects, context);
        }
    }

    fn owner_message(&self, shard: u16) -> Option<AdoptShard> {
        let epoch = self.driver.shards.get(&shard)?.epoch();
        let shards = self.settings.batch.shards;
        Some(AdoptShard {
            shard,
            shards,
            epoch,
            owner: self.settings.control_listen,
        })
    }

    /// Tells an agent which shards this entry owns.
    pub(crate) fn adopt_on(&self, agent: &AgentId, _: &mut Context<Self>) {
        let owners: Vec<AdoptShard> = self
            .driver
            .shards
            .keys()
            .filter_map(|shard| self.owner_message(*shard))
            .collect();
        let Some(link) = self.links.get(agent).filter(|_| !owners.is_empty()) else {
            return;
        };
        actix_rt::spawn(async move {
            let call = link.call(ORDER_TIMEOUT, |client, context| async move {
                client.adopt_shards(context, owners).await
            });
            drop(call.await);
        });
    }

    fn carry_out_effects(&mut self, shard: u16, effects: Vec<Effect>, context: &mut Context<Self>) {
        let mut starts: Map<AgentId, Vec<StartOrder>> = Map::default();
        let mut stops: Map<AgentId, Vec<StopOrder>> = Map::default();
        let mut confirms: Map<AgentId, Vec<AttemptRef>> = Map::default();
        for effect in effects {
            match effect {
                Effect::Start(agent, order) => starts.entry(agent).or_default().push(order),
                Effect::Stop(agent, order) => stops.entry(agent).or_default().push(order),
                Effect::Confirm(agent, end) => confirms.entry(agent).or_default().push(end),
                Effect::Recover(agent, attempt) => self.recover(agent, attempt, context),
                Effect::JobEnded(status) => {
                    log_event!(info, Event::JobEnded, job = %status.id, succeeded = status.succeeded, failed = status.failed);
                }
            }
        }
        let Some(owner) = self.owner_message(shard) else {
            return;
        };
        for (agent, orders) in starts {
            if let Some(link) = self.links.get(&agent) {
                send_starts(context.address(), link, agent, owner, orders);
            }
        }
        for (agent, orders) in stops {
            if let Some(link) = self.links.get(&agent) {
                send_stops(link, owner, orders);
            }
        }
        for (agent, ends) in confirms {
            if let Some(link) = self.links.get(&agent) {
                send_confirms(link, ends);
            }
        }
    }

    /// Stops an attempt through the platform, because its agent is gone.
    fn recover(&self, agent: AgentId, attempt: AttemptRef, context: &mut Context<Self>) {
        log_event!(warn, Event::TaskLost, task = %attempt.task, agent = %agent);
        let (runtime, control) = (self.driver.runtime.clone(), context.address());
        actix_rt::spawn(async move {
            let Ok(status) = runtime.stop(&agent, &attempt, StopMode::Checkpoint).await else {
                return;
            };
            let Some(kind) = recovered_kind(status) else {
                return;
            };
            let peak = model::Resources::default();
            let ends = vec![AttemptEnd {
                attempt,
                kind,
                peak,
                run_ms: 0,
            }];
            control.do_send(Ends { agent, ends });
        });
    }
}

/// How an attempt ended, by the status that the platform told for it.
fn recovered_kind(status: AttemptStatus) -> Option<EndKind> {
    match status {
        AttemptStatus::Running => None,
        AttemptStatus::Succeeded => Some(EndKind::Succeeded),
        AttemptStatus::Failed => Some(EndKind::Failed),
        AttemptStatus::Checkpointed => Some(EndKind::Checkpointed),
        AttemptStatus::Stopped | AttemptStatus::Lapsed => Some(EndKind::Stopped),
    }
}

fn send_starts(
    control: Addr<Control>,
    link: AgentLink,
    agent: AgentId,
    owner: AdoptShard,
    orders: Vec<StartOrder>,
) {
    actix_rt::spawn(async move {
        let attempts: Vec<AttemptRef> = orders.iter().map(|order| order.attempt.clone()).collect();
        let call = link.call(ORDER_TIMEOUT, |client, context| async move {
            client.start_attempts(context, owner, orders).await
        });
        if let Ok(results) = call.await {
            control.do_send(OrdersAnswered {
                agent,
                attempts,
                results,
            });
        }
    });
}

fn send_stops(link: AgentLink, owner: AdoptShard, orders: Vec<StopOrder>) {
    actix_rt::spawn(async move {
        let call = link.call(ORDER_TIMEOUT, |client, context| async move {
            client.stop_attempts(context, owner, orders).await
        });
        drop(call.await);
    });
}

fn send_confirms(link: AgentLink, ends: Vec<AttemptRef>) {
    actix_rt::spawn(async move {
        let call = link.call(ORDER_TIMEOUT, |client, context| async move {
            client.confirm_ends(context, ends).await
        });
        drop(call.await);
    });
}

impl Handler<Committed> for Control {
    type Result = ();

    fn handle(&mut self, done: Committed, context: &mut Self::Context) {
        let current = self.driver.shards.get(&done.shard).map(Shard::epoch);
        if current != Some(done.epoch) {
            return;
        }
        match done.result {
            Ok(version) => self.on_committed(done.shard, version, context),
            Err(StoreError::Conflict { .. }) => {
                self.read_lease(context.address(), done.shard, done.epoch);
            }
            Err(StoreError::Invalid(reason)) => {
                telemetry::tracing::error!(
                    shard = done.shard,
                    reason,
                    "the table refused a commit"
                );
                self.drop_shard(done.shard);
            }
            Err(StoreError::Unknown(_)) => {
                context.notify(StoreHealth { up: false });
                self.retry_later(done.shard, done.epoch, true, context);
            }
            Err(StoreError::Unavailable(_)) => {
                context.notify(StoreHealth { up: false });
                self.retry_later(done.shard, done.epoch, false, context);
            }
        }
    }
}

impl Handler<LeaseRead> for Control {
    type Result = ();

    fn handle(&mut self, read: LeaseRead, context: &mut Self::Context) {
        let current = self
            .driver
            .shards
            .get(&read.shard)
            .filter(|s| s.epoch() == read.epoch);
        let Some(plan) = current.and_then(Shard::in_flight) else {
            return;
        };
        let row = match &read.row {
            Ok(row) => row.as_ref(),
            Err(_) => return self.retry_later(read.shard, read.epoch, true, context),
        };
        match CommitPlan::settle(plan, read.shard, row) {
            Settled::Committed(version) => {
                log_event!(
                    info,
                    Event::CommitSettled,
                    shard = read.shard,
                    committed = true
                );
                self.on_committed(read.shard, version, context);
            }
            Settled::SendAgain => {
                log_event!(
                    info,
                    Event::CommitSettled,
                    shard = read.shard,
                    committed = false
                );
                let txn = plan.txn.clone();
                self.send_commit(context.address(), read.shard, read.epoch, txn);
            }
            Settled::Lost => self.drop_shard(read.shard),
        }
    }
}

impl Handler<OrdersAnswered> for Control {
    type Result = ();

    fn handle(&mut self, answered: OrdersAnswered, _: &mut Self::Context) {
        let shards = self.settings.batch.shards;
        for (attempt, result) in answered.attempts.iter().zip(answered.results) {
            let driver = &mut self.driver;
            let Some(shard) = driver.shards.get_mut(&attempt.task.job.shard(shards)) else {
                continue;
            };
            match result {
                StartResult::Accepted => {
                    shard.on_accepted(&answered.agent, attempt, &mut driver.workers);
                }
                StartResult::Refused => {
                    let (workers, usage) = (&mut driver.workers, &mut driver.usage);
                    shard.on_refused(&answered.agent, attempt, workers, usage);
                }
                StartResult::StaleOwner => {}
            }
        }
    }
}

impl Handler<Ends> for Control {
    type Result = ();

    fn handle(&mut self, message: Ends, context: &mut Self::Context) {
        let now_ms = self.clock.now_ms();
        let shards = self.settings.batch.shards;
        let mut confirms: BTreeMap<u16, Vec<Effect>> = BTreeMap::new();
        for end in &message.ends {
            let id = end.attempt.task.job.shard(shards);
            let driver = &mut self.driver;
            let Some(shard) = driver.shards.get_mut(&id) else {
                continue;
            };
            let was_quarantined = driver
                .workers
                .get(&message.agent)
                .is_some_and(|worker| worker.is_quarantined(now_ms));
            let effect = shard.on_end(
                now_ms,
                &message.agent,
                end,
                &mut driver.workers,
                &mut driver.usage,
                &mut driver.kinds,
            );
            let is_quarantined = driver
                .workers
                .get(&message.agent)
                .is_some_and(|worker| worker.is_quarantined(now_ms));
            if is_quarantined && !was_quarantined {
                log_event!(warn, Event::WorkerQuarantined, agent = %message.agent);
            }
            confirms.entry(id).or_default().extend(effect);
        }
        for (shard, effects) in confirms {
            self.carry_out_effects(shard, effects, context);
        }
    }
}
