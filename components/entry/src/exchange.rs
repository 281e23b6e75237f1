//! One request of a caller, from its agent's choice to its answer.

use crate::answer;
use crate::answer_stream::AnswerStream;
use crate::body::CallerBody;
use crate::caller::{Destination, Wishes};
use crate::flight::Flight;
use crate::hop::{Hop, HopEnd};
use crate::messages::{Abandon, RetryKind, Submit};
use crate::traffic::Traffic;
use actix_web::{HttpRequest, HttpResponse};
use errors::{Code, Failure, Verdict};
use model::{RequestId, ServiceSpec};
use routing::{Class, Dispatch, PendingRequest, TargetOutcome};
use std::time::{Duration, Instant};
use telemetry::{Event, log_event};
use tokio::sync::oneshot;

/// First status of server errors.
const SERVER_ERROR: u16 = 500;

/// One request of a caller and everything that is known of it.
pub(crate) struct Exchange<'a> {
    /// The request.
    pub request: &'a HttpRequest,
    /// What the traffic thread has.
    pub traffic: &'a Traffic,
    /// Number of the request.
    pub id: RequestId,
    /// Where it goes.
    pub destination: &'a Destination,
    /// The service.
    pub spec: &'a ServiceSpec,
    /// What the caller asks for.
    pub wishes: &'a Wishes,
    /// The body.
    pub body: &'a CallerBody,
    /// Weight of the caller's team.
    pub weight: u32,
}

impl Exchange<'_> {
    /// Tries agents until one gives an answer or nothing more may be tried.
    pub async fn run(&self) -> Result<HttpResponse, Failure> {
        let started = Instant::now();
        let deadline = started + Duration::from_millis(self.wishes.deadline_ms);
        let mut hop = Hop {
            traffic: self.traffic,
            id: self.id,
            service: &self.destination.service,
            method: self.request.method(),
            path: &self.destination.path,
            headers: self.request.headers(),
            wishes: self.wishes,
            body: self.body,
            deadline,
            traceparent: telemetry::traceparent(&telemetry::tracing::Span::current()),
        };
        let mut pending = self.pending();
        let mut retry = None;
        let mut error_answer = None;
        loop {
            let dispatch = match self.ask_agent(pending.clone(), retry).await {
                Ok(dispatch) => dispatch,
                Err(failure) => return error_answer.ok_or(failure),
            };
            let mut flight =
                Flight::new(self.traffic, &self.destination.service, &dispatch, hop.id);
            let sent = Instant::now();
            let end = hop.send(&dispatch).await;
            let (failure, kind) = match self.settle(end, &mut flight, sent, started) {
                Ok(response) => return Ok(response),
                Err(unsettled) => {
                    let Unsettled {
                        failure,
                        kind,
                        answer,
                    } = *unsettled;
                    error_answer = answer.or(error_answer);
                    (failure, kind)
                }
            };
            let may_retry = failure.verdict.is_safe_to_retry()
                || (self.wishes.idempotent && failure.verdict != Verdict::NotRun);
            if !may_retry || !self.body.can_be_sent() || Instant::now() >= deadline {
                return error_answer.ok_or(failure);
            }
            if kind == RetryKind::Failure {
                pending.avoid.push(dispatch.agent.clone());
            }
            // Agents keep what they know of each try, so that a late one is told from its successor.
            hop.id = RequestId::new();
            pending.id = hop.id;
            pending.tries += 1;
            retry = Some((kind, failure));
        }
    }

    fn pending(&self) -> PendingRequest {
        let now_ms = self.traffic.clock.now_ms();
        PendingRequest {
            id: self.id,
            origin: self.id,
            service: self.destination.service.clone(),
            team: self.wishes.team.clone(),
            weight: self.weight,
            route: self.wishes.route,
            class: Class::Short,
            arrived_ms: now_ms,
            deadline_ms: now_ms + self.wishes.deadline_ms,
            expected_ms: 0,
            tries: 0,
            avoid: Vec::new(),
        }
    }

    /// Waits for an agent; a refusal keeps the verdict of what went before.
    async fn ask_agent(
        &self,
        pending: PendingRequest,
        retry: Option<(RetryKind, Failure)>,
    ) -> Result<Dispatch, Failure> {
        let (reply, decided) = oneshot::channel();
        let (kind, before) =
            retry.map_or((None, None), |(kind, failure)| (Some(kind), Some(failure)));
        let mut guard = AbandonGuard {
            exchange: self,
            id: pending.id,
            armed: true,
        };
        self.traffic.control.do_send(Submit {
            pending,
            retry: kind,
            reply,
        });
        let stopping = Failure::not_run(Code::Draining, "the entry is stopping");
        let decision = decided.await.unwrap_or(Err(stopping));
        guard.armed = false;
        decision.map_err(|refusal| match before {
            Some(before) if before.verdict != Verdict::NotRun => before,
            _ => refusal,
        })
    }

    fn settle(
        &self,
        end: HopEnd,
        flight: &mut Flight<'_>,
        sent: Instant,
        started: Instant,
    ) -> Result<HttpResponse, Box<Unsettled>> {
        let run_ms = sent.elapsed().as_millis() as u64;
        match end {
            HopEnd::Whole {
                status,
                headers,
                body,
                load,
                recovered,
            } => {
                if recovered {
                    self.traffic.metrics.recovered.inc();
                    log_event!(info, Event::AnswerRecovered, request = %self.id);
                }
                let is_error = status >= SERVER_ERROR;
                if is_error && self.wishes.idempotent {
                    flight.end(TargetOutcome::Failed, load, None, false);
                    let message = format!("the backend server answered {status}");
                    let failure = Failure::new(Verdict::Ran, Code::BadAnswer, message);
                    let answer = Some(answer::head(status, &headers, self.id).body(body));
                    return Err(Box::new(Unsettled {
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
                flight.end(outcome, load, Some((self.wishes.route, run_ms)), false);
                self.traffic.metrics.whole.inc();
                self.traffic
                    .metrics
                    .latency
                    .observe(started.elapsed().as_secs_f64());
                Ok(answer::head(status, &headers, self.id).body(body))
            }
            HopEnd::Stream {
                status,
                headers,
                length,
                pieces,
            } => {
                flight.hand_over();
                self.traffic
                    .metrics
                    .latency
                    .observe(started.elapsed().as_secs_f64());
                let stream = AnswerStream::new(
                    self.traffic.clone(),
                    flight.dispatch.clone(),
                    flight.id,
                    self.destination.service.clone(),
                    self.wishes.route,
                    sent,
                    pieces,
                    length,
                    Duration::from_millis(self.spec.idle_timeout_ms),
                );
                let mut response = answer::head(status, &headers, self.id);
                if let Some(length) = length {
                    response.no_chunking(length);
                }
                Ok(response.streaming(stream.into_pieces()))
            }
            HopEnd::Failed { failure, load } => {
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
                flight.end(outcome, load, None, failure.verdict == Verdict::MayHaveRun);
                let kind = if is_neutral {
                    RetryKind::NoSlot
                } else {
                    RetryKind::Failure
                };
                Err(Box::new(Unsettled {
                    failure,
                    kind,
                    answer: None,
                }))
            }
            HopEnd::Lost(failure) => {
                let uncertain = failure.verdict == Verdict::MayHaveRun;
                flight.end(TargetOutcome::Failed, None, None, uncertain);
                Err(Box::new(Unsettled {
                    failure,
                    kind: RetryKind::Failure,
                    answer: None,
                }))
            }
        }
    }
}

/// A try without an answer, and what a retry would cost.
struct Unsettled {
    /// What went wrong.
    failure: Failure,
    /// Its kind.
    kind: RetryKind,
    /// The backend server's own error answer, for when nothing better comes.
    answer: Option<HttpResponse>,
}

/// Gives up a waiting request when its caller goes away.
struct AbandonGuard<'a> {
    /// The exchange that it guards.
    exchange: &'a Exchange<'a>,
    /// The try that waits.
    id: RequestId,
    /// Whether it still has to act.
    armed: bool,
}

impl Drop for AbandonGuard<'_> {
    fn drop(&mut self) {
        if self.armed {
            let service = self.exchange.destination.service.clone();
            self.exchange.traffic.control.do_send(Abandon {
                service,
                id: self.id,
            });
        }
    }
}
