//! The agent's control thread: it forwards polls and orders to the worker and refuses stale ones.

use crate::connections::Connections;
use crate::heartbeat_order::HeartbeatOrder;
use crate::metrics::Metrics;
use crate::worker_client::{WorkerClient, WorkerError, WorkerPoll};
use actix::{Actor, Context, Handler, Message, ResponseFuture};
use flow::{
    Incarnation, PaceOrder, PollReply, PollRequest, StartOrder, StartOutcome, StopOrder, WorkerInfo,
};
use model::AgentId;
use std::rc::Rc;
use telemetry::{Event, log_event};
use utils::boot_ms;

/// Actor that owns the mutable state of an agent.
pub(crate) struct Relay {
    /// Name of the agent, for the log.
    agent: AgentId,
    /// Connections to the worker on this VM.
    worker: Rc<Connections>,
    /// Content of the worker's newest heartbeat; absent before the first one.
    info: Option<WorkerInfo>,
    /// Until when the worker is slow after its start, in milliseconds.
    cold_until_ms: u64,
    /// Decides which heartbeat is the newest.
    order: HeartbeatOrder,
    /// Highest fencing token that any call carried.
    fence: u64,
    /// Whether the last poll reached an open port of the worker; a change is logged.
    is_up: bool,
    /// Metrics that the agent exports.
    metrics: Metrics,
}

impl Relay {
    pub fn new(agent: AgentId, client: Rc<dyn WorkerClient>, metrics: Metrics) -> Self {
        let worker = Connections::new(agent.clone(), client, metrics.clone());
        Self {
            agent,
            worker: Rc::new(worker),
            info: None,
            cold_until_ms: 0,
            order: HeartbeatOrder::default(),
            fence: 0,
            is_up: true,
            metrics,
        }
    }

    /// Records the fencing token of a call. Returns true if the call is stale because a newer token
    /// was seen before.
    fn observe_fence(&mut self, fence: u64) -> bool {
        if fence > self.fence {
            log_event!(info, Event::SchedulerSeen, agent = %self.agent, epoch = fence,
                before = self.fence);
            self.fence = fence;
        }
        fence < self.fence
    }

    /// Whether the worker's newest heartbeat or its leave call says that it is draining.
    fn is_draining(&self) -> bool {
        self.info.as_ref().is_some_and(|info| info.draining)
    }
}

impl Actor for Relay {
    type Context = Context<Self>;

    fn started(&mut self, context: &mut Self::Context) {
        context.set_mailbox_capacity(usize::MAX >> 4);
    }
}

/// Heartbeat of the worker; ignored if it is older than the newest one.
#[derive(Message)]
#[rtype(result = "()")]
pub(crate) struct Heartbeat {
    /// State that the worker announces.
    pub info: WorkerInfo,
    /// Sequence number; it grows within one incarnation of the worker.
    pub sequence: u64,
    /// How much longer the worker is slow after its start, in milliseconds.
    pub cold_remaining_ms: u64,
}

impl Handler<Heartbeat> for Relay {
    type Result = ();

    fn handle(&mut self, heartbeat: Heartbeat, _: &mut Self::Context) {
        self.metrics.heartbeats.inc();
        let born_ms = heartbeat.info.incarnation.born_ms;
        let incarnation = &heartbeat.info.incarnation;
        let is_former = |born_ms| self.worker.is_former(born_ms);
        let sequence = heartbeat.sequence;
        if !self
            .order
            .admit(boot_ms(), incarnation, sequence, is_former)
        {
            return;
        }
        let changed = self.info.as_ref().is_none_or(|known| {
            known.incarnation != heartbeat.info.incarnation
                || known.draining != heartbeat.info.draining
        });
        if changed {
            let info = &heartbeat.info;
            log_event!(info, Event::WorkerHeard, agent = %self.agent,
                worker = %info.incarnation.worker, born_ms, draining = info.draining,
                sequence = heartbeat.sequence);
        }
        self.info = Some(heartbeat.info);
        self.cold_until_ms = boot_ms().saturating_add(heartbeat.cold_remaining_ms);
    }
}

/// Announcement of the worker that it is shutting down.
#[derive(Message)]
#[rtype(result = "()")]
pub(crate) struct Leave {
    /// Name of the worker; ignored unless it is that of the newest heartbeat.
    pub worker: String,
    /// Start of the incarnation that leaves, in milliseconds since the Unix epoch, if it states it;
    /// ignored unless it is that of the newest heartbeat, as the announcement may arrive late.
    pub born_ms: Option<u64>,
}

impl Handler<Leave> for Relay {
    type Result = ();

    fn handle(&mut self, leave: Leave, _: &mut Self::Context) {
        log_event!(info, Event::WorkerLeft, agent = %self.agent, worker = %leave.worker,
            born_ms = leave.born_ms);
        let is_leaving = |info: &&mut WorkerInfo| {
            let Incarnation { worker, born_ms } = &info.incarnation;
            *worker == leave.worker && leave.born_ms.is_none_or(|own_ms| own_ms == *born_ms)
        };
        if let Some(info) = self.info.as_mut().filter(is_leaving) {
            info.draining = true;
        }
    }
}

/// Poll by the scheduler.
#[derive(Message)]
#[rtype(result = "PollReply")]
pub(crate) struct Poll(pub PollRequest);

/// What a poll of the worker showed about its state.
#[derive(Message)]
#[rtype(result = "()")]
struct WorkerSeen {
    /// Whether the worker did not refuse the connection.
    is_up: bool,
    /// Incarnation that the poll was meant for, if the answer shows that the worker is another or
    /// started earlier.
    disproved: Option<Incarnation>,
}

impl Handler<WorkerSeen> for Relay {
    type Result = ();

    fn handle(&mut self, seen: WorkerSeen, _: &mut Self::Context) {
        if let Some(incarnation) = &seen.disproved {
            self.order.disprove(incarnation);
        }
        if seen.is_up != self.is_up {
            let event = if seen.is_up {
                Event::WorkerUp
            } else {
                Event::WorkerDown
            };
            log_event!(info, event, agent = %self.agent);
            self.is_up = seen.is_up;
        }
    }
}

impl Handler<Poll> for Relay {
    type Result = ResponseFuture<PollReply>;

    fn handle(&mut self, Poll(request): Poll, context: &mut Self::Context) -> Self::Result {
        if self.observe_fence(request.fence) {
            return Box::pin(async { PollReply::Fenced });
        }
        let info = self.info.clone();
        let poll = WorkerPoll {
            fence: request.fence,
            lease_until_clock_ms: request.lease_until_clock_ms,
            acknowledged: request.acknowledged,
            wait_ms: request.wait_ms,
            worker: info.as_ref().map(|info| info.incarnation.worker.clone()),
        };
        let worker = self.worker.clone();
        let metrics = self.metrics.clone();
        let relay = actix::AsyncContext::address(context);
        Box::pin(async move {
            let started_ms = boot_ms();
            let result = worker.poll(&poll, request.born_ms).await;
            let spent_ms = boot_ms().saturating_sub(started_ms);
            metrics.poll_seconds.observe(spent_ms as f64 / 1_000.0);
            let refused = matches!(result, Err(WorkerError::Refused));
            let expected = info.as_ref().map(|info| &info.incarnation);
            let is_disproved = |expected: &&Incarnation| match &result {
                Ok(report) => report.born_ms < expected.born_ms,
                Err(error) => *error == WorkerError::OtherIncarnation,
            };
            relay.do_send(WorkerSeen {
                is_up: !refused,
                disproved: expected.filter(is_disproved).cloned(),
            });
            match result {
                Ok(report) => PollReply::Alive { info, report },
                Err(WorkerError::Refused) => PollReply::Absent,
                Err(WorkerError::NoAnswer(_) | WorkerError::Disconnected) => PollReply::Silent,
                Err(WorkerError::Fenced) => PollReply::Fenced,
                Err(WorkerError::OtherIncarnation) => PollReply::OtherLife,
            }
        })
    }
}

/// Order of the scheduler to start a run.
#[derive(Message)]
#[rtype(result = "StartOutcome")]
pub(crate) struct Start(pub StartOrder);

impl Handler<Start> for Relay {
    type Result = ResponseFuture<StartOutcome>;

    fn handle(&mut self, Start(order): Start, _: &mut Self::Context) -> Self::Result {
        if self.observe_fence(order.fence) {
            return Box::pin(async { StartOutcome::Fenced });
        }
        let target = &order.incarnation;
        let has_other_name = |info: &WorkerInfo| info.incarnation.worker != target.worker;
        let is_other_worker = self.info.as_ref().is_some_and(has_other_name);
        if self.is_draining() || is_other_worker {
            log_event!(info, Event::OrderRefused, agent = %self.agent, task = %order.task,
                run = order.run, draining = self.is_draining(), other_life = is_other_worker);
            return Box::pin(async { StartOutcome::Unavailable });
        }
        let worker = self.worker.clone();
        let metrics = self.metrics.clone();
        let agent = self.agent.clone();
        Box::pin(async move {
            let outcome = worker.start(&order).await;
            metrics.count_start(outcome);
            log_event!(info, Event::RunOrdered, agent = %agent, task = %order.task, run = order.run,
                epoch = order.fence, outcome = %outcome);
            outcome
        })
    }
}

/// Order of the scheduler to stop a run. Returns true if the worker confirmed it.
#[derive(Message)]
#[rtype(result = "bool")]
pub(crate) struct Stop(pub StopOrder);

impl Handler<Stop> for Relay {
    type Result = ResponseFuture<bool>;

    fn handle(&mut self, Stop(order): Stop, _: &mut Self::Context) -> Self::Result {
        if self.observe_fence(order.fence) {
            return Box::pin(async { false });
        }
        let worker = self.worker.clone();
        let agent = self.agent.clone();
        Box::pin(async move {
            let confirmed = worker.stop(&order).await;
            log_event!(info, Event::RunStopped, agent = %agent, task = %order.task, run = order.run,
                epoch = order.fence, confirmed);
            confirmed
        })
    }
}

/// Order of the scheduler to change the pace of a run. Returns true if the worker confirmed it.
#[derive(Message)]
#[rtype(result = "bool")]
pub(crate) struct Pace(pub PaceOrder);

impl Handler<Pace> for Relay {
    type Result = ResponseFuture<bool>;

    fn handle(&mut self, Pace(order): Pace, _: &mut Self::Context) -> Self::Result {
        if self.observe_fence(order.fence) {
            return Box::pin(async { false });
        }
        let worker = self.worker.clone();
        Box::pin(async move { worker.pace(&order).await })
    }
}

/// Query for how much longer the worker is slow after its start, in milliseconds.
#[derive(Message)]
#[rtype(result = "u64")]
pub(crate) struct GetColdRemaining;

impl Handler<GetColdRemaining> for Relay {
    type Result = u64;

    fn handle(&mut self, _: GetColdRemaining, _: &mut Self::Context) -> u64 {
        self.cold_until_ms.saturating_sub(boot_ms())
    }
}
