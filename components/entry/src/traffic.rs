//! Requests of callers.

use crate::answer;
use crate::answer_stream::AnswerStream;
use crate::body::CallerBody;
use crate::caller::{self, Destination, Wishes};
use crate::control::Control;
use crate::hop::{Hop, HopEnd};
use crate::messages::{
    Abandon, ClaimKey, ClaimRefusal, Ended, HolderState, KeyedEnded, ReleaseKey, RetryKind, Submit,
};
use crate::metrics::Metrics;
use crate::resolve::{self, Resolution};
use crate::snapshot::Snapshot;
use actix::Addr;
use actix_web::web::{Data, Payload};
use actix_web::{HttpRequest, HttpResponse};
use arc_swap::ArcSwap;
use awc::Client;
use client::ClientLimits;
use errors::{Code, Failure, Verdict};
use model::{AgentId, RequestId, ServiceSpec};
use routing::{Class, Dispatch, Pending, Route, TargetOutcome};
use std::cell::RefCell;
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};
use telemetry::tracing::{Instrument, info_span};
use telemetry::{Event, log_event};
use tokio::sync::oneshot;
use utils::Clock;
use wire::BackendLoad;

/// Time for connecting to an agent.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// Time after which an idle connection to an agent is not used again.
const AGENT_KEEP_ALIVE: Duration = Duration::from_secs(30);
/// First status of server errors.
const SERVER_ERROR: u16 = 500;

/// What the handlers of one traffic thread need.
#[derive(Clone)]
pub(crate) struct Traffic {
    pub control: Addr<Control>,
    pub snapshot: Arc<ArcSwap<Snapshot>>,
    pub metrics: Metrics,
    pub clock: Clock,
    /// Silence after which a request in flight is asked about.
    pub probe: Duration,
    client: Rc<RefCell<Client>>,
}

impl Traffic {
    pub fn new(
        control: Addr<Control>,
        snapshot: Arc<ArcSwap<Snapshot>>,
        metrics: Metrics,
        clock: Clock,
        probe: Duration,
    ) -> Self {
        let client = Rc::new(RefCell::new(new_client()));
        Self {
            control,
            snapshot,
            metrics,
            clock,
            probe,
            client,
        }
    }

    /// The HTTP client of this thread.
    pub fn client(&self) -> Client {
        self.client.borrow().clone()
    }

    /// Leaves idle connections behind, because others of the same age may have gone silent too.
    pub fn renew_client(&self) {
        *self.client.borrow_mut() = new_client();
    }
}

/// A client without connections.
pub(crate) fn new_client() -> Client {
    client::build(ClientLimits {
        connect: CONNECT_TIMEOUT,
        keep_alive: AGENT_KEEP_ALIVE,
        call: None,
    })
}

/// Serves one request of a caller.
pub(crate) async fn serve(
    request: HttpRequest,
    payload: Payload,
    traffic: Data<Traffic>,
) -> HttpResponse {
    let span = info_span!(target: "parsleythread", "entry");
    let parent = request
        .headers()
        .get("traceparent")
        .and_then(|value| value.to_str().ok());
    if let Some(parent) = parent {
        telemetry::adopt_parent(&span, parent);
    }
    traffic.metrics.requests.inc();
    let id = RequestId::new();
    let served = serve_in_span(&request, payload, &traffic, id)
        .instrument(span)
        .await;
    served.unwrap_or_else(|failure| answer::failure(&traffic.metrics, &failure, Some(id)))
}

async fn serve_in_span(
    request: &HttpRequest,
    payload: Payload,
    traffic: &Traffic,
    id: RequestId,
) -> Result<HttpResponse, Failure> {
    let snapshot = traffic.snapshot.load_full();
    if snapshot.closed {
        return Err(Failure::not_run(
            Code::Draining,
            "the entry is shutting down",
        ));
    }
    let destination = caller::destination(request)?;
    let spec = snapshot
        .config
        .services
        .get(&destination.service)
        .ok_or_else(|| {
            Failure::not_run(
                Code::NotFound,
                format!("there is no service {:?}", destination.service),
            )
        })?;
    let wishes = caller::wishes(request, &destination, spec)?;
    let body = CallerBody::read(request, payload, spec.max_body_bytes).await?;
    let weight = snapshot
        .config
        .teams
        .get(&wishes.team)
        .map_or(1, |team| team.weight);
    let exchange = Exchange {
        request,
        traffic,
        id,
        destination: &destination,
        spec,
        wishes: &wishes,
        body: &body,
        weight,
    };
    match &wishes.key {
        None => exchange.run().await,
        Some(key) => exchange.run_once(key).await,
    }
}

/// One request of a caller and everything that is known of it.
struct Exchange<'a> {
    request: &'a HttpRequest,
    traffic: &'a Traffic,
    id: RequestId,
    destination: &'a Destination,
    spec: &'a ServiceSpec,
    wishes: &'a Wishes,
    body: &'a CallerBody,
    weight: u32,
}

impl Exchange<'_> {
    /// Runs a request with a key, unless one with the same key was here before.
    async fn run_once(&self, key: &str) -> Result<HttpResponse, Failure> {
        let service = self.destination.service.clone();
        let claim = ClaimKey {
            service: service.clone(),
            key: key.to_owned(),
            request: self.id,
        };
        let claimed = self.traffic.control.send(claim).await;
        match claimed {
            Ok(Ok(())) => {}
            Ok(Err(ClaimRefusal::Held { holder, state })) => {
                log_event!(info, Event::DuplicateRefused, request = %self.id, holder = %holder);
                return self.repeat_answer(holder, state).await;
            }
            Ok(Err(ClaimRefusal::Unavailable)) | Err(_) => {
                let message = "the key can't be claimed now";
                return Err(Failure::not_run(Code::NoBackend, message).retry_after(1_000));
            }
        }
        let _ended = KeyedGuard {
            traffic: self.traffic,
            id: self.id,
        };
        let outcome = self.run().await;
        if outcome
            .as_ref()
            .is_err_and(|failure| failure.verdict.is_safe_to_retry())
        {
            let key = key.to_owned();
            self.traffic.control.do_send(ReleaseKey {
                service,
                key,
                request: self.id,
            });
        }
        outcome
    }

    /// Answers a repetition with the answer to the first request, if that can be had.
    async fn repeat_answer(
        &self,
        holder: RequestId,
        state: Option<HolderState>,
    ) -> Result<HttpResponse, Failure> {
        let unknown = || {
            let message = format!(
                "the request {holder} with the same key came first; its answer is not known here"
            );
            Failure::may_have_run(Code::DuplicateKey, message)
        };
        let state = state.ok_or_else(unknown)?;
        let dispatch = Dispatch {
            id: state.sent_as,
            agent: state.agent,
            traffic: state.traffic,
            control: state.control,
            incarnation: state.incarnation,
            class: Class::Short,
        };
        let deadline = Instant::now() + Duration::from_millis(self.wishes.deadline_ms);
        let found = resolve::follow(self.traffic, &dispatch, state.sent_as, deadline).await;
        let Resolution::Answer(mut head) = found else {
            return Err(unknown());
        };
        let mut response = answer::head(
            head.status().as_u16(),
            &crate::hop::passed_headers(head.headers()),
            holder,
        );
        let body = head.body().await.map_err(|_| unknown())?;
        Ok(response.body(body))
    }

    /// Tries agents until one gives an answer or nothing more may be tried.
    async fn run(&self) -> Result<HttpResponse, Failure> {
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
                Err(Unsettled {
                    failure,
                    kind,
                    answer,
                }) => {
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

    fn pending(&self) -> Pending {
        let now_ms = self.traffic.clock.now_ms();
        Pending {
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
        pending: Pending,
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
    ) -> Result<HttpResponse, Unsettled> {
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
                    return Err(Unsettled {
                        failure,
                        kind: RetryKind::Failure,
                        answer,
                    });
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
                Err(Unsettled {
                    failure,
                    kind,
                    answer: None,
                })
            }
            HopEnd::Lost(failure) => {
                let uncertain = failure.verdict == Verdict::MayHaveRun;
                flight.end(TargetOutcome::Failed, None, None, uncertain);
                Err(Unsettled {
                    failure,
                    kind: RetryKind::Failure,
                    answer: None,
                })
            }
        }
    }
}

/// A try without an answer, and what a retry would cost.
struct Unsettled {
    failure: Failure,
    kind: RetryKind,
    /// The backend server's own error answer, for when nothing better comes.
    answer: Option<HttpResponse>,
}

/// Gives up a waiting request when its caller goes away.
struct AbandonGuard<'a> {
    exchange: &'a Exchange<'a>,
    /// The try that waits.
    id: RequestId,
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

/// Marks a keyed request as ended when its handler is done.
struct KeyedGuard<'a> {
    traffic: &'a Traffic,
    id: RequestId,
}

impl Drop for KeyedGuard<'_> {
    fn drop(&mut self) {
        self.traffic.control.do_send(KeyedEnded(self.id));
    }
}

/// A dispatched request; its end is told to the control thread exactly once.
struct Flight<'a> {
    traffic: &'a Traffic,
    service: &'a model::ServiceName,
    agent: AgentId,
    dispatch: &'a Dispatch,
    id: RequestId,
    ended: bool,
}

impl<'a> Flight<'a> {
    fn new(
        traffic: &'a Traffic,
        service: &'a model::ServiceName,
        dispatch: &'a Dispatch,
        id: RequestId,
    ) -> Self {
        Self {
            traffic,
            service,
            agent: dispatch.agent.clone(),
            dispatch,
            id,
            ended: false,
        }
    }

    fn end(
        &mut self,
        outcome: TargetOutcome,
        load: Option<BackendLoad>,
        ran: Option<(Route, u64)>,
        uncertain: bool,
    ) {
        self.ended = true;
        let (service, agent) = (self.service.clone(), self.agent.clone());
        let id = self.id;
        self.traffic.control.do_send(Ended {
            id,
            service,
            agent,
            outcome,
            load,
            ran,
            uncertain,
        });
    }

    /// Leaves the end to somebody else.
    fn hand_over(&mut self) {
        self.ended = true;
    }
}

impl Drop for Flight<'_> {
    fn drop(&mut self) {
        if !self.ended {
            self.end(TargetOutcome::Neutral, None, None, false);
        }
    }
}
