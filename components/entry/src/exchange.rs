//! Handling of one request: dispatch, tries, retries and the answer.

use crate::agent_call::{AgentCall, CallOutcome};
use crate::answer;
use crate::answer_stream::AnswerStream;
use crate::body::CallerBody;
use crate::caller::{Destination, RequestOptions};
use crate::in_flight_try::InFlightTry;
use crate::messages::{AbandonTry, RetryKind, SubmitTry};
use crate::traffic::TrafficState;
use actix_web::{HttpRequest, HttpResponse};
use errors::{Code, Failure, Verdict};
use model::{RequestId, ServiceSpec};
use routing::{Class, Dispatch, PendingRequest, TargetOutcome};
use std::time::{Duration, Instant};
use telemetry::{Event, log_event};
use tokio::sync::oneshot;

/// Lowest HTTP status of server errors.
const FIRST_SERVER_ERROR: u16 = 500;

/// One request of a caller with its parsed options.
pub(crate) struct Exchange<'a> {
    /// The caller's HTTP request.
    pub request: &'a HttpRequest,
    /// State of the traffic thread.
    pub traffic: &'a TrafficState,
    /// Id of the request and of its first try.
    pub id: RequestId,
    /// Service and path that it addresses.
    pub destination: &'a Destination,
    /// Configuration of the service.
    pub spec: &'a ServiceSpec,
    /// Options from the caller's headers.
    pub options: &'a RequestOptions,
    /// Body, buffered as far as possible.
    pub body: &'a CallerBody,
    /// Weight of the caller's team in the queue.
    pub weight: u32,
}

impl Exchange<'_> {
    /// Sends the request to agents until one answers or no retry is allowed. When the retries end
    /// without success, the last error answer of a backend server is preferred to a failure.
    pub async fn run(&self) -> Result<HttpResponse, Failure> {
        let started = Instant::now();
        let deadline = started + Duration::from_millis(self.options.deadline_ms);
        let mut agent_call = AgentCall {
            traffic: self.traffic,
            id: self.id,
            service: &self.destination.service,
            method: self.request.method(),
            path: &self.destination.path,
            headers: self.request.headers(),
            options: self.options,
            body: self.body,
            deadline,
            traceparent: telemetry::traceparent(&telemetry::tracing::Span::current()),
        };
        let mut pending = self.pending_request();
        let mut retry = None;
        let mut error_answer = None;
        loop {
            let is_retry = retry.is_some();
            let dispatch = match self.request_dispatch(pending.clone(), retry).await {
                Ok(dispatch) => dispatch,
                Err(failure) => return error_answer.ok_or(failure),
            };
            // The dispatcher counts a retry only in its own copy.
            pending.previous_tries += u32::from(is_retry);
            let mut in_flight_try = InFlightTry::new(
                self.traffic,
                &self.destination.service,
                &dispatch,
                agent_call.id,
            );
            let sent = Instant::now();
            let end = agent_call.send(&dispatch).await;
            let (failure, kind) = match self.finish_try(end, &mut in_flight_try, sent, started) {
                Ok(response) => return Ok(response),
                Err(failed) => {
                    let FailedTry {
                        failure,
                        kind,
                        answer,
                    } = *failed;
                    error_answer = answer.or(error_answer);
                    (failure, kind)
                }
            };
            let may_retry = failure.verdict.is_safe_to_retry()
                || (self.options.idempotent && failure.verdict != Verdict::NotRun);
            if !may_retry || !self.body.can_send() || Instant::now() >= deadline {
                return error_answer.ok_or(failure);
            }
            if kind == RetryKind::Failure {
                pending.failed_agents.push(dispatch.agent.clone());
            }
            // Agents keep a record of each try; a new id distinguishes the retry from a late first
            // try.
            agent_call.id = RequestId::new();
            pending.id = agent_call.id;
            retry = Some((kind, failure));
        }
    }

    /// The first try as the dispatcher queues it; the control thread fills in class and expected
    /// time.
    fn pending_request(&self) -> PendingRequest {
        let now_ms = self.traffic.clock.now_ms();
        PendingRequest {
            id: self.id,
            request_id: self.id,
            service: self.destination.service.clone(),
            team: self.options.team.clone(),
            weight: self.weight,
            route: self.options.route,
            class: Class::Short,
            arrived_ms: now_ms,
            deadline_ms: now_ms + self.options.deadline_ms,
            expected_ms: 0,
            previous_tries: 0,
            failed_agents: Vec::new(),
        }
    }

    /// Queues a try and waits for an agent. If a retry is refused, the failure of the previous try
    /// is returned unless that try did not run, so that its verdict is not lost.
    async fn request_dispatch(
        &self,
        pending: PendingRequest,
        retry: Option<(RetryKind, Failure)>,
    ) -> Result<Dispatch, Failure> {
        let (reply, decided) = oneshot::channel();
        let (kind, previous) =
            retry.map_or((None, None), |(kind, failure)| (Some(kind), Some(failure)));
        let mut guard = AbandonGuard {
            exchange: self,
            id: pending.id,
            is_queued: true,
        };
        self.traffic.control.do_send(SubmitTry {
            pending,
            retry: kind,
            reply,
        });
        let stopping = Failure::not_run(Code::Draining, "the entry is stopping");
        let decision = decided.await.unwrap_or(Err(stopping));
        guard.is_queued = false;
        decision.map_err(|refusal| match previous {
            Some(previous) if previous.verdict != Verdict::NotRun => previous,
            _ => refusal,
        })
    }

    /// Reports the end of a try and builds the answer, or returns the failure for a possible retry.
    fn finish_try(
        &self,
        end: CallOutcome,
        in_flight_try: &mut InFlightTry<'_>,
        sent: Instant,
        started: Instant,
    ) -> Result<HttpResponse, Box<FailedTry>> {
        let run_ms = sent.elapsed().as_millis() as u64;
        match end {
            CallOutcome::Complete {
                status,
                headers,
                body,
                load,
                recovered,
            } => {
                if recovered {
                    self.traffic.metrics.answers_recovered.inc();
                    log_event!(info, Event::AnswerRecovered, request = %self.id);
                }
                let is_error = status >= FIRST_SERVER_ERROR;
                if is_error && self.options.idempotent {
                    in_flight_try.end(TargetOutcome::Failed, load, None, false);
                    let message = format!("the backend server answered {status}");
                    let failure = Failure::new(Verdict::Ran, Code::BadAnswer, message);
                    let answer = Some(answer::head(status, &headers, self.id).body(body));
                    return Err(Box::new(FailedTry {
                        failure,
                        kind: RetryKind::Failure,
                        answer,
                    }));
                }
                let outcome = if is_error {
                    TargetOutcome::Failed
                } else {
                    TargetOutcome::Succeeded
                };
                in_flight_try.end(outcome, load, Some((self.options.route, run_ms)), false);
                self.traffic.metrics.answers_whole.inc();
                self.traffic
                    .metrics
                    .latency
                    .observe(started.elapsed().as_secs_f64());
                Ok(answer::head(status, &headers, self.id).body(body))
            }
            CallOutcome::Streaming {
                status,
                headers,
                length,
                body,
            } => {
                in_flight_try.hand_over_to_stream();
                self.traffic
                    .metrics
                    .latency
                    .observe(started.elapsed().as_secs_f64());
                let stream = AnswerStream::new(
                    self.traffic.clone(),
                    in_flight_try.dispatch.clone(),
                    in_flight_try.id,
                    self.destination.service.clone(),
                    self.options.route,
                    sent,
                    body,
                    length,
                    Duration::from_millis(self.spec.idle_timeout_ms),
                );
                let mut response = answer::head(status, &headers, self.id);
                if let Some(length) = length {
                    response.no_chunking(length);
                }
                Ok(response.streaming(stream.into_body()))
            }
            CallOutcome::Failed { failure, load } => {
                let is_busy = matches!(
                    failure.code,
                    Code::NoCapacity | Code::Draining | Code::DeadlineExceeded
                );
                let is_neutral = is_busy && failure.verdict == Verdict::NotRun;
                let outcome = if is_neutral {
                    TargetOutcome::Neutral
                } else {
                    TargetOutcome::Failed
                };
                in_flight_try.end(outcome, load, None, failure.verdict == Verdict::MayHaveRun);
                let kind = if is_neutral {
                    RetryKind::NoSlot
                } else {
                    RetryKind::Failure
                };
                Err(Box::new(FailedTry {
                    failure,
                    kind,
                    answer: None,
                }))
            }
            CallOutcome::Lost(failure) => {
                let uncertain = failure.verdict == Verdict::MayHaveRun;
                in_flight_try.end(TargetOutcome::Failed, None, None, uncertain);
                Err(Box::new(FailedTry {
                    failure,
                    kind: RetryKind::Failure,
                    answer: None,
                }))
            }
        }
    }
}

/// A failed try.
struct FailedTry {
    /// Failure that the caller gets if there is no retry.
    failure: Failure,
    /// Whether a retry costs a token of the retry budget.
    kind: RetryKind,
    /// Error answer of the backend server, which the caller gets if no retry succeeds.
    answer: Option<HttpResponse>,
}

/// Removes a try from the queue when its caller disconnects and the handler is dropped.
struct AbandonGuard<'a> {
    /// The exchange whose try is queued.
    exchange: &'a Exchange<'a>,
    /// Id of the queued try.
    id: RequestId,
    /// Whether the try may still be in the queue.
    is_queued: bool,
}

impl Drop for AbandonGuard<'_> {
    fn drop(&mut self) {
        if self.is_queued {
            let service = self.exchange.destination.service.clone();
            self.exchange.traffic.control.do_send(AbandonTry {
                service,
                id: self.id,
            });
        }
    }
}
