//! Calls to the worker runtime, and reports of ended attempts to shard owners.

use crate::control::Control;
use crate::messages::{GetLeasedAttempts, RuntimeReports, StartDone, StartOutcome, StopDone};
use actix::Addr;
use backing::{
    AttemptRef, HttpRuntime, LeaseList, RuntimeRefusal, StartAttempt, StopMode, ThrottleAttempt,
    WorkerRuntime,
};
use model::AgentId;
use settings::AgentSettings;
use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use utils::Map;
use wire::{AttemptEnd, EntryLink, StartOrder};

/// Interval between lease renewals; the reply to each also reports which attempts ended.
pub(crate) const RENEW_INTERVAL: Duration = Duration::from_millis(500);
/// Interval between lease renewals while no attempt is running.
const IDLE_RENEW_INTERVAL: Duration = Duration::from_millis(2_000);
/// Time after which an unused connection to a shard owner is closed.
const LINK_IDLE_TIMEOUT: Duration = Duration::from_secs(10);
/// Timeout of one report of ends.
const REPORT_TIMEOUT: Duration = Duration::from_millis(1_000);

/// Client of the worker runtime and of shard owners. Each call runs in a spawned task; its result,
/// if any, goes to the control actor as a message.
pub(crate) struct RuntimeClient {
    /// Id of the worker, the same as the agent's.
    worker: AgentId,
    /// Length of a lease on an attempt, in milliseconds.
    lease_ms: u64,
    /// Client of the worker runtime.
    runtime: HttpRuntime,
    /// Links to shard owners, by control address.
    links: RefCell<Map<SocketAddr, EntryLink>>,
}

impl RuntimeClient {
    pub fn new(settings: &AgentSettings) -> Self {
        Self {
            worker: settings.id.clone(),
            lease_ms: settings.task_lease_ms,
            runtime: HttpRuntime::new(&settings.platform.url, settings.platform.timeout_ms),
            links: RefCell::default(),
        }
    }

    /// Spawns the task that renews leases until the control actor stops.
    pub fn spawn_lease_renewal(self: Rc<Self>, control: Addr<Control>) {
        actix_rt::spawn(async move {
            let mut idle = true;
            loop {
                let Ok(attempts) = control.send(GetLeasedAttempts).await else {
                    return;
                };
                idle &= attempts.is_empty();
                let leases = LeaseList {
                    attempts,
                    lease_ms: self.lease_ms,
                };
                if let Ok(reports) = self.runtime.renew(&self.worker, &leases).await {
                    idle = leases.attempts.is_empty();
                    control.do_send(RuntimeReports(reports));
                }
                self.close_idle();
                let pause = if idle {
                    IDLE_RENEW_INTERVAL
                } else {
                    RENEW_INTERVAL
                };
                actix_rt::time::sleep(pause).await;
            }
        });
    }

    /// Starts an attempt. If the runtime refuses it, stops it, so that the attempt has a final status
    /// that can be reported to its owner.
    pub(crate) fn start(self: Rc<Self>, control: Addr<Control>, order: &StartOrder) {
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

    /// Stops an attempt.
    pub(crate) fn stop(
        self: Rc<Self>,
        control: Addr<Control>,
        attempt: AttemptRef,
        mode: StopMode,
    ) {
        actix_rt::spawn(async move {
            let status = self.runtime.stop(&self.worker, &attempt, mode).await.ok();
            control.do_send(StopDone {
                attempt,
                mode,
                status,
            });
        });
    }

    /// Sets an attempt's share of its processors. A failed call is neither reported nor repeated.
    pub(crate) fn throttle(self: Rc<Self>, attempt: AttemptRef, percent: u32) {
        actix_rt::spawn(async move {
            let change = ThrottleAttempt { attempt, percent };
            drop(self.runtime.throttle(&self.worker, &change).await);
        });
    }

    fn close_idle(&self) {
        for link in self.links.borrow().values() {
            link.close_if_idle(LINK_IDLE_TIMEOUT);
        }
    }

    /// Reports ends to a shard owner. A failed call is not repeated here: unconfirmed ends are part
    /// of the next report.
    pub(crate) fn report_ends(self: Rc<Self>, owner: SocketAddr, ends: Vec<AttemptEnd>) {
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
