//! Agents as the scheduler reaches them: polls and orders.

use crate::coordinator::Coordinator;
use crate::messages::{AgentsSeen, PollDone, StartDone, StopDone};
use crate::reads::read_all;
use actix::{AsyncContext, Context, Handler};
use flow::{
    PaceOrder, PollReply, PollRequest, ReportTimes, RunRef, StartInput, StartOrder, StartOutcome,
    StopOrder,
};
use model::AgentId;
use std::net::SocketAddr;
use std::time::Duration;
use telemetry::{Event, log_event};
use utils::boot_ms;
use wire::{AGENT_ROW_PREFIX, LinkError, WorkerLink};

/// Longest wait of a poll for an end on a worker that has runs, in milliseconds.
const BUSY_WAIT_MS: u64 = 400;
/// Longest wait of a poll on a worker without runs, in milliseconds.
const IDLE_WAIT_MS: u64 = 1_000;
/// Time for the answer to a poll on top of its wait.
const POLL_SLACK: Duration = Duration::from_millis(700);
/// Time for the answer to an order.
const ORDER_TIMEOUT: Duration = Duration::from_millis(900);
/// Pause before an agent that did not answer is polled again.
const RETRY_PAUSE: Duration = Duration::from_millis(120);
/// Longest time for which a poll waits until the ends of the last one are recorded.
const ACK_PAUSE: Duration = Duration::from_millis(200);
/// Least time that a lease has to last when a run is started, in milliseconds.
const LEAST_LEASE_MS: u64 = 500;

/// An agent as the scheduler reaches it.
pub(crate) struct Node {
    /// Link to the agent.
    pub link: WorkerLink,
    /// Whether an answer to a poll is awaited.
    pub polling: bool,
    /// Whether the next poll waits until ends are recorded.
    pub waits_for_ack: bool,
}

impl Node {
    fn new(address: SocketAddr) -> Self {
        Self {
            link: WorkerLink::new(address),
            polling: false,
            waits_for_ack: false,
        }
    }
}

impl Coordinator {
    /// Reads which agents there are.
    pub(crate) fn read_agents(&mut self, now_ms: u64, context: &mut Context<Self>) {
        let Some(lead) = self.lead.as_mut() else {
            return;
        };
        lead.nodes_read_ms = now_ms;
        let epoch = lead.epoch;
        let (table, control) = (self.table.clone(), context.address());
        actix_rt::spawn(async move {
            let rows = read_all(table.as_ref(), AGENT_ROW_PREFIX).await;
            control.do_send(AgentsSeen { epoch, rows });
        });
    }

    /// Polls every agent that is not being polled.
    pub(crate) fn poll_all(&mut self, context: &mut Context<Self>) {
        let Some(lead) = self.lead.as_ref() else {
            return;
        };
        let agents: Vec<AgentId> = lead.nodes.keys().cloned().collect();
        for agent in agents {
            self.poll(&agent, context);
        }
    }

    /// Polls an agent: renews its worker's lease, lets go of recorded ends, reads the lists.
    pub(crate) fn poll(&mut self, agent: &AgentId, context: &mut Context<Self>) {
        let now_ms = boot_ms();
        let Some(lead) = self.lead.as_mut().filter(|lead| lead.loaded) else {
            return;
        };
        let until_ms = lead.terms.until_ms(now_ms, lead.proof_ms);
        let slack_ms = lead.terms.slack_ms;
        let Some(node) = lead.nodes.get_mut(agent).filter(|node| !node.polling) else {
            return;
        };
        node.polling = true;
        node.waits_for_ack = false;
        let link = node.link.clone();
        let view = lead.scheduler.worker_mut(agent);
        let clock = view.clock.filter(|clock| until_ms > clock.received_ms);
        let lease = clock.map(|clock| clock.lease_until(until_ms));
        if let (Some(clock), Some(lease)) = (clock, lease) {
            let over_ms = clock.expired_ms(lease) + slack_ms;
            view.lease_expired_ms = view.lease_expired_ms.max(over_ms);
        }
        let wait_ms = if !view.synced || !view.pending_acks.is_empty() {
            0
        } else if view.allocations.is_empty() {
            IDLE_WAIT_MS
        } else {
            BUSY_WAIT_MS
        };
        let request = PollRequest {
            fence: lead.epoch,
            lease_until_clock_ms: lease,
            born_ms: view.incarnation.as_ref().map(|life| life.born_ms),
            acknowledged: view.acknowledged,
            wait_ms,
        };
        let (epoch, agent, control) = (lead.epoch, agent.clone(), context.address());
        let limit = Duration::from_millis(wait_ms) + POLL_SLACK;
        actix_rt::spawn(async move {
            let call = link.call(limit, |client, context| async move {
                client.poll(context, request).await
            });
            let reply = call.await;
            control.do_send(PollDone {
                epoch,
                agent,
                asked_ms: now_ms,
                reply,
            });
        });
    }

    fn poll_later(&self, agent: AgentId, pause: Duration, context: &mut Context<Self>) {
        context.run_later(pause, move |coordinator, context| {
            coordinator.poll(&agent, context);
        });
    }

    /// Sends a start to the agent of its worker.
    pub(crate) fn send_start(
        &mut self,
        run: RunRef,
        text: StartInput,
        context: &mut Context<Self>,
    ) {
        let now_ms = boot_ms();
        let Some(lead) = self.lead.as_mut() else {
            return;
        };
        let until_ms = lead.terms.until_ms(now_ms, lead.proof_ms);
        let slack_ms = lead.terms.slack_ms;
        let epoch = lead.epoch;
        let link = lead.nodes.get(&run.agent).map(|node| node.link.clone());
        let view = lead.scheduler.worker_mut(&run.agent);
        let clock = view
            .clock
            .filter(|_| view.synced && until_ms >= now_ms + LEAST_LEASE_MS);
        let (Some(clock), Some(link)) = (clock, link) else {
            context.notify(start_done(epoch, &run, StartOutcome::Late));
            return;
        };
        let lease_until_clock_ms = clock.lease_until(until_ms);
        let over_ms = clock.expired_ms(lease_until_clock_ms) + slack_ms;
        view.lease_expired_ms = view.lease_expired_ms.max(over_ms);
        let order = StartOrder {
            fence: epoch,
            incarnation: run.incarnation.clone(),
            lease_until_clock_ms,
            task: run.task.clone(),
            run: run.run,
            payload: text.payload,
            checkpoint: text.checkpoint,
        };
        let control = context.address();
        actix_rt::spawn(async move {
            let call = link.call(ORDER_TIMEOUT, |client, context| async move {
                client.start(context, order).await
            });
            let outcome = match call.await {
                Ok(outcome) => outcome,
                Err(LinkError::Connect(_) | LinkError::Refused(_)) => StartOutcome::Unavailable,
                Err(LinkError::NoAnswer(_)) => StartOutcome::Unknown,
            };
            control.do_send(start_done(epoch, &run, outcome));
        });
    }

    /// Sends a stop to the agent of its worker.
    pub(crate) fn send_stop(&mut self, run: RunRef, context: &mut Context<Self>) {
        let Some(lead) = self.lead.as_ref() else {
            return;
        };
        let epoch = lead.epoch;
        let Some(link) = lead.nodes.get(&run.agent).map(|node| node.link.clone()) else {
            return;
        };
        let order = StopOrder {
            fence: epoch,
            incarnation: run.incarnation,
            task: run.task.clone(),
            run: run.run,
        };
        let control = context.address();
        actix_rt::spawn(async move {
            let call = link.call(ORDER_TIMEOUT, |client, context| async move {
                client.stop(context, order).await
            });
            // A stop without an answer is ordered again by the next report that shows the run.
            if call.await == Ok(true) {
                control.do_send(StopDone {
                    epoch,
                    agent: run.agent,
                    task: run.task,
                    run: run.run,
                });
            }
        });
    }

    /// Sends a change of pace to the agent of its worker.
    pub(crate) fn send_pace(&mut self, run: RunRef, percent: u32) {
        let Some(lead) = self.lead.as_ref() else {
            return;
        };
        let Some(link) = lead.nodes.get(&run.agent).map(|node| node.link.clone()) else {
            return;
        };
        let order = PaceOrder {
            fence: lead.epoch,
            incarnation: run.incarnation,
            task: run.task,
            run: run.run,
            percent,
        };
        actix_rt::spawn(async move {
            log_event!(info, Event::RunPaced, agent = %run.agent, task = %order.task, run = run.run, percent);
            let call = link.call(ORDER_TIMEOUT, |client, context| async move {
                client.pace(context, order).await
            });
            // A lost change of pace is made up for by the next measurement.
            drop(call.await);
        });
    }

    /// Takes back what was placed on workers whose leases are surely over.
    pub(crate) fn end_leases(&mut self, now_ms: u64) {
        let Some(lead) = self.lead.as_mut().filter(|lead| lead.loaded) else {
            return;
        };
        let over: Vec<AgentId> = lead
            .scheduler
            .workers()
            .filter(|(_, view)| {
                !view.synced && !view.allocations.is_empty() && now_ms >= view.lease_expired_ms
            })
            .map(|(agent, _)| agent.clone())
            .collect();
        for agent in over {
            let view = lead.scheduler.worker_mut(&agent);
            let (over_ms, runs) = (view.lease_expired_ms, view.allocations.len());
            log_event!(warn, Event::WorkerLapsed, agent = %agent, runs, over_ms, now_ms);
            lead.scheduler.on_lease_expired(now_ms, &agent);
        }
    }
}

fn start_done(epoch: u64, run: &RunRef, outcome: StartOutcome) -> StartDone {
    StartDone {
        epoch,
        agent: run.agent.clone(),
        task: run.task.clone(),
        run: run.run,
        outcome,
    }
}

impl Handler<AgentsSeen> for Coordinator {
    type Result = ();

    fn handle(&mut self, seen: AgentsSeen, context: &mut Self::Context) {
        self.store.observe(boot_ms(), &seen.rows);
        let Some(lead) = self.lead.as_mut().filter(|lead| lead.epoch == seen.epoch) else {
            return;
        };
        let Ok(rows) = seen.rows else {
            return;
        };
        for row in rows {
            let name = row.key.strip_prefix(AGENT_ROW_PREFIX).unwrap_or_default();
            let Ok(address) = row.value.parse::<SocketAddr>() else {
                log_event!(error, Event::RowUnreadable, key = %row.key, reason = "no address");
                continue;
            };
            let agent = AgentId::from(name);
            let is_known = lead
                .nodes
                .get(&agent)
                .is_some_and(|node| node.link.address() == address);
            if !is_known {
                log_event!(info, Event::AgentJoined, agent = %agent, address = %address, version = row.version);
                lead.nodes.insert(agent, Node::new(address));
            }
        }
        self.poll_all(context);
    }
}

impl Handler<PollDone> for Coordinator {
    type Result = ();

    fn handle(&mut self, done: PollDone, context: &mut Self::Context) {
        let now_ms = boot_ms();
        let Some(lead) = self.lead.as_mut().filter(|lead| lead.epoch == done.epoch) else {
            return;
        };
        let Some(node) = lead.nodes.get_mut(&done.agent) else {
            return;
        };
        node.polling = false;
        let agent = done.agent;
        let was_synced = lead.scheduler.worker_mut(&agent).synced;
        let pause = match done.reply {
            Ok(PollReply::Alive { info, report }) => {
                let times = ReportTimes {
                    requested_ms: done.asked_ms,
                    now_ms,
                };
                let has_ends = !report.ended.is_empty();
                lead.scheduler.on_report(times, &agent, info, &report);
                let is_synced = lead.scheduler.worker_mut(&agent).synced;
                if is_synced && !was_synced {
                    log_event!(info, Event::WorkerReached, agent = %agent, born_ms = report.born_ms,
                        running = report.running.len(), ended = report.ended.len());
                }
                if !is_synced {
                    Some(RETRY_PAUSE)
                } else if has_ends && !lead.scheduler.worker_mut(&agent).pending_acks.is_empty() {
                    node_of(lead, &agent, |node| node.waits_for_ack = true);
                    Some(ACK_PAUSE)
                } else {
                    None
                }
            }
            Ok(PollReply::Absent) => {
                let view = lead.scheduler.worker_mut(&agent);
                if view.incarnation.is_some() || !view.allocations.is_empty() {
                    log_event!(warn, Event::WorkerGone, agent = %agent, runs = view.allocations.len());
                    lead.scheduler
                        .on_worker_gone(now_ms, &agent, "the worker refuses connections");
                }
                Some(RETRY_PAUSE)
            }
            Ok(PollReply::Fenced) => {
                self.step_down("a worker has seen a newer scheduler", context);
                return;
            }
            Ok(reply @ (PollReply::Silent | PollReply::OtherLife)) => {
                if was_synced {
                    log_event!(warn, Event::WorkerUnreachable, agent = %agent, reason = ?reply);
                }
                lead.scheduler.on_unreachable(&agent);
                Some(RETRY_PAUSE)
            }
            Err(error) => {
                if was_synced {
                    log_event!(warn, Event::WorkerUnreachable, agent = %agent, reason = %error);
                }
                lead.scheduler.on_unreachable(&agent);
                Some(RETRY_PAUSE)
            }
        };
        match pause {
            Some(pause) => self.poll_later(agent, pause, context),
            None => self.poll(&agent, context),
        }
        self.pump_soon(context);
    }
}

fn node_of(lead: &mut crate::lead::Lead, agent: &AgentId, change: impl FnOnce(&mut Node)) {
    if let Some(node) = lead.nodes.get_mut(agent) {
        change(node);
    }
}

impl Handler<StartDone> for Coordinator {
    type Result = ();

    fn handle(&mut self, done: StartDone, context: &mut Self::Context) {
        let now_ms = boot_ms();
        let Some(lead) = self.lead.as_mut().filter(|lead| lead.epoch == done.epoch) else {
            return;
        };
        lead.scheduler
            .on_start(now_ms, &done.agent, &done.task, done.run, done.outcome);
        self.pump_soon(context);
    }
}

impl Handler<StopDone> for Coordinator {
    type Result = ();

    fn handle(&mut self, done: StopDone, _: &mut Self::Context) {
        let now_ms = boot_ms();
        if let Some(lead) = self.lead.as_mut().filter(|lead| lead.epoch == done.epoch) {
            lead.scheduler
                .on_stopped(now_ms, &done.agent, &done.task, done.run);
        }
    }
}
