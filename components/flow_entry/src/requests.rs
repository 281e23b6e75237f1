//! Submissions, cancellations and questions of callers.

use crate::coordinator::Coordinator;
use crate::gate::PhaseAnswer;
use crate::lead::{add_flow, encode, take_flow_row};
use crate::messages::{
    Accepted, AskPhase, AskWaiting, Cancel, Cancelled, FlowsSeen, PeerPhase, PeerWaiting, Submit,
};
use crate::metrics::Metrics;
use crate::rows::{cancel_key, flow_key, record_key};
use actix::{AsyncContext, Handler, MessageResult, ResponseFuture};
use backing::{StoreError, TableStore, Transaction};
use flow::{FlowJob, FlowPhase, FlowRecord, FlowRow, FlowState, QueueKey};
use model::JobId;
use std::future::Future;
use std::time::Duration;
use tarpc::client::RpcError;
use tarpc::context::Context;
use telemetry::{Event, log_event};
use utils::boot_ms;
use wire::{
    CancelOutcome, LinkError, PhaseReply, SchedulerControlClient, SchedulerLink, SubmitOutcome,
    WaitingReply,
};

/// Time for a question to the scheduler.
const ASK_TIMEOUT: Duration = Duration::from_millis(500);
/// Time for an acceptance by the scheduler.
const RELAY_TIMEOUT: Duration = Duration::from_millis(1_200);
/// Pause before an acceptance without answer is sent again.
const AGAIN_PAUSE: Duration = Duration::from_millis(50);
/// Tries to tell the scheduler of a flow; it finds the flow in the table otherwise.
const TELL_TRIES: u32 = 3;

/// Writes a flow until the table tells whether it has it.
async fn store_flow(table: &dyn TableStore, job: &FlowJob, until_ms: u64) -> SubmitOutcome {
    let key = flow_key(&job.id);
    let txn = Transaction::default()
        .require(key.clone(), None)
        .put(key, encode(&FlowRow::Accepted(job.clone())));
    let mut is_unsure = false;
    loop {
        match table.commit(&txn).await {
            // A conflict means that the flow is there: from this try, an earlier one, or a repeat.
            Ok(_) | Err(StoreError::Conflict { .. }) => return SubmitOutcome::Accepted,
            Err(StoreError::Invalid(_)) => return SubmitOutcome::Refused,
            Err(StoreError::Unavailable(_)) if !is_unsure => return SubmitOutcome::Refused,
            Err(StoreError::Unavailable(_)) => {}
            Err(StoreError::Unknown(_)) => is_unsure = true,
        }
        if boot_ms() >= until_ms {
            return SubmitOutcome::Uncertain;
        }
        actix_rt::time::sleep(AGAIN_PAUSE).await;
    }
}

async fn store_cancel(table: &dyn TableStore, job: &JobId, until_ms: u64) -> CancelOutcome {
    let known = loop {
        match table.read(&[flow_key(job)]).await {
            Ok(rows) => break rows.into_iter().next(),
            Err(_) if boot_ms() >= until_ms => return CancelOutcome::Unavailable,
            Err(error) if !error.is_ambiguous() => return CancelOutcome::Unavailable,
            Err(_) => actix_rt::time::sleep(AGAIN_PAUSE).await,
        }
    };
    let Some(row) = known else {
        return CancelOutcome::Unknown;
    };
    if let Ok(FlowRow::Ended(_)) = serde_json::from_str::<FlowRow>(&row.value) {
        return CancelOutcome::Done;
    }
    let txn = Transaction::default().put(cancel_key(job), "1");
    loop {
        match table.commit(&txn).await {
            Ok(_) => return CancelOutcome::Done,
            Err(_) if boot_ms() >= until_ms => return CancelOutcome::Unavailable,
            Err(StoreError::Unknown(_)) => actix_rt::time::sleep(AGAIN_PAUSE).await,
            Err(_) => return CancelOutcome::Unavailable,
        }
    }
}

/// State of a flow as the table tells, for when the scheduler can't be asked.
async fn stored_phase(table: &dyn TableStore, job: &JobId) -> (PhaseAnswer, Option<FlowJob>) {
    let Ok(rows) = table.read(&[flow_key(job), cancel_key(job)]).await else {
        return (PhaseAnswer::Unavailable, None);
    };
    let Some(row) = rows.iter().find(|row| row.key == flow_key(job)) else {
        return (PhaseAnswer::Unknown, None);
    };
    let flow = match serde_json::from_str::<FlowRow>(&row.value) {
        Ok(FlowRow::Accepted(flow)) => flow,
        Ok(FlowRow::Ended(end)) => return (PhaseAnswer::Known(end.phase), None),
        Err(error) => {
            log_event!(error, Event::RowUnreadable, key = %row.key, reason = %error);
            return (PhaseAnswer::Unavailable, None);
        }
    };
    if rows.len() > 1 {
        return (PhaseAnswer::Known(FlowPhase::Cancelled), Some(flow));
    }
    let Ok(records) = table.read(&[record_key(job)]).await else {
        return (PhaseAnswer::Unavailable, Some(flow));
    };
    let mut state = FlowState::new(flow.clone(), 0);
    let record = records.first().map(|row| &row.value);
    if let Some(Ok(record)) = record.map(|value| serde_json::from_str::<FlowRecord>(value)) {
        record.restore(&mut state, 0);
    }
    (PhaseAnswer::Known(state.phase()), Some(flow))
}

/// Has the scheduler accept a flow.
async fn relay_submit(link: SchedulerLink, job: FlowJob) -> SubmitOutcome {
    let call = link.call(RELAY_TIMEOUT, |client, context| async move {
        client.submit(context, job).await
    });
    match call.await {
        Ok(outcome) => outcome,
        Err(LinkError::NoAnswer(_)) => SubmitOutcome::Uncertain,
        Err(LinkError::Connect(_) | LinkError::Refused(_)) => SubmitOutcome::Refused,
    }
}

/// Has the scheduler cancel a flow.
async fn relay_cancel(link: SchedulerLink, job: JobId) -> CancelOutcome {
    let call = link.call(RELAY_TIMEOUT, |client, context| async move {
        client.cancel(context, job).await
    });
    call.await.unwrap_or(CancelOutcome::Unavailable)
}

async fn ask_phase(link: SchedulerLink, job: JobId) -> Option<FlowPhase> {
    let call = link.call(ASK_TIMEOUT, |client, context| async move {
        client.phase(context, job).await
    });
    match call.await {
        Ok(PhaseReply::Known(phase)) => Some(phase),
        Ok(PhaseReply::Unknown | PhaseReply::NotScheduler) | Err(_) => None,
    }
}

impl Handler<Submit> for Coordinator {
    type Result = ResponseFuture<SubmitOutcome>;

    fn handle(
        &mut self,
        Submit { job, until_ms }: Submit,
        context: &mut Self::Context,
    ) -> Self::Result {
        let began_ms = boot_ms();
        let is_away = self.store.is_away(began_ms);
        let link = self.scheduler_link();
        let (table, control, metrics) =
            (self.table.clone(), context.address(), self.metrics.clone());
        Box::pin(async move {
            let mut outcome = SubmitOutcome::Refused;
            let mut by = "table";
            if !is_away {
                outcome = store_flow(table.as_ref(), &job, until_ms).await;
            }
            if let Some(link) = link.filter(|_| outcome == SubmitOutcome::Refused) {
                by = "scheduler";
                outcome = relay_submit(link, job.clone()).await;
            }
            let spent_ms = boot_ms().saturating_sub(began_ms);
            metrics.submit_seconds.observe(spent_ms as f64 / 1_000.0);
            Metrics::count(&metrics.submissions, &outcome);
            log_event!(info, Event::FlowSubmitted, job = %job.id, prefix = %job.queue.prefix, by,
                steps = %job.spec, store_away = is_away, outcome = %outcome, spent_ms);
            if outcome == SubmitOutcome::Accepted && by == "table" {
                control.do_send(Accepted {
                    job,
                    from_peer: false,
                });
            }
            outcome
        })
    }
}

impl Handler<Accepted> for Coordinator {
    type Result = bool;

    fn handle(&mut self, accepted: Accepted, context: &mut Self::Context) -> bool {
        let now_ms = boot_ms();
        if let Some(lead) = self.lead.as_mut() {
            if lead.loaded {
                add_flow(lead, now_ms, accepted.job);
                self.pump_soon(context);
                return true;
            }
            // The table is being read and holds the flow, or the feed will bring it.
            return false;
        }
        if accepted.from_peer {
            return false;
        }
        if let Some(link) = self.scheduler_link() {
            let job = accepted.job;
            actix_rt::spawn(tell(link, job.id.clone(), move |client, context| {
                let told = job.clone();
                async move { client.accepted(context, told).await }
            }));
        }
        false
    }
}

/// Tells the scheduler something until it says that it took it in.
async fn tell<F, C>(link: SchedulerLink, job: JobId, call: C)
where
    F: Future<Output = Result<bool, RpcError>>,
    C: Fn(SchedulerControlClient, Context) -> F,
{
    for _ in 0..TELL_TRIES {
        if link.call(ASK_TIMEOUT, &call).await == Ok(true) {
            return;
        }
        actix_rt::time::sleep(AGAIN_PAUSE).await;
    }
    log_event!(warn, Event::SchedulerNotTold, job = %job, scheduler = %link.address());
}

impl Handler<Cancel> for Coordinator {
    type Result = ResponseFuture<CancelOutcome>;

    fn handle(
        &mut self,
        Cancel { job, until_ms }: Cancel,
        context: &mut Self::Context,
    ) -> Self::Result {
        let is_away = self.store.is_away(boot_ms());
        let link = self.scheduler_link();
        let (table, control) = (self.table.clone(), context.address());
        Box::pin(async move {
            let mut outcome = CancelOutcome::Unavailable;
            if !is_away {
                outcome = store_cancel(table.as_ref(), &job, until_ms).await;
            }
            if let Some(link) = link.filter(|_| outcome == CancelOutcome::Unavailable) {
                outcome = relay_cancel(link, job.clone()).await;
            }
            log_event!(info, Event::FlowCancelled, job = %job, store_away = is_away, outcome = %outcome);
            if outcome == CancelOutcome::Done {
                control.do_send(Cancelled {
                    job,
                    from_peer: false,
                });
            }
            outcome
        })
    }
}

impl Handler<Cancelled> for Coordinator {
    type Result = bool;

    fn handle(&mut self, cancelled: Cancelled, context: &mut Self::Context) -> bool {
        let now_ms = boot_ms();
        if let Some(lead) = self.lead.as_mut() {
            let is_known = lead.loaded && lead.scheduler.cancel(now_ms, &cancelled.job);
            self.pump_soon(context);
            return is_known;
        }
        if cancelled.from_peer {
            return false;
        }
        if let Some(link) = self.scheduler_link() {
            let job = cancelled.job;
            actix_rt::spawn(tell(link, job.clone(), move |client, context| {
                let told = job.clone();
                async move { client.cancelled(context, told).await }
            }));
        }
        false
    }
}

impl Handler<AskPhase> for Coordinator {
    type Result = ResponseFuture<PhaseAnswer>;

    fn handle(&mut self, ask: AskPhase, context: &mut Self::Context) -> Self::Result {
        let job = ask.job;
        let known = self
            .lead
            .as_ref()
            .filter(|lead| lead.loaded)
            .and_then(|lead| lead.scheduler.phase(&job));
        if let Some(phase) = known {
            return Box::pin(async move { PhaseAnswer::Known(phase) });
        }
        let link = self.scheduler_link();
        let (table, control) = (self.table.clone(), context.address());
        Box::pin(async move {
            loop {
                let asked = match link.clone() {
                    Some(link) => ask_phase(link, job.clone()).await,
                    None => None,
                };
                if let Some(phase) = asked {
                    return PhaseAnswer::Known(phase);
                }
                let (answer, flow) = stored_phase(table.as_ref(), &job).await;
                if let Some(flow) = flow {
                    control.do_send(Accepted {
                        job: flow,
                        from_peer: false,
                    });
                }
                if answer != PhaseAnswer::Unavailable {
                    if answer == PhaseAnswer::Unknown {
                        log_event!(info, Event::FlowUnknown, job = %job, by = "table");
                    }
                    return answer;
                }
                if boot_ms() + ASK_TIMEOUT.as_millis() as u64 >= ask.until_ms {
                    log_event!(warn, Event::FlowUnknown, job = %job, by = "nobody");
                    return PhaseAnswer::Unavailable;
                }
                actix_rt::time::sleep(AGAIN_PAUSE).await;
            }
        })
    }
}

impl Coordinator {
    fn count_waiting(&self, queue: &QueueKey) -> Option<u64> {
        let lead = self.lead.as_ref().filter(|lead| lead.loaded)?;
        Some(lead.scheduler.queued(queue) as u64)
    }
}

impl Handler<AskWaiting> for Coordinator {
    type Result = ResponseFuture<Option<u64>>;

    fn handle(&mut self, AskWaiting(queue): AskWaiting, _: &mut Self::Context) -> Self::Result {
        if let Some(count) = self.count_waiting(&queue) {
            return Box::pin(async move { Some(count) });
        }
        let link = self.scheduler_link();
        Box::pin(async move {
            let link = link?;
            let call = link.call(ASK_TIMEOUT, |client, context| async move {
                client.waiting(context, queue).await
            });
            match call.await {
                Ok(WaitingReply::Count(count)) => Some(count),
                Ok(WaitingReply::NotScheduler) | Err(_) => None,
            }
        })
    }
}

impl Handler<PeerPhase> for Coordinator {
    type Result = MessageResult<PeerPhase>;

    fn handle(&mut self, PeerPhase(job): PeerPhase, _: &mut Self::Context) -> Self::Result {
        let Some(lead) = self.lead.as_ref().filter(|lead| lead.loaded) else {
            return MessageResult(PhaseReply::NotScheduler);
        };
        let phase = lead.scheduler.phase(&job);
        MessageResult(phase.map_or(PhaseReply::Unknown, PhaseReply::Known))
    }
}

impl Handler<PeerWaiting> for Coordinator {
    type Result = MessageResult<PeerWaiting>;

    fn handle(&mut self, PeerWaiting(queue): PeerWaiting, _: &mut Self::Context) -> Self::Result {
        let count = self.count_waiting(&queue);
        MessageResult(count.map_or(WaitingReply::NotScheduler, WaitingReply::Count))
    }
}

impl Handler<FlowsSeen> for Coordinator {
    type Result = bool;

    fn handle(&mut self, seen: FlowsSeen, context: &mut Self::Context) -> bool {
        let now_ms = boot_ms();
        let Some(lead) = self.lead.as_mut().filter(|lead| lead.epoch == seen.epoch) else {
            return false;
        };
        for (key, value) in &seen.rows {
            take_flow_row(lead, now_ms, key, value.as_deref());
        }
        if !seen.rows.is_empty() {
            self.pump_soon(context);
        }
        true
    }
}
