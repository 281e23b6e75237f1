//! Drives batch attempts: orders from owners, the worker runtime, reports of ends.

use crate::control::Control;
use crate::messages::{Reports, StartDone, StartOrders, StartOutcome, StopDone, StopOrders};
use actix::{Addr, AsyncContext, Handler, MessageResult};
use ledger::{Action, OrderDecision, end_kind};
use model::AgentId;
use platform::{
    AttemptRef, AttemptStatus, HttpRuntime, LeaseList, RuntimeRefusal, StartAttempt, StopMode,
    ThrottleAttempt, WorkerRuntime,
};
use settings::AgentSettings;
use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use telemetry::{Event, log_event};
use utils::Map;
use wire::{AttemptEnd, EntryLink, StartOrder, StartResult};

/// Time between two renewals of leases; each also tells which attempts ended.
const RENEW_EVERY: Duration = Duration::from_millis(500);
/// Time between two renewals while nothing runs.
const IDLE_RENEW_EVERY: Duration = Duration::from_millis(2_000);
/// Time for a report of ends.
const REPORT_TIMEOUT: Duration = Duration::from_millis(1_000);
/// Most ends in one report.
const MAX_REPORTED_ENDS: usize = 500;

/// Calls to the worker runtime and to owners of shards.
pub(crate) struct RuntimeDriver {
    /// Name of the worker.
    worker: AgentId,
    /// Length of a lease, in milliseconds.
    lease_ms: u64,
    /// The worker runtime.
    runtime: HttpRuntime,
    /// Links for control calls.
    links: RefCell<Map<SocketAddr, EntryLink>>,
}

impl RuntimeDriver {
    pub fn new(settings: &AgentSettings) -> Self {
        Self {
            worker: settings.id.clone(),
            lease_ms: settings.task_lease_ms,
            runtime: HttpRuntime::new(&settings.platform.url, settings.platform.timeout_ms),
            links: RefCell::default(),
        }
    }

    /// Renews leases for ever.
    pub fn spawn(self: Rc<Self>, control: Addr<Control>) {
        actix_rt::spawn(async move {
            let mut idle = true;
            loop {
                let Ok(attempts) = control.send(AskLeases).await else {
                    return;
                };
                idle &= attempts.is_empty();
                let leases = LeaseList {
                    attempts,
                    lease_ms: self.lease_ms,
                };
                if let Ok(reports) = self.runtime.renew(&self.worker, &leases).await {
                    idle = leases.attempts.is_empty();
                    control.do_send(Reports(reports));
                }
                let pause = if idle { IDLE_RENEW_EVERY } else { RENEW_EVERY };
                actix_rt::time::sleep(pause).await;
            }
        });
    }

    fn start(self: Rc<Self>, control: Addr<Control>, order: &StartOrder) {
        let start = StartAttempt {
            attempt: order.attempt.clone(),
            need: order.need,
            payload: order.payload.clone(),
            checkpoint: order.checkpoint,
            lease_ms: self.lease_ms,
        };
        actix_rt::spawn(async move {
            let outcome = match self.runtime.start(&self.worker, &start).await {
                Ok(()) => StartOutcome::Running,
                Err(RuntimeRefusal::NoRoom | RuntimeRefusal::Fenced) => {
                    let mode = StopMode::Kill;
                    let stopped = self.runtime.stop(&self.worker, &start.attempt, mode).await;
                    stopped.map_or(StartOutcome::Unknown, StartOutcome::Final)
                }
                Err(RuntimeRefusal::Store(_)) => StartOutcome::Unknown,
            };
            control.do_send(StartDone {
                attempt: start.attempt,
                outcome,
            });
        });
    }

    fn stop(self: Rc<Self>, control: Addr<Control>, attempt: AttemptRef, mode: StopMode) {
        actix_rt::spawn(async move {
            let status = self.runtime.stop(&self.worker, &attempt, mode).await.ok();
            control.do_send(StopDone {
                attempt,
                mode,
                status,
            });
        });
    }

    fn throttle(self: Rc<Self>, attempt: AttemptRef, percent: u32) {
        actix_rt::spawn(async move {
            let change = ThrottleAttempt { attempt, percent };
            drop(self.runtime.throttle(&self.worker, &change).await);
        });
    }

    fn report(self: Rc<Self>, owner: SocketAddr, ends: Vec<AttemptEnd>) {
        let link = self
            .links
            .borrow_mut()
            .entry(owner)
            .or_insert_with(|| EntryLink::new(owner))
            .clone();
        actix_rt::spawn(async move {
            let worker = self.worker.clone();
            let report = |client: wire::EntryControlClient, context| async move {
                client.report_ends(context, worker, ends).await
            };
            drop(link.call(REPORT_TIMEOUT, report).await);
        });
    }
}

/// Asks which leases to renew.
#[derive(actix::Message)]
#[rtype(result = "Vec<AttemptRef>")]
pub(crate) struct AskLeases;

impl Control {
    /// Reports ends that no owner has confirmed.
    fn report_ends(&self) {
        let mut by_owner: Map<SocketAddr, Vec<AttemptEnd>> = Map::default();
        for end in self.ledger.unconfirmed() {
            let Some(owner) = self.owners.owner_of(&end.attempt.task.job) else {
                continue;
            };
            let ends = by_owner.entry(owner).or_default();
            if ends.len() < MAX_REPORTED_ENDS {
                ends.push(end.clone());
            }
        }
        for (owner, ends) in by_owner {
            self.runtime.clone().report(owner, ends);
        }
        self.metrics
            .unconfirmed_ends
            .set(self.ledger.unconfirmed().count() as i64);
    }

    fn start_those_with_room(&mut self, control: &Addr<Self>) {
        for order in self.ledger.take_startable() {
            self.runtime.clone().start(control.clone(), &order);
        }
        self.metrics.attempts.set(self.ledger.held().count() as i64);
    }

    /// Checkpoints and stops all attempts, because the VM leaves.
    pub(crate) fn evict_all(&mut self, control: &Addr<Self>) {
        let attempts: Vec<AttemptRef> = self
            .ledger
            .held()
            .map(|(attempt, _)| attempt.clone())
            .collect();
        for attempt in attempts {
            if self.ledger.stopping(&attempt, true) {
                log_event!(info, Event::TaskEvicted, task = %attempt.task);
                self.runtime
                    .clone()
                    .stop(control.clone(), attempt, StopMode::Checkpoint);
            }
        }
    }

    fn control_batch(&mut self, control: &Addr<Self>) {
        let now_ms = self.clock.now_ms();
        let running = self
            .ledger
            .held()
            .filter_map(|(attempt, held)| Some((attempt, held.kind()?)));
        let mut actions = self.controller.observe(now_ms, running);
        if let Some(measurement) = self.times.measurement(now_ms, &self.config) {
            actions.extend(self.controller.decide(now_ms, measurement));
        }
        for action in actions {
            self.carry_out(action, control);
        }
    }

    fn carry_out(&mut self, action: Action, control: &Addr<Self>) {
        match action {
            Action::Throttle { attempt, percent } => {
                let event = if percent < 100 {
                    Event::BatchThrottled
                } else {
                    Event::ThrottleLifted
                };
                log_event!(info, event, task = %attempt.task, percent);
                self.ledger.throttled(&attempt, percent);
                self.runtime.clone().throttle(attempt, percent);
            }
            Action::Evict(attempt) => {
                log_event!(info, Event::TaskEvicted, task = %attempt.task);
                if self.ledger.stopping(&attempt, true) {
                    let mode = StopMode::Checkpoint;
                    self.runtime.clone().stop(control.clone(), attempt, mode);
                }
            }
        }
    }
}

impl Handler<AskLeases> for Control {
    type Result = MessageResult<AskLeases>;

    fn handle(&mut self, _: AskLeases, _: &mut Self::Context) -> Self::Result {
        MessageResult(self.ledger.leases())
    }
}

impl Handler<Reports> for Control {
    type Result = ();

    fn handle(&mut self, Reports(reports): Reports, context: &mut Self::Context) {
        self.ledger.on_reports(self.clock.now_ms(), &reports);
        self.start_those_with_room(&context.address());
        self.control_batch(&context.address());
        self.report_ends();
    }
}

impl Handler<StartOrders> for Control {
    type Result = MessageResult<StartOrders>;

    fn handle(&mut self, message: StartOrders, context: &mut Self::Context) -> Self::Result {
        if !self.owners.adopt(message.owner) {
            return MessageResult(vec![StartResult::StaleOwner; message.orders.len()]);
        }
        if self.is_draining() {
            return MessageResult(vec![StartResult::Refused; message.orders.len()]);
        }
        let now_ms = self.clock.now_ms();
        let mut results = Vec::with_capacity(message.orders.len());
        for order in &message.orders {
            results.push(match self.ledger.order(now_ms, order) {
                OrderDecision::Start => {
                    self.runtime.clone().start(context.address(), order);
                    StartResult::Accepted
                }
                OrderDecision::Preempt(victims) => {
                    for victim in victims {
                        log_event!(info, Event::TaskEvicted, task = %victim.task);
                        let mode = StopMode::Checkpoint;
                        self.runtime.clone().stop(context.address(), victim, mode);
                    }
                    StartResult::Accepted
                }
                OrderDecision::Known => StartResult::Accepted,
                OrderDecision::Refuse => StartResult::Refused,
            });
        }
        self.metrics.attempts.set(self.ledger.held().count() as i64);
        MessageResult(results)
    }
}

impl Handler<StopOrders> for Control {
    type Result = ();

    fn handle(&mut self, message: StopOrders, context: &mut Self::Context) {
        if !self.owners.adopt(message.owner) {
            return;
        }
        for order in message.orders {
            let is_held = self.ledger.get(&order.attempt).is_some();
            let is_unknown = !is_held && !self.ledger.has_end(&order.attempt);
            if is_unknown || self.ledger.stopping(&order.attempt, order.checkpoint) {
                let mode = if order.checkpoint {
                    StopMode::Checkpoint
                } else {
                    StopMode::Kill
                };
                self.runtime
                    .clone()
                    .stop(context.address(), order.attempt, mode);
            }
        }
    }
}

impl Handler<StartDone> for Control {
    type Result = ();

    fn handle(&mut self, done: StartDone, context: &mut Self::Context) {
        match done.outcome {
            StartOutcome::Running => {
                self.ledger.started(&done.attempt);
                // A kind that had to be held back is held back from its start.
                self.control_batch(&context.address());
            }
            StartOutcome::Final(status) => self.on_final(&done.attempt, status, context),
            StartOutcome::Unknown => {
                let order = self
                    .ledger
                    .get(&done.attempt)
                    .and_then(|held| held.order.clone());
                let control = context.address();
                let runtime = self.runtime.clone();
                actix_rt::spawn(async move {
                    actix_rt::time::sleep(RENEW_EVERY).await;
                    if let Some(order) = order {
                        runtime.start(control, &order);
                    }
                });
            }
        }
    }
}

impl Handler<StopDone> for Control {
    type Result = ();

    fn handle(&mut self, done: StopDone, context: &mut Self::Context) {
        match done.status {
            Some(status) if status.is_final() => self.on_final(&done.attempt, status, context),
            _ => {
                let control = context.address();
                let runtime = self.runtime.clone();
                actix_rt::spawn(async move {
                    actix_rt::time::sleep(RENEW_EVERY).await;
                    runtime.stop(control, done.attempt, done.mode);
                });
            }
        }
    }
}

impl Control {
    fn on_final(
        &mut self,
        attempt: &AttemptRef,
        status: AttemptStatus,
        context: &mut actix::Context<Self>,
    ) {
        if !status.is_final() {
            return;
        }
        self.ledger
            .ended(self.clock.now_ms(), attempt, end_kind(status));
        self.start_those_with_room(&context.address());
        self.report_ends();
    }
}
