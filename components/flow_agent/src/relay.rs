//! The agent's control thread: passes orders to the worker, and refuses what is out of date.

use crate::metrics::Metrics;
use crate::worker_client::{WorkerClient, WorkerError, WorkerPoll};
use actix::{Actor, Context, Handler, Message, ResponseFuture};
use flow::{PaceOrder, PollReply, PollRequest, StartOrder, StartOutcome, StopOrder, WorkerInfo};
use model::AgentId;
use std::rc::Rc;
use telemetry::{Event, log_event};
use utils::boot_ms;

/// The agent's mutable state.
pub(crate) struct Relay {
    /// Name of the agent.
    agent: AgentId,
    /// The worker.
    worker: Rc<dyn WorkerClient>,
    /// What the worker's newest heartbeat says.
    info: Option<WorkerInfo>,
    /// Number of that heartbeat.
    sequence: u64,
    /// Newest life of the worker of which its own lists told.
    listed_born_ms: Option<u64>,
    /// Highest fencing token seen.
    fence: u64,
    /// Whether the worker answered last time.
    is_up: bool,
    /// Metrics of the process.
    metrics: Metrics,
}

impl Relay {
    pub fn new(agent: AgentId, worker: Rc<dyn WorkerClient>, metrics: Metrics) -> Self {
        Self {
            agent,
            worker,
            info: None,
            sequence: 0,
            listed_born_ms: None,
            fence: 0,
            is_up: true,
            metrics,
        }
    }

    /// Takes a fencing token; answers whether a newer one was seen before.
    fn is_fenced(&mut self, fence: u64) -> bool {
        if fence > self.fence {
            log_event!(info, Event::SchedulerSeen, agent = %self.agent, epoch = fence, before = self.fence);
            self.fence = fence;
        }
        fence < self.fence
    }

    /// Newest life of the worker, by its heartbeats and its lists.
    fn born_ms(&self) -> Option<u64> {
        let info = self.info.as_ref();
        let heard_ms = info.map(|info| info.incarnation.born_ms);
        heard_ms.max(self.listed_born_ms)
    }

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

/// A heartbeat of the worker.
#[derive(Message)]
#[rtype(result = "()")]
pub(crate) struct Heard {
    /// What it says.
    pub info: WorkerInfo,
    /// Its number; it grows within one life of the worker.
    pub sequence: u64,
}

impl Handler<Heard> for Relay {
    type Result = ();

    fn handle(&mut self, heard: Heard, _: &mut Self::Context) {
        self.metrics.heartbeats.inc();
        let born_ms = heard.info.incarnation.born_ms;
        if let Some(known) = &self.info {
            let known_ms = known.incarnation.born_ms;
            let is_late =
                born_ms < known_ms || (born_ms == known_ms && heard.sequence <= self.sequence);
            if is_late {
                return;
            }
        }
        let changed = self.info.as_ref().is_none_or(|known| {
            known.incarnation != heard.info.incarnation || known.draining != heard.info.draining
        });
        if changed {
            let info = &heard.info;
            log_event!(info, Event::WorkerHeard, agent = %self.agent, worker = %info.incarnation.worker,
                born_ms, draining = info.draining, sequence = heard.sequence);
        }
        self.sequence = heard.sequence;
        self.info = Some(heard.info);
    }
}

/// The worker says that it ends now.
#[derive(Message)]
#[rtype(result = "()")]
pub(crate) struct Left {
    /// Name of the worker.
    pub worker: String,
}

impl Handler<Left> for Relay {
    type Result = ();

    fn handle(&mut self, left: Left, _: &mut Self::Context) {
        log_event!(info, Event::WorkerLeft, agent = %self.agent, worker = %left.worker);
        let is_it = |info: &&mut WorkerInfo| info.incarnation.worker == left.worker;
        if let Some(info) = self.info.as_mut().filter(is_it) {
            info.draining = true;
        }
    }
}

/// A poll of the scheduler.
#[derive(Message)]
#[rtype(result = "PollReply")]
pub(crate) struct Poll(pub PollRequest);

/// What a call to the worker showed of it.
#[derive(Message)]
#[rtype(result = "()")]
struct Seen {
    /// Whether it answered.
    up: bool,
    /// The life of which its lists told, if it gave any.
    born_ms: Option<u64>,
}

impl Handler<Seen> for Relay {
    type Result = ();

    fn handle(&mut self, seen: Seen, _: &mut Self::Context) {
        self.listed_born_ms = self.listed_born_ms.max(seen.born_ms);
        if seen.up != self.is_up {
            let event = if seen.up {
                Event::WorkerUp
            } else {
                Event::WorkerDown
            };
            log_event!(info, event, agent = %self.agent);
            self.is_up = seen.up;
        }
    }
}

impl Handler<Poll> for Relay {
    type Result = ResponseFuture<PollReply>;

    fn handle(&mut self, Poll(request): Poll, context: &mut Self::Context) -> Self::Result {
        if self.is_fenced(request.fence) {
            return Box::pin(async { PollReply::Fenced });
        }
        let info = self.info.clone();
        // Ends are numbered anew in each life: those of one life are not acknowledged to another.
        let is_meant = request.born_ms.is_some() && request.born_ms == self.born_ms();
        let call = WorkerPoll {
            fence: request.fence,
            lease_until_clock_ms: request.lease_until_clock_ms.filter(|_| is_meant),
            acknowledged: if is_meant { request.acknowledged } else { 0 },
            wait_ms: request.wait_ms,
            worker: info.as_ref().map(|info| info.incarnation.worker.clone()),
        };
        let worker = self.worker.clone();
        let metrics = self.metrics.clone();
        let relay = actix::AsyncContext::address(context);
        Box::pin(async move {
            let began_ms = boot_ms();
            let held = worker.poll(&call).await;
            let spent_ms = boot_ms().saturating_sub(began_ms);
            metrics.hold_seconds.observe(spent_ms as f64 / 1_000.0);
            let refused = matches!(held, Err(WorkerError::Refused));
            let born_ms = held.as_ref().ok().map(|report| report.born_ms);
            relay.do_send(Seen {
                up: !refused,
                born_ms,
            });
            match held {
                Ok(report) => PollReply::Alive { info, report },
                Err(WorkerError::Refused) => PollReply::Absent,
                Err(WorkerError::NoAnswer(_)) => PollReply::Silent,
                Err(WorkerError::Fenced) => PollReply::Fenced,
                Err(WorkerError::OtherIncarnation) => PollReply::OtherLife,
            }
        })
    }
}

/// A start that the scheduler orders.
#[derive(Message)]
#[rtype(result = "StartOutcome")]
pub(crate) struct Start(pub StartOrder);

impl Handler<Start> for Relay {
    type Result = ResponseFuture<StartOutcome>;

    fn handle(&mut self, Start(order): Start, _: &mut Self::Context) -> Self::Result {
        if self.is_fenced(order.fence) {
            return Box::pin(async { StartOutcome::Fenced });
        }
        let meant = &order.incarnation;
        let is_other = |info: &WorkerInfo| info.incarnation.worker != meant.worker;
        let is_newer = self
            .born_ms()
            .is_some_and(|born_ms| born_ms != meant.born_ms);
        let other_life = is_newer || self.info.as_ref().is_some_and(is_other);
        if self.is_draining() || other_life {
            log_event!(info, Event::OrderRefused, agent = %self.agent, task = %order.task,
                run = order.run, draining = self.is_draining(), other_life);
            return Box::pin(async { StartOutcome::Unavailable });
        }
        let worker = self.worker.clone();
        let metrics = self.metrics.clone();
        let agent = self.agent.clone();
        Box::pin(async move {
            let outcome = worker.start(&order).await;
            metrics.start(outcome);
            log_event!(info, Event::RunOrdered, agent = %agent, task = %order.task, run = order.run,
                epoch = order.fence, outcome = %outcome);
            outcome
        })
    }
}

/// A stop that the scheduler orders.
#[derive(Message)]
#[rtype(result = "bool")]
pub(crate) struct Stop(pub StopOrder);

impl Handler<Stop> for Relay {
    type Result = ResponseFuture<bool>;

    fn handle(&mut self, Stop(order): Stop, _: &mut Self::Context) -> Self::Result {
        if self.is_fenced(order.fence) {
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

/// A change of pace that the scheduler orders.
#[derive(Message)]
#[rtype(result = "bool")]
pub(crate) struct Pace(pub PaceOrder);

impl Handler<Pace> for Relay {
    type Result = ResponseFuture<bool>;

    fn handle(&mut self, Pace(order): Pace, _: &mut Self::Context) -> Self::Result {
        if self.is_fenced(order.fence) {
            return Box::pin(async { false });
        }
        let worker = self.worker.clone();
        Box::pin(async move { worker.pace(&order).await })
    }
}
