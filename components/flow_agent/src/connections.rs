//! Calls to the worker, each over a connection whose incarnation of the worker is known.
//!
//! Incarnations of a worker can share its name and its address, so that neither tells which one gets a
//! call. A connection does: it ends with the incarnation that accepted it. A new connection is
//! identified by a poll that changes nothing, and carries other calls only if they are meant for the
//! incarnation that answered.

use crate::metrics::{CallKind, Metrics};
use crate::pool::{Identified, Pool, Target};
use crate::worker_client::{WorkerClient, WorkerError, WorkerPoll};
use flow::{Incarnation, PaceOrder, StartOrder, StartOutcome, StopOrder, WorkerReport};
use model::AgentId;
use std::cell::{Cell, RefCell};
use std::rc::Rc;
use telemetry::{Event, log_event};
use utils::boot_ms;

/// Connections of an agent to its worker.
pub(crate) struct Connections {
    /// Name of the agent, for the log.
    agent: AgentId,
    /// Makes connections to the worker.
    client: Rc<dyn WorkerClient>,
    /// Idle connections.
    pool: RefCell<Pool>,
    /// Starts of the incarnations that the last withheld poll was meant for and found, as the scheduler
    /// repeats such polls until it knows the new one.
    withheld_poll: Cell<Option<(u64, u64)>>,
    /// Metrics that the agent exports.
    metrics: Metrics,
}

/// Who makes a call, as the first poll on a new connection states it.
#[derive(Debug, Clone, Copy)]
struct Caller<'a> {
    /// Fencing token of the scheduler.
    fence: u64,
    /// Name that the worker must have; `None` for any.
    worker: Option<&'a str>,
}

impl Connections {
    pub fn new(agent: AgentId, client: Rc<dyn WorkerClient>, metrics: Metrics) -> Self {
        Self {
            agent,
            client,
            pool: RefCell::default(),
            withheld_poll: Cell::default(),
            metrics,
        }
    }

    /// Polls the worker. If it is not the incarnation that started at `born_ms`, its lease and the
    /// acknowledgement are withheld, and the poll does not wait.
    ///
    /// # Errors
    /// There is no report.
    pub async fn poll(
        &self,
        poll: &WorkerPoll,
        born_ms: Option<u64>,
    ) -> Result<WorkerReport, WorkerError> {
        let report_only = WorkerPoll::report_only(poll.fence, poll.worker.clone());
        let caller = Caller {
            fence: poll.fence,
            worker: poll.worker.as_deref(),
        };
        let call = async |identified: &Identified| {
            let poll = if self.is_meant(born_ms, identified) {
                poll
            } else {
                &report_only
            };
            let report = identified.connection.poll(poll).await?;
            if report.born_ms != identified.born_ms {
                // The worker breaks the rule that a connection ends with its incarnation.
                let number = self.pool.borrow_mut().number_connection();
                self.note_incarnation(number, report.born_ms);
            }
            Ok(report)
        };
        if let Some(result) = self.call_over_idle(Target::Any, &call).await {
            return result;
        }
        let (identified, report) = self.connect(caller).await?;
        if self.is_meant(born_ms, &identified) {
            return self.call_over(identified, &call).await;
        }
        self.pool.borrow_mut().put_back(identified);
        Ok(report)
    }

    /// Whether the incarnation that started at `born_ms` is known to have been replaced.
    pub fn is_former(&self, born_ms: u64) -> bool {
        self.pool.borrow().is_former(born_ms)
    }

    /// Whether a poll for the incarnation that started at `born_ms` is meant for the one that a
    /// connection reaches. It is counted if it was meant for another one.
    fn is_meant(&self, born_ms: Option<u64>, identified: &Identified) -> bool {
        let Some(meant_ms) = born_ms else {
            return false;
        };
        let is_meant = meant_ms == identified.born_ms;
        if !is_meant {
            self.note_withheld(CallKind::Poll, meant_ms, identified.born_ms);
        }
        is_meant
    }

    /// Starts a run in the incarnation that the order names, and in no other.
    pub async fn start(&self, order: &StartOrder) -> StartOutcome {
        let call = async |identified: &Identified| identified.connection.start(order).await;
        let result = self.order(CallKind::Start, order.fence, &order.incarnation, call);
        match result.await {
            Ok(outcome) => outcome,
            Err(WorkerError::NoAnswer(_)) => StartOutcome::Unknown,
            Err(WorkerError::Fenced) => StartOutcome::Fenced,
            Err(
                WorkerError::Refused | WorkerError::Disconnected | WorkerError::OtherIncarnation,
            ) => StartOutcome::Unavailable,
        }
    }

    /// Stops a run in the incarnation that the order names. Returns true if it confirmed that.
    pub async fn stop(&self, order: &StopOrder) -> bool {
        let call = async |identified: &Identified| identified.connection.stop(order).await;
        let confirmed = self.order(CallKind::Stop, order.fence, &order.incarnation, call);
        confirmed.await.unwrap_or(false)
    }

    /// Changes the pace of a run in the incarnation that the order names. Returns true if it
    /// confirmed that.
    pub async fn pace(&self, order: &PaceOrder) -> bool {
        let call = async |identified: &Identified| identified.connection.pace(order).await;
        let confirmed = self.order(CallKind::Pace, order.fence, &order.incarnation, call);
        confirmed.await.unwrap_or(false)
    }

    /// Carries out an order in the incarnation that it is meant for.
    async fn order<T>(
        &self,
        kind: CallKind,
        fence: u64,
        incarnation: &Incarnation,
        call: impl AsyncFn(&Identified) -> Result<T, WorkerError>,
    ) -> Result<T, WorkerError> {
        let caller = Caller {
            fence,
            worker: Some(&incarnation.worker),
        };
        let born_ms = incarnation.born_ms;
        let target = Target::Born(born_ms);
        if let Some(result) = self.call_over_idle(target, &call).await {
            return result;
        }
        // The worker may have been restarted since the idle connections were made.
        let (identified, _) = self.connect(caller).await?;
        if target.admits(identified.born_ms) {
            return self.call_over(identified, &call).await;
        }
        self.note_withheld(kind, born_ms, identified.born_ms);
        self.pool.borrow_mut().put_back(identified);
        Err(WorkerError::OtherIncarnation)
    }

    /// Makes a call over an idle connection to the target; `None` if there is none that has not ended.
    async fn call_over_idle<T>(
        &self,
        target: Target,
        call: &impl AsyncFn(&Identified) -> Result<T, WorkerError>,
    ) -> Option<Result<T, WorkerError>> {
        while let Some(idle) = self.take(target) {
            match self.call_over(idle, call).await {
                Err(WorkerError::Disconnected) => {}
                result => return Some(result),
            }
        }
        None
    }

    /// Takes an idle connection to the target.
    fn take(&self, target: Target) -> Option<Identified> {
        self.pool.borrow_mut().take(target)
    }

    /// Makes a call over a connection, and keeps the connection if the call was answered.
    async fn call_over<T>(
        &self,
        mut identified: Identified,
        call: &impl AsyncFn(&Identified) -> Result<T, WorkerError>,
    ) -> Result<T, WorkerError> {
        let began_ms = boot_ms();
        let result = call(&identified).await;
        match &result {
            Err(WorkerError::NoAnswer(_)) => self.pool.borrow_mut().on_silence(began_ms),
            Err(WorkerError::Disconnected | WorkerError::Refused) => {}
            Ok(_) | Err(WorkerError::Fenced | WorkerError::OtherIncarnation) => {
                identified.answered_ms = boot_ms();
                self.pool.borrow_mut().put_back(identified);
            }
        }
        result
    }

    /// Opens a connection, and asks the worker for a report, which states its incarnation. Without an
    /// answer, the call that needs the connection was not sent.
    async fn connect(&self, caller: Caller<'_>) -> Result<(Identified, WorkerReport), WorkerError> {
        let connection = self.client.connect().await?;
        let number = self.pool.borrow_mut().number_connection();
        self.metrics.connections.inc();
        let began_ms = boot_ms();
        let poll = WorkerPoll::report_only(caller.fence, caller.worker.map(str::to_owned));
        let report = match connection.poll(&poll).await {
            Ok(report) => report,
            Err(WorkerError::NoAnswer(_)) => {
                self.pool.borrow_mut().on_silence(began_ms);
                return Err(WorkerError::Disconnected);
            }
            Err(error) => return Err(error),
        };
        self.note_incarnation(number, report.born_ms);
        let identified = Identified {
            connection,
            born_ms: report.born_ms,
            answered_ms: boot_ms(),
        };
        Ok((identified, report))
    }

    /// Records the incarnation that answered on a connection.
    fn note_incarnation(&self, number: u64, born_ms: u64) {
        if self.pool.borrow_mut().on_identified(number, born_ms) {
            log_event!(info, Event::WorkerIdentified, agent = %self.agent, born_ms,
                connection = number);
        }
    }

    /// Counts a call for the incarnation that started at `meant_ms`, while the worker is the one that
    /// started at `found_ms`, and logs it unless it repeats a poll.
    fn note_withheld(&self, kind: CallKind, meant_ms: u64, found_ms: u64) {
        self.metrics.count_withheld(kind);
        let pair = Some((meant_ms, found_ms));
        if kind == CallKind::Poll && self.withheld_poll.replace(pair) == pair {
            return;
        }
        log_event!(info, Event::CallWithheld, agent = %self.agent, call = %kind, meant_ms, found_ms);
    }
}
