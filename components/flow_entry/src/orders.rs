//! Orders of the scheduler to agents: to start, stop and pace runs.

use crate::agents::delivery;
use crate::coordinator::Coordinator;
use crate::messages::{PaceLost, StartDone, StopDone};
use actix::{AsyncContext, Context, Handler};
use flow::{Delivery, OfferId, PaceOrder, RunRef, StartInput, StartOrder, StartOutcome, StopOrder};
use std::time::Duration;
use telemetry::{Event, log_event};
use utils::boot_ms;
use wire::LinkError;

/// Timeout of an order to an agent.
const ORDER_TIMEOUT: Duration = Duration::from_millis(900);
/// Least remaining time of a worker's lease with which a run is started, in milliseconds.
const MIN_START_LEASE_MS: u64 = 500;

impl Coordinator {
    /// Orders the agent of a worker to start a run. Without a call, the outcome is `Late` if the
    /// agent is unknown, or its worker has no report yet or would get too short a lease.
    pub(crate) fn send_start(
        &mut self,
        run: RunRef,
        input: StartInput,
        context: &mut Context<Self>,
    ) {
        let now_ms = boot_ms();
        let Some(leadership) = self.leadership.as_mut() else {
            return;
        };
        let lease_limit = leadership.lease_limit(now_ms);
        let lease_limit = leadership.scheduler.start_lease_limit(lease_limit);
        let epoch = leadership.epoch;
        let link = leadership
            .agents
            .get(&run.agent)
            .filter(|_| lease_limit.until_ms >= now_ms + MIN_START_LEASE_MS)
            .map(|connection| connection.link.clone());
        let Some(link) = link else {
            context.notify(start_done(epoch, &run, None, StartOutcome::Late));
            return;
        };
        let lease = leadership
            .scheduler
            .offer_start_lease(&run.agent, lease_limit);
        let Some(lease) = lease else {
            context.notify(start_done(epoch, &run, None, StartOutcome::Late));
            return;
        };
        let order = StartOrder {
            fence: epoch,
            incarnation: run.incarnation.clone(),
            lease_until_clock_ms: lease.until_clock_ms,
            task: run.task.clone(),
            run: run.run,
            payload: input.payload,
            checkpoint: input.checkpoint,
        };
        let control = context.address();
        actix_rt::spawn(async move {
            let call = link.call(ORDER_TIMEOUT, |client, context| async move {
                client.start(context, order).await
            });
            let reply = call.await;
            let settled = Some((lease.id, delivery(&reply)));
            let outcome = match reply {
                Ok(outcome) => outcome,
                Err(LinkError::Connect(_) | LinkError::Refused(_)) => StartOutcome::Unavailable,
                Err(LinkError::NoAnswer(_)) => StartOutcome::Unknown,
            };
            control.do_send(start_done(epoch, &run, settled, outcome));
        });
    }

    /// Orders the agent of a worker to stop a run.
    pub(crate) fn send_stop(&mut self, run: RunRef, context: &mut Context<Self>) {
        let Some(leadership) = self.leadership.as_ref() else {
            return;
        };
        let epoch = leadership.epoch;
        let Some(link) = leadership
            .agents
            .get(&run.agent)
            .map(|connection| connection.link.clone())
        else {
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
            // Without a confirmation, the next report that contains the run causes another stop.
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

    /// Orders the agent of a worker to let a run work at `percent` of its full pace.
    pub(crate) fn send_pace(&mut self, run: RunRef, percent: u32, context: &mut Context<Self>) {
        let Some(leadership) = self.leadership.as_ref() else {
            return;
        };
        let Some(link) = leadership
            .agents
            .get(&run.agent)
            .map(|connection| connection.link.clone())
        else {
            return;
        };
        let (epoch, control) = (leadership.epoch, context.address());
        let order = PaceOrder {
            fence: epoch,
            incarnation: run.incarnation,
            task: run.task,
            run: run.run,
            percent,
        };
        actix_rt::spawn(async move {
            log_event!(info, Event::RunPaced, agent = %run.agent, task = %order.task, run = run.run,
                percent);
            let (task, run) = (order.task.clone(), order.run);
            let call = link.call(ORDER_TIMEOUT, |client, context| async move {
                client.pace(context, order).await
            });
            if call.await != Ok(true) {
                control.do_send(PaceLost { epoch, task, run });
            }
        });
    }
}

/// Message with the outcome of an order to start `run`, and what became of the offer of a lease in
/// it, if it had one.
fn start_done(
    epoch: u64,
    run: &RunRef,
    settled: Option<(OfferId, Delivery)>,
    outcome: StartOutcome,
) -> StartDone {
    StartDone {
        epoch,
        settled,
        agent: run.agent.clone(),
        task: run.task.clone(),
        run: run.run,
        outcome,
    }
}

impl Handler<StartDone> for Coordinator {
    type Result = ();

    fn handle(&mut self, done: StartDone, context: &mut Self::Context) {
        let now_ms = boot_ms();
        let Some(leadership) = self
            .leadership
            .as_mut()
            .filter(|leadership| leadership.epoch == done.epoch)
        else {
            return;
        };
        if let Some((offer, delivery)) = done.settled {
            leadership
                .scheduler
                .settle_lease(&done.agent, offer, delivery);
        }
        leadership
            .scheduler
            .on_start(now_ms, &done.agent, &done.task, done.run, done.outcome);
        self.request_scheduling_pass(context);
    }
}

impl Handler<StopDone> for Coordinator {
    type Result = ();

    fn handle(&mut self, done: StopDone, _: &mut Self::Context) {
        let now_ms = boot_ms();
        if let Some(leadership) = self
            .leadership
            .as_mut()
            .filter(|leadership| leadership.epoch == done.epoch)
        {
            leadership
                .scheduler
                .on_stopped(now_ms, &done.agent, &done.task, done.run);
        }
    }
}

impl Handler<PaceLost> for Coordinator {
    type Result = ();

    fn handle(&mut self, lost: PaceLost, _: &mut Self::Context) {
        if let Some(leadership) = self
            .leadership
            .as_mut()
            .filter(|leadership| leadership.epoch == lost.epoch)
        {
            leadership.scheduler.on_pace_lost(&lost.task, lost.run);
        }
    }
}
