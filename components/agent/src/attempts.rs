//! Batch attempts: orders of shard owners, results of runtime calls, reports of ended attempts.

use crate::control::Control;
use crate::messages::{
    GetLeasedAttempts, RuntimeReports, StartDone, StartOrders, StartOutcome, StopDone, StopOrders,
};
use crate::runtime_client::RENEW_INTERVAL;
use actix::{Addr, AsyncContext, Handler, MessageResult};
use backing::{AttemptRef, AttemptStatus, StopMode};
use ledger::{Action, AdmissionDecision, end_kind};
use std::net::SocketAddr;
use telemetry::{Event, log_event};
use utils::Map;
use wire::{AttemptEnd, StartResult};

/// Largest number of ends in one report to an owner; the rest follow in later reports.
const MAX_REPORTED_ENDS: usize = 500;

impl Control {
    /// Sends each owner the ends that it has not confirmed yet.
    fn report_ends(&self) {
        let mut by_owner: Map<SocketAddr, Vec<AttemptEnd>> = Map::default();
        for end in self.ledger.unconfirmed_ends() {
            let Some(owner) = self.owners.owner_of(&end.attempt.task.job) else {
                continue;
            };
            let ends = by_owner.entry(owner).or_default();
            if ends.len() < MAX_REPORTED_ENDS {
                ends.push(end.clone());
            }
        }
        for (owner, ends) in by_owner {
            self.runtime.clone().report_ends(owner, ends);
        }
        self.metrics
            .unconfirmed_ends
            .set(self.ledger.unconfirmed_ends().count() as i64);
    }

    /// Starts the queued attempts for which there is enough free capacity now.
    fn start_queued_attempts(&mut self, control: &Addr<Self>) {
        for order in self.ledger.take_startable() {
            self.runtime.clone().start(control.clone(), &order);
        }
        self.metrics
            .attempts
            .set(self.ledger.allocations().count() as i64);
    }

    /// Checkpoints and stops all attempts, because the VM is drained.
    pub(crate) fn evict_all(&mut self, control: &Addr<Self>) {
        let attempts: Vec<AttemptRef> = self
            .ledger
            .allocations()
            .map(|(attempt, _)| attempt.clone())
            .collect();
        for attempt in attempts {
            if self.ledger.mark_stopping(&attempt, true) {
                log_event!(info, Event::TaskEvicted, task = %attempt.task);
                self.runtime
                    .clone()
                    .stop(control.clone(), attempt, StopMode::Checkpoint);
            }
        }
    }

    /// Throttles, releases or evicts batch attempts according to how slow the services are.
    fn regulate_batch(&mut self, control: &Addr<Self>) {
        let now_ms = self.clock.now_ms();
        let running = self
            .ledger
            .allocations()
            .filter_map(|(attempt, allocation)| Some((attempt, allocation.kind()?)));
        let mut actions = self.interference_controller.observe(now_ms, running);
        if let Some(measurement) = self.service_times.measurement(now_ms, &self.config) {
            actions.extend(self.interference_controller.decide(now_ms, measurement));
        }
        for action in actions {
            self.apply_action(action, control);
        }
    }

    fn apply_action(&mut self, action: Action, control: &Addr<Self>) {
        match action {
            Action::Throttle { attempt, percent } => {
                let event = if percent < 100 {
                    Event::BatchThrottled
                } else {
                    Event::ThrottleLifted
                };
                log_event!(info, event, task = %attempt.task, percent);
                self.ledger.set_throttle(&attempt, percent);
                self.runtime.clone().throttle(attempt, percent);
            }
            Action::Evict(attempt) => {
                log_event!(info, Event::TaskEvicted, task = %attempt.task);
                if self.ledger.mark_stopping(&attempt, true) {
                    let mode = StopMode::Checkpoint;
                    self.runtime.clone().stop(control.clone(), attempt, mode);
                }
            }
        }
    }
}

impl Handler<GetLeasedAttempts> for Control {
    type Result = MessageResult<GetLeasedAttempts>;

    fn handle(&mut self, _: GetLeasedAttempts, _: &mut Self::Context) -> Self::Result {
        MessageResult(self.ledger.leased_attempts())
    }
}

impl Handler<RuntimeReports> for Control {
    type Result = ();

    fn handle(&mut self, RuntimeReports(reports): RuntimeReports, context: &mut Self::Context) {
        self.ledger.on_reports(self.clock.now_ms(), &reports);
        self.start_queued_attempts(&context.address());
        self.regulate_batch(&context.address());
        self.report_ends();
    }
}

impl Handler<StartOrders> for Control {
    type Result = MessageResult<StartOrders>;

    fn handle(&mut self, message: StartOrders, context: &mut Self::Context) -> Self::Result {
        if !self.owners.adopt(message.owner) {
            return MessageResult(vec![StartResult::StaleOwner; message.orders.len()]);
        }
        let now_ms = self.clock.now_ms();
        let mut results = Vec::with_capacity(message.orders.len());
        for order in &message.orders {
            results.push(match self.ledger.admit(now_ms, order) {
                AdmissionDecision::Start => {
                    self.runtime.clone().start(context.address(), order);
                    StartResult::Accepted
                }
                AdmissionDecision::Preempt(victims) => {
                    for victim in victims {
                        log_event!(info, Event::TaskEvicted, task = %victim.task);
                        let mode = StopMode::Checkpoint;
                        self.runtime.clone().stop(context.address(), victim, mode);
                    }
                    StartResult::Accepted
                }
                AdmissionDecision::Known => StartResult::Accepted,
                AdmissionDecision::Refuse => StartResult::Refused,
                AdmissionDecision::Unready => StartResult::Unready,
            });
        }
        self.metrics
            .attempts
            .set(self.ledger.allocations().count() as i64);
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
            let is_allocated = self.ledger.get(&order.attempt).is_some();
            let is_unknown = !is_allocated && !self.ledger.has_unconfirmed_end(&order.attempt);
            if is_unknown || self.ledger.mark_stopping(&order.attempt, order.checkpoint) {
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
                self.ledger.mark_running(&done.attempt);
                // An attempt of a kind that was throttled before is throttled from its start.
                self.regulate_batch(&context.address());
            }
            StartOutcome::Final(status) => self.record_final_status(&done.attempt, status, context),
            StartOutcome::Unknown => {
                let order = self
                    .ledger
                    .get(&done.attempt)
                    .and_then(|allocation| allocation.order.clone());
                let control = context.address();
                let runtime = self.runtime.clone();
                actix_rt::spawn(async move {
                    actix_rt::time::sleep(RENEW_INTERVAL).await;
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
            Some(status) if status.is_final() => {
                self.record_final_status(&done.attempt, status, context);
            }
            _ => {
                let control = context.address();
                let runtime = self.runtime.clone();
                actix_rt::spawn(async move {
                    actix_rt::time::sleep(RENEW_INTERVAL).await;
                    runtime.stop(control, done.attempt, done.mode);
                });
            }
        }
    }
}

impl Control {
    /// Records the end of an attempt, uses the freed capacity and reports the end to the owner.
    fn record_final_status(
        &mut self,
        attempt: &AttemptRef,
        status: AttemptStatus,
        context: &mut actix::Context<Self>,
    ) {
        if !status.is_final() {
            return;
        }
        self.ledger
            .record_end(self.clock.now_ms(), attempt, end_kind(status));
        self.start_queued_attempts(&context.address());
        self.report_ends();
    }
}
