//! Group commits of the shards that this entry owns, and their retries.

use crate::control::Control;
use crate::messages::StoreHealth;
use actix::{Addr, AsyncContext, Context, Handler, Message};
use backing::{Row, StoreError, TableStore, Transaction};
use batch::{CommitOutcome, CommitPlan, Shard, shard_key};
use std::time::Duration;
use telemetry::{Event, log_event};
use utils::Backoff;

/// Minimum and maximum backoff after a failed commit, in milliseconds.
const RETRY_MS: (u64, u64) = (100, 2_000);
/// A shard's lease is renewed after 1/n of its duration.
const RENEW_DIVISOR: u64 = 3;

impl Control {
    /// Sends a commit for each shard that has one due: once per commit interval, earlier if the
    /// backlog fills a commit or a write is urgent.
    pub(crate) fn commit_shards(&mut self, context: &mut Context<Self>) {
        let now_ms = self.clock.now_ms();
        let settings = self.settings.batch.clone();
        let ids: Vec<u16> = self.batch.shards.keys().copied().collect();
        for id in ids {
            let last_ms = self.batch.commit_sent_ms.get(&id).copied().unwrap_or(0);
            let is_paced = now_ms < last_ms + settings.commit_interval_ms;
            let paused = self.batch.is_paused(now_ms, id);
            let Some(shard) = self.batch.shards.get_mut(&id) else {
                continue;
            };
            let is_full = shard.backlog() >= settings.max_rows;
            if paused || (is_paced && !is_full && !shard.has_urgent()) {
                continue;
            }
            let renew_ms = settings.shard_lease_ms / RENEW_DIVISOR;
            let Some(plan) =
                shard.next_commit(now_ms, utils::wall_ms(), settings.max_rows, renew_ms)
            else {
                continue;
            };
            let (txn, epoch) = (plan.txn.clone(), plan.row.epoch);
            self.batch.commit_sent_ms.insert(id, now_ms);
            self.send_commit(context.address(), id, epoch, txn);
        }
    }

    fn send_commit(&self, control: Addr<Self>, shard: u16, epoch: u64, txn: Transaction) {
        let table = self.batch.table.clone();
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

    /// Reads a shard's lease row, which shows whether a commit took effect.
    fn read_lease(&self, control: Addr<Self>, shard: u16, epoch: u64) {
        let table = self.batch.table.clone();
        actix_rt::spawn(async move {
            let rows = table.read(&[shard_key(shard)]).await;
            let row = rows.map(|rows| rows.into_iter().next());
            control.do_send(LeaseRead { shard, epoch, row });
        });
    }

    /// Repeats the commit in flight, or the read of the lease if `reread_lease` is set, after a
    /// backoff. Does nothing if the shard or its epoch has changed by then.
    fn retry_later(
        &mut self,
        shard: u16,
        epoch: u64,
        reread_lease: bool,
        context: &mut Context<Self>,
    ) {
        let (first_ms, limit_ms) = RETRY_MS;
        let new_pause = || (Backoff::new(first_ms, limit_ms), 0);
        let (backoff, _) = self.batch.pauses.entry(shard).or_insert_with(new_pause);
        let delay_ms = backoff.next_delay_ms(&mut self.rng);
        context.run_later(Duration::from_millis(delay_ms), move |control, context| {
            let current = control
                .batch
                .shards
                .get(&shard)
                .filter(|s| s.epoch() == epoch);
            let Some(plan) = current.and_then(Shard::in_flight) else {
                return;
            };
            let txn = plan.txn.clone();
            if reread_lease {
                control.read_lease(context.address(), shard, epoch);
            } else {
                control.send_commit(context.address(), shard, epoch, txn);
            }
        });
    }

    /// Applies a commit that took effect: its effects are sent to agents, and a released shard is
    /// dropped.
    fn on_committed(&mut self, shard: u16, version: u64, context: &mut Context<Self>) {
        self.batch.pauses.remove(&shard);
        let now_ms = self.clock.now_ms();
        let Some(state) = self.batch.shards.get_mut(&shard) else {
            return;
        };
        let effects = state.on_committed(now_ms, version);
        let released = state.is_released();
        self.apply_effects(shard, effects, context);
        if released {
            self.drop_shard(shard);
        }
    }
}

/// Result of a commit, from the task that sent it.
#[derive(Message)]
#[rtype(result = "()")]
struct Committed {
    /// Shard number.
    shard: u16,
    /// Epoch of the lease under which it was sent.
    epoch: u64,
    /// New version of the lease row, or why there is none.
    result: Result<u64, StoreError>,
}

/// Result of reading a lease whose commit has an unknown outcome.
#[derive(Message)]
#[rtype(result = "()")]
struct LeaseRead {
    /// Shard number.
    shard: u16,
    /// Epoch of the lease under which the commit was sent.
    epoch: u64,
    /// The lease row; `None` inside `Ok` if it does not exist.
    row: Result<Option<Row>, StoreError>,
}

impl Handler<Committed> for Control {
    type Result = ();

    fn handle(&mut self, done: Committed, context: &mut Self::Context) {
        let current = self.batch.shards.get(&done.shard).map(Shard::epoch);
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
            .batch
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
        match CommitPlan::resolve(plan, read.shard, row) {
            CommitOutcome::Committed(version) => {
                log_event!(
                    info,
                    Event::CommitSettled,
                    shard = read.shard,
                    committed = true
                );
                self.on_committed(read.shard, version, context);
            }
            CommitOutcome::Resend => {
                log_event!(
                    info,
                    Event::CommitSettled,
                    shard = read.shard,
                    committed = false
                );
                let txn = plan.txn.clone();
                self.send_commit(context.address(), read.shard, read.epoch, txn);
            }
            CommitOutcome::Lost => self.drop_shard(read.shard),
        }
    }
}
