//! The scheduler's connections to agents, and its polls of them.

use crate::coordinator::Coordinator;
use crate::leadership::Leadership;
use crate::messages::{AgentsRead, PollDone};
use crate::reads::read_all;
use crate::rows::parse_agent;
use actix::{AsyncContext, Context, Handler};
use flow::{Delivery, PollReply, PollRequest, ReportTimes};
use model::AgentId;
use std::net::SocketAddr;
use std::time::Duration;
use telemetry::{Event, log_event};
use utils::boot_ms;
use wire::{AGENT_ROW_PREFIX, LinkError, WorkerLink};

/// Timeout of a poll in addition to the time for which the worker may hold it.
const POLL_SLACK: Duration = Duration::from_millis(700);
/// Pause before an agent is polled again after a poll without a usable report.
const RETRY_PAUSE: Duration = Duration::from_millis(120);
/// Longest delay of the next poll until the ends that the last one reported are durable.
const ACK_PAUSE: Duration = Duration::from_millis(200);

/// Connection of the scheduler to an agent.
pub(crate) struct AgentConnection {
    /// Link to the agent's control address.
    pub link: WorkerLink,
    /// Whether a poll is in flight.
    pub is_polling: bool,
    /// Whether the next poll is delayed until the reported ends are durable.
    pub is_awaiting_ack: bool,
}

impl AgentConnection {
    fn new(address: SocketAddr) -> Self {
        Self {
            link: WorkerLink::new(address),
            is_polling: false,
            is_awaiting_ack: false,
        }
    }
}

impl Coordinator {
    /// Reads the registered agents; the result arrives as [`AgentsRead`].
    pub(crate) fn read_agents(&mut self, now_ms: u64, context: &mut Context<Self>) {
        let Some(leadership) = self.leadership.as_mut() else {
            return;
        };
        leadership.agents_read_ms = now_ms;
        let epoch = leadership.epoch;
        let (table, control) = (self.table.clone(), context.address());
        actix_rt::spawn(async move {
            let rows = read_all(table.as_ref(), AGENT_ROW_PREFIX).await;
            control.do_send(AgentsRead { epoch, rows });
        });
    }

    /// Polls every agent without a poll in flight.
    pub(crate) fn poll_all(&mut self, context: &mut Context<Self>) {
        let Some(leadership) = self.leadership.as_ref() else {
            return;
        };
        let agents: Vec<AgentId> = leadership.agents.keys().cloned().collect();
        for agent in agents {
            self.poll(&agent, context);
        }
    }

    /// Polls an agent: renews its worker's lease, acknowledges durable ends, and requests a report.
    /// Does nothing while a poll is in flight or the stored state is not loaded.
    pub(crate) fn poll(&mut self, agent: &AgentId, context: &mut Context<Self>) {
        let now_ms = boot_ms();
        let Some(leadership) = self
            .leadership
            .as_mut()
            .filter(|leadership| leadership.is_loaded)
        else {
            return;
        };
        let lease_limit = leadership.lease_limit(now_ms);
        let Some(connection) = leadership
            .agents
            .get_mut(agent)
            .filter(|connection| !connection.is_polling)
        else {
            return;
        };
        connection.is_polling = true;
        connection.is_awaiting_ack = false;
        let link = connection.link.clone();
        let plan = leadership.scheduler.plan_poll(agent, lease_limit);
        let request = PollRequest {
            fence: leadership.epoch,
            lease_until_clock_ms: plan.lease.map(|lease| lease.until_clock_ms),
            born_ms: plan.born_ms,
            acknowledged: plan.acknowledged,
            wait_ms: plan.wait_ms,
        };
        let offer = plan.lease.map(|lease| lease.id);
        let (epoch, agent, control) = (leadership.epoch, agent.clone(), context.address());
        let limit = Duration::from_millis(plan.wait_ms) + POLL_SLACK;
        actix_rt::spawn(async move {
            let call = link.call(limit, |client, context| async move {
                client.poll(context, request).await
            });
            let reply = call.await;
            control.do_send(PollDone {
                epoch,
                agent,
                requested_ms: now_ms,
                offer,
                reply,
            });
        });
    }

    /// Polls an agent after `pause`.
    fn poll_later(&self, agent: AgentId, pause: Duration, context: &mut Context<Self>) {
        context.run_later(pause, move |coordinator, context| {
            coordinator.poll(&agent, context);
        });
    }

    /// Releases the runs of unreachable workers whose leases are guaranteed to have expired.
    pub(crate) fn release_expired_leases(&mut self, now_ms: u64) {
        let Some(leadership) = self
            .leadership
            .as_mut()
            .filter(|leadership| leadership.is_loaded)
        else {
            return;
        };
        for lapsed in leadership.scheduler.release_lapsed(now_ms) {
            log_event!(warn, Event::WorkerLapsed, agent = %lapsed.agent, runs = lapsed.runs,
                over_ms = lapsed.expired_ms, now_ms);
        }
    }
}

/// Whether a call with this result may have arrived.
pub(crate) fn delivery<T>(result: &Result<T, LinkError>) -> Delivery {
    match result {
        Ok(_) | Err(LinkError::NoAnswer(_)) => Delivery::Possible,
        Err(LinkError::Connect(_) | LinkError::Refused(_)) => Delivery::Impossible,
    }
}

impl Handler<AgentsRead> for Coordinator {
    type Result = ();

    fn handle(&mut self, read: AgentsRead, context: &mut Self::Context) {
        self.store_health.observe(boot_ms(), &read.rows);
        let Some(leadership) = self
            .leadership
            .as_mut()
            .filter(|leadership| leadership.epoch == read.epoch)
        else {
            return;
        };
        let Ok(rows) = read.rows else {
            return;
        };
        for row in rows {
            let Some((agent, address)) = parse_agent(&row.key, &row.value) else {
                let (key, version) = (&row.key, row.version);
                // All rows are read again every second.
                if self.unreadable_agents.insert(&format!("{key} {version}")) {
                    log_event!(
                        error,
                        Event::RowUnreadable,
                        key,
                        version,
                        reason = "no address"
                    );
                }
                continue;
            };
            let is_known = leadership
                .agents
                .get(&agent)
                .is_some_and(|connection| connection.link.address() == address);
            if !is_known {
                log_event!(info, Event::AgentJoined, agent = %agent, address = %address,
                    version = row.version);
                leadership
                    .agents
                    .insert(agent, AgentConnection::new(address));
            }
        }
        self.poll_all(context);
    }
}

impl Handler<PollDone> for Coordinator {
    type Result = ();

    fn handle(&mut self, done: PollDone, context: &mut Self::Context) {
        let now_ms = boot_ms();
        let Some(leadership) = self
            .leadership
            .as_mut()
            .filter(|leadership| leadership.epoch == done.epoch)
        else {
            return;
        };
        if let Some(offer) = done.offer {
            let delivery = delivery(&done.reply);
            leadership
                .scheduler
                .settle_lease(&done.agent, offer, delivery);
        }
        let Some(connection) = leadership.agents.get_mut(&done.agent) else {
            return;
        };
        connection.is_polling = false;
        let agent = done.agent;
        let was_synced = leadership.scheduler.worker_mut(&agent).is_synced();
        let pause = match done.reply {
            Ok(PollReply::Alive { info, report }) => {
                let times = ReportTimes {
                    requested_ms: done.requested_ms,
                    now_ms,
                };
                let has_ends = !report.ended.is_empty();
                leadership.scheduler.on_report(times, &agent, info, &report);
                let is_synced = leadership.scheduler.worker_mut(&agent).is_synced();
                if is_synced && !was_synced {
                    log_event!(info, Event::WorkerReached, agent = %agent, born_ms = report.born_ms,
                        running = report.running.len(), ended = report.ended.len());
                }
                if !is_synced {
                    Some(RETRY_PAUSE)
                } else if has_ends
                    && !leadership
                        .scheduler
                        .worker_mut(&agent)
                        .pending_acks
                        .is_empty()
                {
                    with_agent(leadership, &agent, |connection| {
                        connection.is_awaiting_ack = true;
                    });
                    Some(ACK_PAUSE)
                } else {
                    None
                }
            }
            Ok(PollReply::Absent) => {
                let view = leadership.scheduler.worker_mut(&agent);
                if view.incarnation.is_some() || !view.allocations.is_empty() {
                    log_event!(warn, Event::WorkerGone, agent = %agent,
                        runs = view.allocations.len());
                    leadership.scheduler.on_worker_terminated(
                        now_ms,
                        &agent,
                        "the worker refuses connections",
                    );
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
                leadership.scheduler.on_unreachable(&agent);
                Some(RETRY_PAUSE)
            }
            Err(error) => {
                if was_synced {
                    log_event!(warn, Event::WorkerUnreachable, agent = %agent, reason = %error);
                }
                leadership.scheduler.on_unreachable(&agent);
                Some(RETRY_PAUSE)
            }
        };
        match pause {
            Some(pause) => self.poll_later(agent, pause, context),
            None => self.poll(&agent, context),
        }
        self.request_scheduling_pass(context);
    }
}

/// Applies `change` to the state of an agent, if it is registered.
fn with_agent(
    leadership: &mut Leadership,
    agent: &AgentId,
    change: impl FnOnce(&mut AgentConnection),
) {
    if let Some(connection) = leadership.agents.get_mut(agent) {
        change(connection);
    }
}
