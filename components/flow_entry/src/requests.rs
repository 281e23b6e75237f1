//! Submissions, cancellations and queries of callers and of other entries.

use crate::acceptance::{submit_without_room, take_room};
use crate::coordinator::Coordinator;
use crate::handle::PhaseAnswer;
use crate::leadership::{add_flow, apply_flow_row, encode};
use crate::messages::{
    Cancel, CountQueued, FlowsChanged, GetPhase, NotifyAccepted, NotifyCancelled, PeerCountQueued,
    PeerGetPhase, Submit,
};
use crate::metrics::Metrics;
use crate::reads::read_all;
use crate::record_reads::{RecordError, group_records, parse_record};
use crate::rows::{cancel_key, flow_key, is_cancel_key, record_key};
use actix::{AsyncContext, Handler, MessageResult, ResponseFuture};
use backing::{StoreError, TableStore, Transaction};
use flow::{FlowJob, FlowPhase, FlowRow, FlowState, QueueKey};
use model::JobId;
use std::future::Future;
use std::time::Duration;
use tarpc::client::RpcError;
use tarpc::context::Context;
use telemetry::{Event, log_event};
use utils::boot_ms;
use wire::{
    CancelOutcome, LinkError, PhaseReply, QueuedCountReply, SchedulerControlClient, SchedulerLink,
    SubmitOutcome,
};

/// Timeout of a query or notification to the scheduler.
const QUERY_TIMEOUT: Duration = Duration::from_millis(500);
/// Timeout of a submission or cancellation that the scheduler handles for this entry.
const RELAY_TIMEOUT: Duration = Duration::from_millis(1_200);
/// Pause before a failed call to the table or the scheduler is retried.
const RETRY_PAUSE: Duration = Duration::from_millis(50);
/// Attempts to notify the scheduler of a change. It reads the change from the table otherwise.
const NOTIFY_ATTEMPTS: u32 = 3;

/// Stores a flow, retrying until the table answers definitely or `until_ms` has passed.
async fn store_flow(table: &dyn TableStore, job: &FlowJob, until_ms: u64) -> SubmitOutcome {
    let key = flow_key(&job.id);
    let txn = Transaction::default()
        .require(key.clone(), None)
        .put(key, encode(&FlowRow::Accepted(job.clone())));
    let mut is_uncertain = false;
    loop {
        match table.commit(&txn).await {
            // A conflict means that the flow is stored: by an earlier attempt, or by an earlier
            // submission with the same identifier.
            Ok(_) | Err(StoreError::Conflict { .. }) => return SubmitOutcome::Accepted,
            Err(StoreError::Invalid(_)) => return SubmitOutcome::Refused,
            Err(StoreError::Unavailable(_)) if !is_uncertain => return SubmitOutcome::Refused,
            Err(StoreError::Unavailable(_)) => {}
            Err(StoreError::Unknown(_)) => is_uncertain = true,
        }
        if boot_ms() >= until_ms {
            return SubmitOutcome::Uncertain;
        }
        actix_rt::time::sleep(RETRY_PAUSE).await;
    }
}

/// Stores the cancellation of a flow, retrying until the table answers definitely or `until_ms` has
/// passed.
async fn store_cancel(table: &dyn TableStore, job: &JobId, until_ms: u64) -> CancelOutcome {
    let known = loop {
        match table.read(&[flow_key(job)]).await {
            Ok(rows) => break rows.into_iter().next(),
            Err(_) if boot_ms() >= until_ms => return CancelOutcome::Unavailable,
            Err(error) if !error.is_ambiguous() => return CancelOutcome::Unavailable,
            Err(_) => actix_rt::time::sleep(RETRY_PAUSE).await,
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
            Err(StoreError::Unknown(_)) => actix_rt::time::sleep(RETRY_PAUSE).await,
            Err(_) => return CancelOutcome::Unavailable,
        }
    }
}

/// State of a flow by the rows in the table, for when the scheduler gives no answer. Also returns
/// the flow if the table holds it as accepted.
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
    let Ok(rows) = read_all(table, &record_key(job, 0)).await else {
        return (PhaseAnswer::Unavailable, Some(flow));
    };
    let mut state = FlowState::new(flow.clone(), 0);
    match group_records(&rows)
        .remove(job)
        .map(|rows| parse_record(&rows))
    {
        Some(Ok(record)) => record.restore(&mut state, 0),
        // The scheduler wrote the record anew between the reads of its rows.
        Some(Err(RecordError::Join(_))) => return (PhaseAnswer::Unavailable, Some(flow)),
        Some(Err(RecordError::Json(_))) | None => {}
    }
    (PhaseAnswer::Known(state.phase()), Some(flow))
}

/// Forwards a submission to the scheduler.
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

/// Forwards a cancellation to the scheduler.
async fn relay_cancel(link: SchedulerLink, job: JobId) -> CancelOutcome {
    let call = link.call(RELAY_TIMEOUT, |client, context| async move {
        client.cancel(context, job).await
    });
    call.await.unwrap_or(CancelOutcome::Unavailable)
}

/// State of a flow by the scheduler; `None` if it does not know the flow or can't be reached.
async fn query_phase(link: SchedulerLink, job: JobId) -> Option<FlowPhase> {
    let call = link.call(QUERY_TIMEOUT, |client, context| async move {
        client.get_phase(context, job).await
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
        let started_ms = boot_ms();
        self.note_submitted(&job.id);
        let is_unavailable = self.store_health.is_unavailable(started_ms);
        let link = self.scheduler_link();
        let (table, control, metrics) =
            (self.table.clone(), context.address(), self.metrics.clone());
        let caller_calls = self.caller_calls.clone();
        Box::pin(async move {
            let has_room = take_room(&control, job.footprint()).await;
            let mut outcome = SubmitOutcome::Refused;
            let mut by = if has_room { "table" } else { "no-room" };
            if !is_unavailable && let Some(_turn) = caller_calls.turn(until_ms).await {
                outcome = match has_room {
                    true => store_flow(table.as_ref(), &job, until_ms).await,
                    false => submit_without_room(table.as_ref(), &job.id).await,
                };
            }
            let link = link.filter(|_| has_room && outcome == SubmitOutcome::Refused);
            if let Some(link) = link {
                by = "scheduler";
                outcome = relay_submit(link, job.clone()).await;
            }
            let spent_ms = boot_ms().saturating_sub(started_ms);
            metrics.submit_seconds.observe(spent_ms as f64 / 1_000.0);
            Metrics::count(&metrics.submissions, &outcome);
            log_event!(info, Event::FlowSubmitted, job = %job.id, prefix = %job.queue.prefix, by,
                steps = %job.spec, store_away = is_unavailable, outcome = %outcome, spent_ms);
            if outcome == SubmitOutcome::Accepted && by == "table" {
                control.do_send(NotifyAccepted {
                    job,
                    from_peer: false,
                });
            }
            outcome
        })
    }
}

impl Handler<NotifyAccepted> for Coordinator {
    type Result = bool;

    fn handle(&mut self, accepted: NotifyAccepted, context: &mut Self::Context) -> bool {
        let now_ms = boot_ms();
        if let Some(leadership) = self.leadership.as_mut() {
            if leadership.is_loaded {
                add_flow(leadership, now_ms, accepted.job);
                self.request_scheduling_pass(context);
                return true;
            }
            // The load that is in progress reads the flow from the table, or the feed delivers it.
            return false;
        }
        if accepted.from_peer {
            return false;
        }
        if let Some(link) = self.scheduler_link() {
            let job = accepted.job;
            actix_rt::spawn(notify_scheduler(
                link,
                job.id.clone(),
                move |client, context| {
                    let message = job.clone();
                    async move { client.notify_accepted(context, message).await }
                },
            ));
        }
        false
    }
}

/// Notifies the scheduler of a change to `job`, with retries until it confirms.
async fn notify_scheduler<F, C>(link: SchedulerLink, job: JobId, call: C)
where
    F: Future<Output = Result<bool, RpcError>>,
    C: Fn(SchedulerControlClient, Context) -> F,
{
    for _ in 0..NOTIFY_ATTEMPTS {
        if link.call(QUERY_TIMEOUT, &call).await == Ok(true) {
            return;
        }
        actix_rt::time::sleep(RETRY_PAUSE).await;
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
        let is_unavailable = self.store_health.is_unavailable(boot_ms());
        let link = self.scheduler_link();
        let (table, control) = (self.table.clone(), context.address());
        let caller_calls = self.caller_calls.clone();
        Box::pin(async move {
            let mut outcome = CancelOutcome::Unavailable;
            if !is_unavailable && let Some(_turn) = caller_calls.turn(until_ms).await {
                outcome = store_cancel(table.as_ref(), &job, until_ms).await;
            }
            if let Some(link) = link.filter(|_| outcome == CancelOutcome::Unavailable) {
                outcome = relay_cancel(link, job.clone()).await;
            }
            log_event!(info, Event::FlowCancelled, job = %job, store_away = is_unavailable,
                outcome = %outcome);
            if outcome == CancelOutcome::Done {
                control.do_send(NotifyCancelled {
                    job,
                    from_peer: false,
                });
            }
            outcome
        })
    }
}

impl Handler<NotifyCancelled> for Coordinator {
    type Result = bool;

    fn handle(&mut self, cancelled: NotifyCancelled, context: &mut Self::Context) -> bool {
        let now_ms = boot_ms();
        if let Some(leadership) = self.leadership.as_mut() {
            let is_known =
                leadership.is_loaded && leadership.scheduler.cancel(now_ms, &cancelled.job);
            self.request_scheduling_pass(context);
            return is_known;
        }
        if cancelled.from_peer {
            return false;
        }
        if let Some(link) = self.scheduler_link() {
            let job = cancelled.job;
            actix_rt::spawn(notify_scheduler(
                link,
                job.clone(),
                move |client, context| {
                    let message = job.clone();
                    async move { client.notify_cancelled(context, message).await }
                },
            ));
        }
        false
    }
}

impl Handler<GetPhase> for Coordinator {
    type Result = ResponseFuture<PhaseAnswer>;

    fn handle(&mut self, query: GetPhase, context: &mut Self::Context) -> Self::Result {
        let job = query.job;
        let known = self
            .leadership
            .as_ref()
            .filter(|leadership| leadership.is_loaded)
            .and_then(|leadership| leadership.scheduler.phase(&job));
        if let Some(phase) = known {
            return Box::pin(async move { PhaseAnswer::Known(phase) });
        }
        let link = self.scheduler_link();
        let (table, control) = (self.table.clone(), context.address());
        let caller_calls = self.caller_calls.clone();
        Box::pin(async move {
            let Some(_turn) = caller_calls.turn(query.until_ms).await else {
                return PhaseAnswer::Unavailable;
            };
            loop {
                let known = match link.clone() {
                    Some(link) => query_phase(link, job.clone()).await,
                    None => None,
                };
                if let Some(phase) = known {
                    return PhaseAnswer::Known(phase);
                }
                let (answer, flow) = stored_phase(table.as_ref(), &job).await;
                if let Some(flow) = flow {
                    control.do_send(NotifyAccepted {
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
                if boot_ms() + QUERY_TIMEOUT.as_millis() as u64 >= query.until_ms {
                    log_event!(warn, Event::FlowUnknown, job = %job, by = "nobody");
                    return PhaseAnswer::Unavailable;
                }
                actix_rt::time::sleep(RETRY_PAUSE).await;
            }
        })
    }
}

impl Coordinator {
    /// Number of queued flows; `None` if this entry is not the scheduler or still loads its state.
    fn count_queued(&self, queue: &QueueKey) -> Option<u64> {
        let leadership = self
            .leadership
            .as_ref()
            .filter(|leadership| leadership.is_loaded)?;
        Some(leadership.scheduler.count_queued(queue) as u64)
    }
}

impl Handler<CountQueued> for Coordinator {
    type Result = ResponseFuture<Option<u64>>;

    fn handle(&mut self, CountQueued(queue): CountQueued, _: &mut Self::Context) -> Self::Result {
        if let Some(count) = self.count_queued(&queue) {
            return Box::pin(async move { Some(count) });
        }
        let link = self.scheduler_link();
        Box::pin(async move {
            let link = link?;
            let call = link.call(QUERY_TIMEOUT, |client, context| async move {
                client.count_queued(context, queue).await
            });
            match call.await {
                Ok(QueuedCountReply::Count(count)) => Some(count),
                Ok(QueuedCountReply::NotScheduler) | Err(_) => None,
            }
        })
    }
}

impl Handler<PeerGetPhase> for Coordinator {
    type Result = MessageResult<PeerGetPhase>;

    fn handle(&mut self, PeerGetPhase(job): PeerGetPhase, _: &mut Self::Context) -> Self::Result {
        let Some(leadership) = self
            .leadership
            .as_ref()
            .filter(|leadership| leadership.is_loaded)
        else {
            return MessageResult(PhaseReply::NotScheduler);
        };
        let phase = leadership.scheduler.phase(&job);
        MessageResult(phase.map_or(PhaseReply::Unknown, PhaseReply::Known))
    }
}

impl Handler<PeerCountQueued> for Coordinator {
    type Result = MessageResult<PeerCountQueued>;

    fn handle(
        &mut self,
        PeerCountQueued(queue): PeerCountQueued,
        _: &mut Self::Context,
    ) -> Self::Result {
        let count = self.count_queued(&queue);
        MessageResult(count.map_or(QueuedCountReply::NotScheduler, QueuedCountReply::Count))
    }
}

impl Handler<FlowsChanged> for Coordinator {
    type Result = bool;

    fn handle(&mut self, changed: FlowsChanged, context: &mut Self::Context) -> bool {
        let now_ms = boot_ms();
        let Some(leadership) = self
            .leadership
            .as_mut()
            .filter(|leadership| leadership.epoch == changed.epoch)
        else {
            return false;
        };
        for (key, value) in &changed.rows {
            apply_flow_row(leadership, now_ms, key, value.as_deref());
        }
        if !leadership.is_loaded {
            // The flows that they cancel may not be loaded yet.
            let rows = changed.rows.into_iter();
            let cancels = rows.filter(|(key, _)| is_cancel_key(key));
            leadership.early_cancels.extend(cancels);
            return true;
        }
        if !changed.rows.is_empty() {
            self.request_scheduling_pass(context);
        }
        true
    }
}
