//! Calls to the worker runtime and to owners of shards.

use crate::control::Control;
use crate::messages::{Reports, StartDone, StartOutcome, StopDone};
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

/// Time between two renewals of leases; each also tells which attempts ended.
pub(crate) const RENEW_EVERY: Duration = Duration::from_millis(500);
/// Time between two renewals while nothing runs.
const IDLE_RENEW_EVERY: Duration = Duration::from_millis(2_000);
/// Time without a report after which a connection to an owner is closed.
const LINK_IDLE: Duration = Duration::from_secs(10);
/// Time for a report of ends.
const REPORT_TIMEOUT: Duration = Duration::from_millis(1_000);
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
                self.close_idle();
                let pause = if idle { IDLE_RENEW_EVERY } else { RENEW_EVERY };
                actix_rt::time::sleep(pause).await;
            }
        });
    }

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

    pub(crate) fn throttle(self: Rc<Self>, attempt: AttemptRef, percent: u32) {
        actix_rt::spawn(async move {
            let change = ThrottleAttempt { attempt, percent };
            drop(self.runtime.throttle(&self.worker, &change).await);
        });
    }

    fn close_idle(&self) {
        for link in self.links.borrow().values() {
            link.close_if_idle(LINK_IDLE);
        }
    }

    pub(crate) fn report(self: Rc<Self>, owner: SocketAddr, ends: Vec<AttemptEnd>) {
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
