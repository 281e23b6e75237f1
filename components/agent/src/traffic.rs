//! HTTP handlers for requests from entries.

use crate::backend_call::{BackendCall, Body, Reply};
use crate::control::Control;
use crate::messages::{AbandonRequest, GetCachedAnswer, GetLoad, RequestSlot};
use crate::response;
use actix::Addr;
use actix_web::http::header::CONTENT_LENGTH;
use actix_web::web::{BytesMut, Data, Payload};
use actix_web::{HttpRequest, HttpResponse};
use arc_swap::ArcSwap;
use awc::Client;
use errors::{Code, Failure};
use fence::{AdmissionRequest, Admitted, Grant};
use futures::{StreamExt, stream};
use model::{Config, RequestId, ServiceName};
use std::sync::Arc;
use std::time::Duration;
use telemetry::tracing::{Instrument, info_span};
use tokio::sync::oneshot;
use utils::Clock;
use wire::{Headers, REQUEST_ID, SERVICE};

/// Largest request body that is buffered before a slot is requested.
const MAX_BUFFERED_BODY_BYTES: u64 = 256 << 10;
/// Idle timeout of services that the configuration does not contain.
const DEFAULT_IDLE_TIMEOUT: Duration = Duration::from_secs(15);
/// Time past the deadline for which the agent still waits for an answer, so that it can be replayed.
const LATE_ANSWER_GRACE: Duration = Duration::from_secs(5);
/// Path under which entries fetch cached answers.
pub(crate) const REPLAY_PATH: &str = "/.parsleythread/replay/{id}";

/// State shared by the handlers of one traffic thread.
#[derive(Clone)]
pub(crate) struct TrafficState {
    /// Address of the control actor.
    pub control: Addr<Control>,
    /// Configuration in force.
    pub config: Arc<ArcSwap<Config>>,
    /// HTTP client for calls to backend servers.
    pub client: Client,
    /// Monotonic clock of the process.
    pub clock: Clock,
    /// Incarnation of the agent; requests for another one are refused.
    pub incarnation: u64,
}

/// Properties of a request, parsed from the headers that the entry set.
struct RequestMeta {
    /// Id of the request.
    id: RequestId,
    /// Service that the request is for.
    service: ServiceName,
    /// Deadline on the agent's clock, in milliseconds.
    deadline_ms: u64,
    /// Time until the deadline, as stated by the entry.
    time_left: Duration,
    /// Whether the entry expects the request to run long.
    is_long: bool,
    /// Whether a small answer is cached for a replay.
    keep_answer: bool,
}

/// Returns a cached answer, which an entry fetches after its first connection broke or went silent.
pub(crate) async fn replay(request: HttpRequest, traffic: Data<TrafficState>) -> HttpResponse {
    let id = RequestId::parse(request.match_info().query("id"));
    let answer = match id {
        Some(id) => traffic
            .control
            .send(GetCachedAnswer(id))
            .await
            .ok()
            .flatten(),
        None => None,
    };
    match answer {
        Some(answer) => response::complete(answer, None),
        None => {
            let failure = Failure::may_have_run(Code::NotFound, "the answer is not kept");
            response::failure(&failure, wire::BackendLoad::default())
        }
    }
}

/// Handles a request from an entry, in a span that continues the entry's trace.
pub(crate) async fn serve(
    request: HttpRequest,
    payload: Payload,
    traffic: Data<TrafficState>,
) -> HttpResponse {
    let span = info_span!(target: "parsleythread", "agent");
    if let Some(parent) = header(&request, "traceparent") {
        telemetry::set_remote_parent(&span, parent);
    }
    serve_in_span(request, payload, traffic)
        .instrument(span)
        .await
}

async fn serve_in_span(
    request: HttpRequest,
    payload: Payload,
    traffic: Data<TrafficState>,
) -> HttpResponse {
    let meta = match parse(&request, &traffic) {
        Ok(meta) => meta,
        Err(failure) => return response::failure(&failure, wire::BackendLoad::default()),
    };
    let body = match read_body(&request, payload, meta.time_left).await {
        Ok(body) => body,
        Err(failure) => return refuse(&traffic, &meta.service, &failure).await,
    };
    let grant = match request_slot(&traffic, &meta).await {
        Ok(grant) => grant,
        Err(failure) => return refuse(&traffic, &meta.service, &failure).await,
    };
    let config = traffic.config.load();
    let spec = config.services.get(&meta.service);
    let idle_limit = spec.map_or(DEFAULT_IDLE_TIMEOUT, |spec| {
        Duration::from_millis(spec.idle_timeout_ms)
    });
    let call = BackendCall {
        client: traffic.client.clone(),
        control: traffic.control.clone(),
        grant,
        service: meta.service,
        method: request.method().clone(),
        path: request
            .uri()
            .path_and_query()
            .map_or("/".to_owned(), ToString::to_string),
        headers: request.headers().clone(),
        traceparent: telemetry::traceparent(&telemetry::tracing::Span::current()),
        body,
        keep_answer: meta.keep_answer,
        head_limit: meta.time_left + LATE_ANSWER_GRACE,
        idle_limit,
    };
    let (sender, receiver) = oneshot::channel();
    let span = info_span!(target: "parsleythread", "backend-call");
    actix_web::rt::spawn(call.run(sender).instrument(span));
    match receiver.await {
        Ok(reply) => respond(reply),
        Err(_) => {
            let failure = Failure::may_have_run(Code::Internal, "the call ended without a reply");
            response::failure(&failure, wire::BackendLoad::default())
        }
    }
}

/// Builds the response for a refused request, with the free slots of its service.
async fn refuse(traffic: &TrafficState, service: &ServiceName, failure: &Failure) -> HttpResponse {
    let load = traffic
        .control
        .send(GetLoad(service.clone()))
        .await
        .unwrap_or_default();
    response::failure(failure, load)
}

/// Converts the result of a backend call into the response to the entry.
fn respond(reply: Reply) -> HttpResponse {
    match reply {
        Reply::Failed(failure, load) => response::failure(&failure, load),
        Reply::Complete(answer, load) => response::complete(answer, Some(load)),
        Reply::Stream(head, receiver) => {
            let mut response = response::head(head.status, &head.headers);
            if let Some(length) = head.length {
                response.no_chunking(length);
            }
            let chunks = stream::unfold(receiver, |mut receiver| async move {
                receiver.recv().await.map(|chunk| (chunk, receiver))
            });
            response.streaming(Box::pin(chunks.map(|chunk| chunk.map_err(to_error))))
        }
    }
}

/// Converts a failure within a body into an error on which the HTTP server breaks the connection, so
/// that the entry can distinguish a cut-off body from a complete one.
fn to_error(failure: Failure) -> actix_web::Error {
    actix_web::error::ErrorBadGateway(failure)
}

/// Value of a header; `None` if it is missing or not text.
fn header<'a>(request: &'a HttpRequest, name: &str) -> Option<&'a str> {
    request
        .headers()
        .get(name)
        .and_then(|value| value.to_str().ok())
}

/// Parses the headers that the entry set; refuses requests meant for another incarnation.
fn parse(request: &HttpRequest, traffic: &TrafficState) -> Result<RequestMeta, Failure> {
    let bad =
        |what: &str| Failure::not_run(Code::BadRequest, format!("{what} is missing or wrong"));
    let id = header(request, REQUEST_ID)
        .and_then(RequestId::parse)
        .ok_or_else(|| bad(REQUEST_ID))?;
    let service = header(request, SERVICE).ok_or_else(|| bad(SERVICE))?;
    let left_ms: u64 = header(request, Headers::DEADLINE_MS)
        .and_then(|text| text.parse().ok())
        .ok_or_else(|| bad(Headers::DEADLINE_MS))?;
    let incarnation = header(request, Headers::INCARNATION).and_then(|text| text.parse().ok());
    if incarnation != Some(traffic.incarnation) {
        return Err(Failure::not_run(
            Code::NoBackend,
            "the agent restarted since",
        ));
    }
    Ok(RequestMeta {
        id,
        service: service.into(),
        deadline_ms: traffic.clock.now_ms() + left_ms,
        time_left: Duration::from_millis(left_ms),
        is_long: header(request, Headers::CLASS) == Some("long"),
        keep_answer: header(request, Headers::KEEP) == Some("1"),
    })
}

/// Buffers a small body before a slot is requested, so that no slot is blocked by a slow sender.
async fn read_body(
    request: &HttpRequest,
    mut payload: Payload,
    limit: Duration,
) -> Result<Body, Failure> {
    let length: Option<u64> =
        header(request, CONTENT_LENGTH.as_str()).and_then(|text| text.parse().ok());
    let is_chunked = request.headers().contains_key("transfer-encoding");
    if length.is_none() && !is_chunked {
        return Ok(Body::Buffered(bytes::Bytes::new()));
    }
    if length.is_none_or(|length| length > MAX_BUFFERED_BODY_BYTES) {
        return Ok(Body::Stream(payload, length));
    }
    let mut body = BytesMut::new();
    let reading = async {
        while let Some(chunk) = payload.next().await {
            body.extend_from_slice(&chunk.map_err(|_| incomplete_body())?);
        }
        Ok(body.freeze())
    };
    let read = tokio::time::timeout(limit, reading).await;
    read.map_err(|_| incomplete_body())?.map(Body::Buffered)
}

fn incomplete_body() -> Failure {
    Failure::not_run(
        Code::ConnectionLost,
        "the request's body did not come whole",
    )
}

/// Abandons a queued request if its handler is dropped before the outcome arrives.
struct AbandonGuard<'a> {
    /// Address of the control actor.
    control: &'a Addr<Control>,
    /// Request to abandon.
    id: RequestId,
    /// Whether the outcome is still pending.
    is_pending: bool,
}

impl Drop for AbandonGuard<'_> {
    fn drop(&mut self) {
        if self.is_pending {
            self.control.do_send(AbandonRequest(self.id));
        }
    }
}

/// Requests a slot; waits for the outcome if the request is queued.
async fn request_slot(traffic: &TrafficState, meta: &RequestMeta) -> Result<Grant, Failure> {
    let request = AdmissionRequest {
        id: meta.id,
        service: meta.service.clone(),
        deadline_ms: meta.deadline_ms,
        is_long: meta.is_long,
    };
    let (reply, queued_outcome) = oneshot::channel();
    let mut guard = AbandonGuard {
        control: &traffic.control,
        id: meta.id,
        is_pending: true,
    };
    let admitted = traffic.control.send(RequestSlot { request, reply }).await;
    let outcome = match admitted {
        Ok(Admitted::Granted(grant)) => Ok(grant),
        Ok(Admitted::Refused(failure)) => Err(failure),
        Ok(Admitted::Queued) => {
            let fenced = Failure::not_run(Code::ConnectionLost, "the request was fenced off");
            queued_outcome.await.unwrap_or(Err(fenced))
        }
        Err(_) => Err(Failure::not_run(Code::Draining, "the agent is stopping")),
    };
    guard.is_pending = false;
    outcome
}
