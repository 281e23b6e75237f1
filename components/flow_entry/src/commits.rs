//! Scheduling passes and group commits.

use crate::coordinator::Coordinator;
use crate::leadership::{Leadership, encode};
use crate::limits::commit_limits;
use crate::messages::{
    CommitDone, InFlightCommit, ResolveConflict, RetryCommit, RunSchedulingPass,
};
use crate::reads::read_row;
use crate::rows::{LEASE_KEY, LeaseRow, record_key};
use actix::{AsyncContext, Context, Handler};
use backing::{StoreError, Transaction};
use flow::RecordRows;
use std::time::Duration;
use telemetry::{Event, log_event};
use utils::{boot_ms, wall_ms};

/// Longest interval between two commits, in milliseconds. Each commit renews the lease and confirms
/// that no other entry is the scheduler.
const RENEW_INTERVAL_MS: u64 = 500;
/// Longest time without progress for which the lease is renewed before the stored state is loaded, in
/// milliseconds.
const MAX_LOAD_MS: u64 = 10_000;
/// Pause before a release of the lease is tried again because a commit is in flight.
const RELEASE_PAUSE: Duration = Duration::from_millis(2);
/// Pause before a failed commit is retried, multiplied by the number of attempts so far.
const RETRY_PAUSE: Duration = Duration::from_millis(40);
/// Largest factor of [`RETRY_PAUSE`].
const MAX_PAUSE_FACTOR: u32 = 6;
/// Interval between two reads of the registered agents, in milliseconds.
const AGENTS_READ_INTERVAL_MS: u64 = 1_000;
/// Interval between two searches for flows that wait, in milliseconds.
const WAITS_SEARCH_INTERVAL_MS: u64 = 3_000;
/// Interval between two garbage collections of ended rows, in milliseconds.
const COLLECT_INTERVAL_MS: u64 = 1_500;

impl Coordinator {
    /// Does the periodic work of the scheduler.
    pub(crate) fn tick_as_scheduler(&mut self, now_ms: u64, context: &mut Context<Self>) {
        self.release_expired_leases(now_ms);
        let Some(leadership) = self.leadership.as_ref() else {
            return;
        };
        let is_agent_read_due = now_ms >= leadership.agents_read_ms + AGENTS_READ_INTERVAL_MS;
        let is_collection_due =
            now_ms >= leadership.collected_ms + COLLECT_INTERVAL_MS && !leadership.is_collecting;
        if is_agent_read_due {
            self.read_agents(now_ms, context);
        }
        if is_collection_due {
            self.collect_ended_rows(now_ms, context);
        }
        self.run_scheduling_pass(context);
        if let Some(leadership) = self.leadership.as_mut() {
            leadership.measure_memory(now_ms, &self.metrics);
            self.metrics
                .observe_learned(&leadership.scheduler.learned());
        }
        self.watch_evacuations(now_ms);
        self.log_waiting_flows(now_ms);
    }

    /// Logs the flows that wait, and counts them.
    fn log_waiting_flows(&mut self, now_ms: u64) {
        let Some(leadership) = self
            .leadership
            .as_mut()
            .filter(|leadership| leadership.is_loaded)
        else {
            return;
        };
        if now_ms < leadership.waits_searched_ms + WAITS_SEARCH_INTERVAL_MS {
            return;
        }
        leadership.waits_searched_ms = now_ms;
        let waiting = leadership.wait_watch.observe(now_ms, &leadership.scheduler);
        self.metrics.flows_waiting.set(waiting.len() as i64);
        self.metrics.set_outlooks(leadership.scheduler.outlooks());
        self.metrics
            .set_queue_shares(leadership.scheduler.queue_shares());
        for flow in waiting {
            let agent = flow.agent.as_ref().map_or("", |agent| agent.as_str());
            log_event!(warn, Event::FlowWaiting, job = %flow.task.job, task = %flow.task,
                run = flow.run, agent, cause = %flow.cause, waited_ms = flow.waited_ms);
        }
    }

    /// Requests a scheduling pass behind the messages that are already in the mailbox, so that one
    /// pass covers them all.
    pub(crate) fn request_scheduling_pass(&mut self, context: &mut Context<Self>) {
        let Some(leadership) = self
            .leadership
            .as_mut()
            .filter(|leadership| !leadership.is_pass_requested)
        else {
            return;
        };
        leadership.is_pass_requested = true;
        context.notify(RunSchedulingPass);
    }

    /// Runs a scheduling pass: places tasks, commits changed records, and sends the orders whose
    /// records are durable.
    pub(crate) fn run_scheduling_pass(&mut self, context: &mut Context<Self>) {
        let now_ms = boot_ms();
        self.renew_while_loading(now_ms, context);
        let Some(leadership) = self
            .leadership
            .as_mut()
            .filter(|leadership| leadership.is_loaded)
        else {
            return;
        };
        if leadership.in_flight.is_none() && !self.is_draining {
            leadership.scheduler.place(now_ms, wall_ms());
        }
        self.metrics
            .flows
            .set(leadership.scheduler.flows().len() as i64);
        if leadership.in_flight.is_none() && !self.is_draining {
            let records = self.next_records(now_ms, RENEW_INTERVAL_MS);
            if let Some(records) = records {
                self.commit(now_ms, records, false, context);
            }
        }
        self.run_effects(context);
    }

    /// Renews the lease while the stored state is being loaded, for [`MAX_LOAD_MS`] at most after the last
    /// page arrived, so that another entry takes over if it can't be.
    fn renew_while_loading(&mut self, now_ms: u64, context: &mut Context<Self>) {
        let is_due = self.leadership.as_ref().is_some_and(|leadership| {
            !leadership.is_loaded
                && leadership.in_flight.is_none()
                && now_ms >= leadership.last_commit_ms + RENEW_INTERVAL_MS
                && now_ms < leadership.load_progress_ms + MAX_LOAD_MS
        });
        if is_due && !self.is_draining {
            self.commit(now_ms, Vec::new(), false, context);
        }
    }

    /// Starts a group commit of `records`, which also renews the lease or, if `released`, gives it up.
    pub(crate) fn commit(
        &mut self,
        now_ms: u64,
        records: Vec<RecordRows>,
        released: bool,
        context: &mut Context<Self>,
    ) {
        let Some(leadership) = self.leadership.as_mut() else {
            return;
        };
        let (epoch, sequence, version) = (
            leadership.epoch,
            leadership.sequence + 1,
            leadership.version,
        );
        let max_bytes = self.settings.store.row_bytes / 2;
        let away = leadership.scheduler.note_away(now_ms, max_bytes);
        let lease = self.lease_row(now_ms, epoch, sequence, released, away.clone());
        let mut txn = Transaction::default()
            .require(LEASE_KEY, Some(version))
            .put(LEASE_KEY, encode(&lease));
        let learned = self.learned_row_if_due(now_ms);
        let has_learned = learned.is_some();
        if let Some((key, value)) = learned {
            txn = txn.put(key, value);
        }
        for record in &records {
            txn = write_record(txn, record);
        }
        if let Some(leadership) = self.leadership.as_mut() {
            leadership.sequence = sequence;
            leadership.last_commit_ms = now_ms;
            leadership.in_flight = Some(InFlightCommit {
                txn,
                records,
                away,
                has_learned,
                sequence,
                released,
                first_sent_ms: now_ms,
                tries: 0,
            });
        }
        self.send_commit(context);
    }

    /// Sends the commit in flight; the result arrives as [`CommitDone`].
    fn send_commit(&mut self, context: &mut Context<Self>) {
        let Some(leadership) = self.leadership.as_mut() else {
            return;
        };
        let epoch = leadership.epoch;
        let Some(in_flight) = leadership.in_flight.as_mut() else {
            return;
        };
        in_flight.tries += 1;
        let (txn, sequence) = (in_flight.txn.clone(), in_flight.sequence);
        let (table, control) = (self.table.clone(), context.address());
        let sent_ms = boot_ms();
        actix_rt::spawn(async move {
            let result = table.commit(&txn).await;
            control.do_send(CommitDone {
                epoch,
                sequence,
                sent_ms,
                result,
            });
        });
    }

    /// Schedules a retry of the commit in flight with a linear backoff.
    fn retry_commit(&self, epoch: u64, sequence: u64, tries: u32, context: &mut Context<Self>) {
        let pause = RETRY_PAUSE * tries.clamp(1, MAX_PAUSE_FACTOR);
        context.notify_later(RetryCommit { epoch, sequence }, pause);
    }

    /// Applies the commit in flight, which has taken effect and was not sent before `sent_ms`.
    fn on_committed(&mut self, sent_ms: u64, version: u64, context: &mut Context<Self>) {
        let now_ms = boot_ms();
        let Some(leadership) = self.leadership.as_mut() else {
            return;
        };
        let Some(done) = leadership.in_flight.take() else {
            return;
        };
        leadership.version = version;
        leadership.confirmed_ms = leadership.confirmed_ms.max(sent_ms);
        let spent_ms = now_ms.saturating_sub(done.first_sent_ms);
        self.metrics.commits.inc();
        self.metrics
            .commit_seconds
            .observe(spent_ms as f64 / 1_000.0);
        if done.tries > 1 {
            log_event!(
                info,
                Event::CommitSettled,
                sequence = done.sequence,
                tries = done.tries,
                after_ms = spent_ms
            );
        }
        leadership.scheduler.on_committed(&done.records);
        leadership.scheduler.on_away_committed(&done.away);
        if done.released {
            self.step_down("released", context);
        } else if !self.is_draining {
            self.run_scheduling_pass(context);
        }
    }

    /// Releases the lease with a last commit, after the commit in flight if there is one.
    pub(crate) fn release(&mut self, context: &mut Context<Self>) {
        let is_busy = self
            .leadership
            .as_ref()
            .is_some_and(|leadership| leadership.in_flight.is_some());
        if is_busy {
            context.run_later(RELEASE_PAUSE, Self::release);
            return;
        }
        let now_ms = boot_ms();
        let limits = commit_limits(self.settings.store.row_bytes);
        let records = match self.leadership.as_mut() {
            Some(leadership) if leadership.isolation.is_some() => Vec::new(),
            Some(leadership) => leadership.scheduler.take_commit(now_ms, &limits),
            None => return,
        };
        self.commit(now_ms, records, true, context);
    }
}

/// Adds the rows of a record to a transaction, and deletes the further rows of the former record.
fn write_record(mut txn: Transaction, record: &RecordRows) -> Transaction {
    for (number, value) in record.values.iter().enumerate() {
        txn = txn.put(record_key(&record.job, number), value.clone());
    }
    for number in record.values.len()..record.former_rows {
        txn = txn.delete(record_key(&record.job, number));
    }
    txn
}

/// The leadership, if it is of `epoch` and its commit in flight has this sequence number.
fn matching_commit(
    leadership: &mut Option<Leadership>,
    epoch: u64,
    sequence: u64,
) -> Option<&mut Leadership> {
    leadership.as_mut().filter(|leadership| {
        let in_flight = leadership.in_flight.as_ref();
        leadership.epoch == epoch && in_flight.is_some_and(|commit| commit.sequence == sequence)
    })
}

impl Handler<RunSchedulingPass> for Coordinator {
    type Result = ();

    fn handle(&mut self, _: RunSchedulingPass, context: &mut Self::Context) {
        if let Some(leadership) = self.leadership.as_mut() {
            leadership.is_pass_requested = false;
        }
        self.run_scheduling_pass(context);
    }
}

impl Handler<CommitDone> for Coordinator {
    type Result = ();

    fn handle(&mut self, done: CommitDone, context: &mut Self::Context) {
        self.store_health.observe(boot_ms(), &done.result);
        let (epoch, sequence) = (done.epoch, done.sequence);
        let Some(leadership) = matching_commit(&mut self.leadership, epoch, sequence) else {
            return;
        };
        let tries = leadership
            .in_flight
            .as_ref()
            .map_or(1, |commit| commit.tries);
        match done.result {
            Ok(version) => {
                self.on_committed(done.sent_ms, version, context);
            }
            Err(StoreError::Conflict { .. }) => {
                let (table, control) = (self.table.clone(), context.address());
                actix_rt::spawn(async move {
                    let row = read_row(table.as_ref(), LEASE_KEY).await;
                    control.do_send(ResolveConflict {
                        epoch,
                        sequence,
                        row,
                    });
                });
            }
            Err(error @ StoreError::Invalid(_)) => self.on_commit_refused(&error, context),
            Err(StoreError::Unavailable(_) | StoreError::Unknown(_)) => {
                self.retry_commit(epoch, sequence, tries, context);
            }
        }
    }
}

impl Handler<RetryCommit> for Coordinator {
    type Result = ();

    fn handle(&mut self, retry: RetryCommit, context: &mut Self::Context) {
        if matching_commit(&mut self.leadership, retry.epoch, retry.sequence).is_some() {
            self.send_commit(context);
        }
    }
}

impl Handler<ResolveConflict> for Coordinator {
    type Result = ();

    fn handle(&mut self, conflict: ResolveConflict, context: &mut Self::Context) {
        self.store_health.observe(boot_ms(), &conflict.row);
        let (own_id, incarnation) = (self.own_id().to_owned(), self.incarnation);
        let in_flight = matching_commit(&mut self.leadership, conflict.epoch, conflict.sequence)
            .and_then(|leadership| leadership.in_flight.as_ref());
        let Some(first_sent_ms) = in_flight.map(|commit| commit.first_sent_ms) else {
            return;
        };
        let row = match conflict.row {
            Ok(row) => row,
            Err(_) => {
                // The failure is logged by `StoreHealth`. The next attempt conflicts again if this
                // one took effect or the lease has another owner.
                self.retry_commit(conflict.epoch, conflict.sequence, 1, context);
                return;
            }
        };
        let version = row.as_ref().map_or(0, |row| row.version);
        let lease: Option<LeaseRow> = row.and_then(|row| serde_json::from_str(&row.value).ok());
        let is_mine = lease.is_some_and(|lease| {
            lease.owner == own_id
                && lease.incarnation == incarnation
                && lease.epoch == conflict.epoch
                && lease.sequence == conflict.sequence
        });
        if is_mine {
            // Which attempt took effect is not known: others may have seen the row before this read.
            self.on_committed(first_sent_ms, version, context);
        } else {
            self.step_down("the lease has another owner", context);
        }
    }
}
