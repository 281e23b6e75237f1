//! Requests from entries.

use crate::answer;
use crate::backend_call::{BackendCall, Body, Reply};
use crate::control::Control;
use crate::messages::{Abandon, AskAnswer, AskLoad, AskSlot};
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

/// Largest request body that is read whole before a slot is asked for.
const WHOLE_BODY_BYTES: u64 = 256 << 10;
/// Idle limit of services without a configuration.
const DEFAULT_IDLE: Duration = Duration::from_secs(15);
/// Time beyond the deadline for which an answer is still awaited, so that it can be replayed.
const LATE_ANSWER: Duration = Duration::from_secs(5);
/// Path under which kept answers are fetched.
pub(crate) const REPLAY_PATH: &str = "/.parsleythread/replay/{id}";

/// What the handlers of one traffic thread need.
#[derive(Clone)]
pub(crate) struct Traffic {
    /// The control thread, or its address.
    pub control: Addr<Control>,
    /// Configuration in force.
    pub config: Arc<ArcSwap<Config>>,
    /// HTTP client of this thread.
    pub client: Client,
    /// Monotonic clock of the process.
    pub clock: Clock,
    /// Incarnation of the agent.
    pub incarnation: u64,
}

/// What an entry says of a request.
struct Parsed {
    /// Number of the request.
    id: RequestId,
    /// The service.
    service: ServiceName,
    /// When it is of no use any more.
    deadline_ms: u64,
    /// Time that is left.
    left: Duration,
    /// Whether it is expected to run long.
    long: bool,
    /// Whether a small answer is kept.
    keep: bool,
}

/// Fetches a kept answer.
pub(crate) async fn replay(request: HttpRequest, traffic: Data<Traffic>) -> HttpResponse {
    let id = RequestId::parse(request.match_info().query("id"));
    let answer = match id {
        Some(id) => traffic.control.send(AskAnswer(id)).await.ok().flatten(),
        None => None,
    };
    match answer {
        Some(answer) => answer::whole(answer, None),
        None => {
            let failure = Failure::may_have_run(Code::NotFound, "the answer is not kept");
            answer::failure(&failure, wire::BackendLoad::default())
        }
    }
}

/// Serves a request from an entry.
pub(crate) async fn serve(
    request: HttpRequest,
    payload: Payload,
    traffic: Data<Traffic>,
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
    traffic: Data<Traffic>,
) -> HttpResponse {
    let parsed = match parse(&request, &traffic) {
        Ok(parsed) => parsed,
        Err(failure) => return answer::failure(&failure, wire::BackendLoad::default()),
    };
    let body = match read_body(&request, payload, parsed.left).await {
        Ok(body) => body,
        Err(failure) => return refuse(&traffic, &parsed.service, &failure).await,
    };
    let grant = match ask_slot(&traffic, &parsed).await {
        Ok(grant) => grant,
        Err(failure) => return refuse(&traffic, &parsed.service, &failure).await,
    };
    let config = traffic.config.load();
    let spec = config.services.get(&parsed.service);
    let idle_limit = spec.map_or(DEFAULT_IDLE, |spec| {
        Duration::from_millis(spec.idle_timeout_ms)
    });
    let call = BackendCall {
        client: traffic.client.clone(),
        control: traffic.control.clone(),
        grant,
        service: parsed.service,
        method: request.method().clone(),
        path: request
            .uri()
            .path_and_query()
            .map_or("/".to_owned(), ToString::to_string),
        headers: request.headers().clone(),
        traceparent: telemetry::traceparent(&telemetry::tracing::Span::current()),
        body,
        keep: parsed.keep,
        head_limit: parsed.left + LATE_ANSWER,
        idle_limit,
    };
    let (sender, receiver) = oneshot::channel();
    let span = info_span!(target: "parsleythread", "backend-call");
    actix_web::rt::spawn(call.run(sender).instrument(span));
    match receiver.await {
        Ok(reply) => respond(reply),
        Err(_) => {
            let failure = Failure::may_have_run(Code::Internal, "the call ended without a reply");
            answer::failure(&failure, wire::BackendLoad::default())
        }
    }
}

async fn refuse(traffic: &Traffic, service: &ServiceName, failure: &Failure) -> HttpResponse {
    let load = traffic
        .control
        .send(AskLoad(service.clone()))
        .await
        .unwrap_or_default();
    answer::failure(failure, load)
}

fn respond(reply: Reply) -> HttpResponse {
    match reply {
        Reply::Failed(failure, load) => answer::failure(&failure, load),
        Reply::Whole(whole, load) => answer::whole(whole, Some(load)),
        Reply::Stream(head, receiver) => {
            let mut response = answer::head(head.status, &head.headers);
            if let Some(length) = head.length {
                response.no_chunking(length);
            }
            let pieces = stream::unfold(receiver, |mut receiver| async move {
                receiver.recv().await.map(|piece| (piece, receiver))
            });
            response.streaming(Box::pin(pieces.map(|piece| piece.map_err(to_error))))
        }
    }
}

/// An error within a body makes the server break the connection, so that a cut shows as a cut.
fn to_error(failure: Failure) -> actix_web::Error {
    actix_web::error::ErrorBadGateway(failure)
}

fn header<'a>(request: &'a HttpRequest, name: &str) -> Option<&'a str> {
    request
        .headers()
        .get(name)
        .and_then(|value| value.to_str().ok())
}

fn parse(request: &HttpRequest, traffic: &Traffic) -> Result<Parsed, Failure> {
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
    Ok(Parsed {
        id,
        service: service.into(),
        deadline_ms: traffic.clock.now_ms() + left_ms,
        left: Duration::from_millis(left_ms),
        long: header(request, Headers::CLASS) == Some("long"),
        keep: header(request, Headers::KEEP) == Some("1"),
    })
}

/// Reads a small body whole, so that no slot waits for a slow sender.
async fn read_body(
    request: &HttpRequest,
    mut payload: Payload,
    limit: Duration,
) -> Result<Body, Failure> {
    let length: Option<u64> =
        header(request, CONTENT_LENGTH.as_str()).and_then(|text| text.parse().ok());
    let is_chunked = request.headers().contains_key("transfer-encoding");
    if length.is_none() && !is_chunked {
        return Ok(Body::Whole(bytes::Bytes::new()));
    }
    if length.is_none_or(|length| length > WHOLE_BODY_BYTES) {
        return Ok(Body::Stream(payload, length));
    }
    let mut body = BytesMut::new();
    let reading = async {
        while let Some(piece) = payload.next().await {
            body.extend_from_slice(&piece.map_err(|_| cut_body())?);
        }
        Ok(body.freeze())
    };
    let read = tokio::time::timeout(limit, reading).await;
    read.map_err(|_| cut_body())?.map(Body::Whole)
}

fn cut_body() -> Failure {
    Failure::not_run(
        Code::ConnectionLost,
        "the request's body did not come whole",
    )
}

/// Gives up a waiting request when its handler goes away.
struct AbandonGuard<'a> {
    /// The control thread, or its address.
    control: &'a Addr<Control>,
    /// Number of the request.
    id: RequestId,
    /// Whether it still has to act.
    armed: bool,
}

impl Drop for AbandonGuard<'_> {
    fn drop(&mut self) {
        if self.armed {
            self.control.do_send(Abandon(self.id));
        }
    }
}

async fn ask_slot(traffic: &Traffic, parsed: &Parsed) -> Result<Grant, Failure> {
    let admit = AdmissionRequest {
        id: parsed.id,
        service: parsed.service.clone(),
        deadline_ms: parsed.deadline_ms,
        long: parsed.long,
    };
    let (reply, settled) = oneshot::channel();
    let mut guard = AbandonGuard {
        control: &traffic.control,
        id: parsed.id,
        armed: true,
    };
    let admitted = traffic.control.send(AskSlot { admit, reply }).await;
    let outcome = match admitted {
        Ok(Admitted::Granted(grant)) => Ok(grant),
        Ok(Admitted::Refused(failure)) => Err(failure),
        Ok(Admitted::Queued) => {
            let gone = Failure::not_run(Code::ConnectionLost, "the request was fenced off");
            settled.await.unwrap_or(Err(gone))
        }
        Err(_) => Err(Failure::not_run(Code::Draining, "the agent is stopping")),
    };
    guard.armed = false;
    outcome
}
