//! Group commits of the scheduler, and what follows from them.

use crate::coordinator::Coordinator;
use crate::lead::{Lead, encode};
use crate::messages::{CommitAgain, CommitDone, InFlight, Pump, SettleCommit, Tidied};
use crate::metrics::Metrics;
use crate::reads::read_row;
use crate::rows::{LEARNT_KEY, LEASE_KEY, LeaseRow, cancel_key, flow_key, record_key};
use actix::{AsyncContext, Context, Handler};
use backing::{StoreError, Transaction};
use flow::{Decision, DecisionKind, Effect, FlowEnd, FlowPhase, FlowRow};
use model::JobId;
use std::time::Duration;
use telemetry::{Event, log_event};
use utils::{boot_ms, wall_ms};

/// Records that one commit carries; the store takes 100 rows in one transaction.
const MAX_RECORDS: usize = 90;
/// Longest time between two commits: each one proves that nobody else is the scheduler, in
/// milliseconds.
const RENEW_MS: u64 = 500;
/// Time after which a release that found a commit on its way is tried again.
const RELEASE_PAUSE: Duration = Duration::from_millis(2);
/// Pause before a commit that failed is sent again, for each try so far.
const AGAIN_PAUSE: Duration = Duration::from_millis(40);
/// Tries that lengthen the pause.
const AGAIN_TRIES: u32 = 6;
/// Time between two writes of what was learnt, in milliseconds.
const LEARNT_EVERY_MS: u64 = 1_000;
/// Time between two reads of the agents, in milliseconds.
const AGENTS_EVERY_MS: u64 = 1_000;
/// Time between two transactions that tidy up after ended flows, in milliseconds.
const TIDY_EVERY_MS: u64 = 1_500;
/// Ended flows that one transaction tidies up after; each takes three rows.
const TIDY_FLOWS: usize = 25;
/// Ended flows that one transaction forgets; each takes one row.
const FORGET_FLOWS: usize = 25;

impl Coordinator {
    /// What the scheduler does at each tick.
    pub(crate) fn lead_tick(&mut self, now_ms: u64, context: &mut Context<Self>) {
        self.end_leases(now_ms);
        let Some(lead) = self.lead.as_ref() else {
            return;
        };
        let reads_agents = now_ms >= lead.nodes_read_ms + AGENTS_EVERY_MS;
        let tidies = now_ms >= lead.tidied_ms + TIDY_EVERY_MS && !lead.tidying;
        if reads_agents {
            self.read_agents(now_ms, context);
        }
        if tidies {
            self.tidy(now_ms, context);
        }
        self.pump(context);
    }

    /// Plans a look at what can be placed, after the messages that already wait.
    pub(crate) fn pump_soon(&mut self, context: &mut Context<Self>) {
        let Some(lead) = self.lead.as_mut().filter(|lead| !lead.pump_planned) else {
            return;
        };
        lead.pump_planned = true;
        context.notify(Pump);
    }

    /// Places what can be placed, commits what changed, and orders what is durable.
    pub(crate) fn pump(&mut self, context: &mut Context<Self>) {
        let now_ms = boot_ms();
        let Some(lead) = self.lead.as_mut().filter(|lead| lead.loaded) else {
            return;
        };
        if lead.in_flight.is_none() && !self.stopping {
            lead.scheduler.place(now_ms, wall_ms());
        }
        self.metrics.flows.set(lead.scheduler.flows().len() as i64);
        if lead.in_flight.is_none() && !self.stopping {
            let rows = lead.scheduler.take_commit(MAX_RECORDS);
            if !rows.is_empty() || now_ms >= lead.committed_ms + RENEW_MS {
                self.commit(now_ms, rows, false, context);
            }
        }
        self.run_effects(context);
    }

    fn commit(
        &mut self,
        now_ms: u64,
        rows: Vec<flow::RecordRow>,
        released: bool,
        context: &mut Context<Self>,
    ) {
        let Some(lead) = self.lead.as_ref() else {
            return;
        };
        let (epoch, sequence, version) = (lead.epoch, lead.sequence + 1, lead.version);
        let lease = self.lease_row(epoch, sequence, released);
        let mut txn = Transaction::default()
            .require(LEASE_KEY, Some(version))
            .put(LEASE_KEY, encode(&lease));
        if let Some(learnt) = self.learnt_to_write(now_ms) {
            txn = txn.put(LEARNT_KEY, learnt);
        }
        for row in &rows {
            txn = txn.put(record_key(&row.job), row.text.clone());
        }
        if let Some(lead) = self.lead.as_mut() {
            lead.sequence = sequence;
            lead.committed_ms = now_ms;
            lead.in_flight = Some(InFlight {
                txn,
                rows,
                sequence,
                released,
                first_sent_ms: now_ms,
                tries: 0,
            });
        }
        self.send_commit(context);
    }

    /// What was learnt, when it is time to write it.
    fn learnt_to_write(&mut self, now_ms: u64) -> Option<String> {
        let lead = self.lead.as_mut()?;
        if now_ms < lead.learnt_ms + LEARNT_EVERY_MS {
            return None;
        }
        lead.learnt_ms = now_ms;
        lead.scheduler.take_learned()
    }

    fn send_commit(&mut self, context: &mut Context<Self>) {
        let Some(lead) = self.lead.as_mut() else {
            return;
        };
        let epoch = lead.epoch;
        let Some(in_flight) = lead.in_flight.as_mut() else {
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

    fn commit_again(&self, epoch: u64, sequence: u64, tries: u32, context: &mut Context<Self>) {
        let pause = AGAIN_PAUSE * tries.clamp(1, AGAIN_TRIES);
        context.notify_later(CommitAgain { epoch, sequence }, pause);
    }

    fn on_committed(&mut self, sent_ms: u64, version: u64, context: &mut Context<Self>) {
        let now_ms = boot_ms();
        let Some(lead) = self.lead.as_mut() else {
            return;
        };
        let Some(done) = lead.in_flight.take() else {
            return;
        };
        lead.version = version;
        lead.proof_ms = lead.proof_ms.max(sent_ms);
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
        lead.scheduler.on_committed(&done.rows);
        if done.released {
            self.step_down("released", context);
        } else if !self.stopping {
            self.pump(context);
        }
    }

    /// Does what the scheduler wants done.
    pub(crate) fn run_effects(&mut self, context: &mut Context<Self>) {
        let effects = match self.lead.as_mut() {
            Some(lead) => lead.scheduler.take_effects(),
            None => return,
        };
        for effect in effects {
            match effect {
                Effect::Start(run, text) => self.send_start(run, text, context),
                Effect::Stop(run) => self.send_stop(run, context),
                Effect::Pace(run, percent) => self.send_pace(run, percent),
                Effect::Acknowledge(agent) => {
                    let waits = self
                        .lead
                        .as_ref()
                        .and_then(|lead| lead.nodes.get(&agent))
                        .is_some_and(|node| node.waits_for_ack);
                    if waits {
                        self.poll(&agent, context);
                    }
                }
                Effect::Ended(job, phase) => self.on_ended(job, phase),
                Effect::StepDown => self.step_down("a start was fenced off", context),
                Effect::VerdictChanged(pair) => {
                    log_event!(info, Event::PairJudged, agent = %pair.agent, filler = pair.filler,
                        serving = pair.serving, verdict = %pair.verdict);
                }
                Effect::Decided(note) => self.log_note(&note),
            }
        }
    }

    fn on_ended(&mut self, job: JobId, phase: FlowPhase) {
        let Some(lead) = self.lead.as_mut() else {
            return;
        };
        log_event!(info, Event::FlowEnded, job = %job, state = %phase, epoch = lead.epoch);
        Metrics::count(&self.metrics.ends, &phase);
        let end = FlowEnd {
            phase,
            ended_wall_ms: wall_ms(),
        };
        lead.ended.push_back((job.clone(), boot_ms()));
        lead.untidied.push_back((job, end));
    }

    fn log_note(&self, note: &Decision) {
        Metrics::count(&self.metrics.decisions, &note.kind);
        let event = match note.kind {
            DecisionKind::Placed => Event::TaskPlaced,
            DecisionKind::Ended => Event::RunEnded,
            DecisionKind::Lost => Event::RunGone,
            DecisionKind::Refused => Event::StartRefused,
            DecisionKind::Orphaned => Event::RunStray,
            DecisionKind::Stalled => Event::RunStalled,
            DecisionKind::Paused => Event::WorkerPaused,
            DecisionKind::Failed => Event::FlowFailed,
            DecisionKind::Moved => Event::RunMoved,
        };
        log_event!(info, event, job = %note.task.job, task = %note.task, run = note.run,
            agent = %note.agent, detail = %note.detail);
    }

    /// Replaces the rows of ended flows by small ones.
    fn tidy(&mut self, now_ms: u64, context: &mut Context<Self>) {
        let keep_ms = self.settings.keep_ended_ms;
        let Some(lead) = self.lead.as_mut() else {
            return;
        };
        lead.tidied_ms = now_ms;
        let is_old = |(_, ended_ms): &&(JobId, u64)| now_ms >= ended_ms + keep_ms;
        let old = lead.ended.iter().take_while(is_old).take(FORGET_FLOWS);
        let forgotten: Vec<JobId> = old.map(|(job, _)| job.clone()).collect();
        if lead.untidied.is_empty() && forgotten.is_empty() {
            return;
        }
        let count = lead.untidied.len().min(TIDY_FLOWS);
        let batch: Vec<(JobId, FlowEnd)> = lead.untidied.iter().take(count).cloned().collect();
        let mut txn = Transaction::default();
        for (job, end) in &batch {
            txn = txn
                .put(flow_key(job), encode(&FlowRow::Ended(*end)))
                .delete(cancel_key(job))
                .delete(record_key(job));
        }
        for job in &forgotten {
            txn = txn.delete(flow_key(job));
        }
        lead.tidying = true;
        let epoch = lead.epoch;
        let jobs = batch.into_iter().map(|(job, _)| job).collect();
        let (table, control) = (self.table.clone(), context.address());
        actix_rt::spawn(async move {
            let result = table.commit(&txn).await;
            control.do_send(Tidied {
                epoch,
                jobs,
                forgotten,
                result,
            });
        });
    }

    /// Gives the lease up with one last commit.
    pub(crate) fn release(&mut self, context: &mut Context<Self>) {
        let is_busy = self
            .lead
            .as_ref()
            .is_some_and(|lead| lead.in_flight.is_some());
        if is_busy {
            context.run_later(RELEASE_PAUSE, Self::release);
            return;
        }
        let rows = match self.lead.as_mut() {
            Some(lead) => lead.scheduler.take_commit(MAX_RECORDS),
            None => return,
        };
        self.commit(boot_ms(), rows, true, context);
    }
}

fn current(lead: &mut Option<Lead>, epoch: u64, sequence: u64) -> Option<&mut Lead> {
    lead.as_mut().filter(|lead| {
        let in_flight = lead.in_flight.as_ref();
        lead.epoch == epoch && in_flight.is_some_and(|commit| commit.sequence == sequence)
    })
}

impl Handler<Pump> for Coordinator {
    type Result = ();

    fn handle(&mut self, _: Pump, context: &mut Self::Context) {
        if let Some(lead) = self.lead.as_mut() {
            lead.pump_planned = false;
        }
        self.pump(context);
    }
}

impl Handler<CommitDone> for Coordinator {
    type Result = ();

    fn handle(&mut self, done: CommitDone, context: &mut Self::Context) {
        self.store.observe(boot_ms(), &done.result);
        let (epoch, sequence) = (done.epoch, done.sequence);
        let Some(lead) = current(&mut self.lead, epoch, sequence) else {
            return;
        };
        let tries = lead.in_flight.as_ref().map_or(1, |commit| commit.tries);
        match done.result {
            Ok(version) => {
                self.on_committed(done.sent_ms, version, context);
            }
            Err(StoreError::Conflict { .. }) => {
                let (table, control) = (self.table.clone(), context.address());
                let sent_ms = boot_ms();
                actix_rt::spawn(async move {
                    let row = read_row(table.as_ref(), LEASE_KEY).await;
                    control.do_send(SettleCommit {
                        epoch,
                        sequence,
                        sent_ms,
                        row,
                    });
                });
            }
            Err(error @ StoreError::Invalid(_)) => {
                log_event!(error, Event::CommitRefused, sequence, reason = %error);
                self.step_down("the store refused a commit", context);
            }
            Err(StoreError::Unavailable(_) | StoreError::Unknown(_)) => {
                self.commit_again(epoch, sequence, tries, context);
            }
        }
    }
}

impl Handler<CommitAgain> for Coordinator {
    type Result = ();

    fn handle(&mut self, again: CommitAgain, context: &mut Self::Context) {
        if current(&mut self.lead, again.epoch, again.sequence).is_some() {
            self.send_commit(context);
        }
    }
}

impl Handler<SettleCommit> for Coordinator {
    type Result = ();

    fn handle(&mut self, settle: SettleCommit, context: &mut Self::Context) {
        self.store.observe(boot_ms(), &settle.row);
        let (me, incarnation) = (self.me().to_owned(), self.incarnation);
        if current(&mut self.lead, settle.epoch, settle.sequence).is_none() {
            return;
        }
        let row = match settle.row {
            Ok(row) => row,
            Err(_) => {
                // Logged by the health of the store; the condition tells again at the next try.
                self.commit_again(settle.epoch, settle.sequence, 1, context);
                return;
            }
        };
        let version = row.as_ref().map_or(0, |row| row.version);
        let lease: Option<LeaseRow> = row.and_then(|row| serde_json::from_str(&row.value).ok());
        let is_mine = lease.is_some_and(|lease| {
            lease.owner == me
                && lease.incarnation == incarnation
                && lease.epoch == settle.epoch
                && lease.sequence == settle.sequence
        });
        if is_mine {
            self.on_committed(settle.sent_ms, version, context);
        } else {
            self.step_down("the lease has another owner", context);
        }
    }
}

impl Handler<Tidied> for Coordinator {
    type Result = ();

    fn handle(&mut self, tidied: Tidied, _: &mut Self::Context) {
        self.store.observe(boot_ms(), &tidied.result);
        let Some(lead) = self.lead.as_mut().filter(|lead| lead.epoch == tidied.epoch) else {
            return;
        };
        lead.tidying = false;
        if tidied.result.is_ok() {
            lead.untidied.retain(|(job, _)| !tidied.jobs.contains(job));
            lead.ended
                .retain(|(job, _)| !tidied.forgotten.contains(job));
            for job in &tidied.forgotten {
                lead.scheduler.evict_ended(job);
            }
        }
    }
}
