//! One request to a backend server, carried through even if the entry's connection breaks.

use crate::control::Control;
use crate::messages::{Finish, Progress};
use actix::Addr;
use actix_web::web::Payload;
use awc::error::SendRequestError;
use awc::http::header::{CONTENT_LENGTH, HeaderMap};
use awc::http::{Method, Uri};
use awc::{Client, ClientRequest, ClientResponse};
use bytes::{Bytes, BytesMut};
use client::is_never_sent;
use errors::{Code, Failure};
use fence::{CachedAnswer, Grant, Outcome};
use futures::{Stream, StreamExt};
use model::ServiceName;
use std::time::{Duration, Instant};
use tokio::sync::{mpsc, oneshot};
use utils::is_hop_header;
use wire::{BackendLoad, Headers};

/// Largest answer that is read whole before it is passed on, and that may be kept.
const WHOLE_ANSWER_BYTES: u64 = 64 << 10;
/// Pieces of a streamed answer that wait for the entry.
const STREAM_PIECES: usize = 8;

/// Body of a request.
pub(crate) enum Body {
    /// Read whole already.
    Whole(Bytes),
    /// Still coming, of this length if known.
    Stream(Payload, Option<u64>),
}

/// What the entry is told.
pub(crate) enum Reply {
    /// No answer; the verdict tells whether it may have run.
    Failed(Failure, BackendLoad),
    /// A whole answer.
    Whole(CachedAnswer, BackendLoad),
    /// The head of a streamed answer and its pieces.
    Stream(StreamHead, mpsc::Receiver<Result<Bytes, Failure>>),
}

/// Head of a streamed answer.
pub(crate) struct StreamHead {
    /// HTTP status.
    pub status: u16,
    /// HTTP headers.
    pub headers: Vec<(String, Vec<u8>)>,
    /// Length, if known.
    pub length: Option<u64>,
}

/// A request that has a slot.
pub(crate) struct BackendCall {
    /// HTTP client of this thread.
    pub client: Client,
    /// The control thread, or its address.
    pub control: Addr<Control>,
    /// The slot.
    pub grant: Grant,
    /// The service.
    pub service: ServiceName,
    /// HTTP method.
    pub method: Method,
    /// Path and query.
    pub path: String,
    /// HTTP headers.
    pub headers: HeaderMap,
    /// Trace context for the next hop.
    pub traceparent: Option<String>,
    /// The body.
    pub body: Body,
    /// Whether a small answer is kept for a replay.
    pub keep: bool,
    /// Time for the head of the answer.
    pub head_limit: Duration,
    /// Longest silence within the answer.
    pub idle_limit: Duration,
}

impl BackendCall {
    /// Makes the call; tells the entry through `reply` if it is still there.
    pub async fn run(mut self, reply: oneshot::Sender<Reply>) {
        let started = Instant::now();
        let head = match self.send().await {
            Ok(answer) => answer,
            Err(failure) => {
                let outcome = if failure.verdict.is_safe_to_retry() {
                    Outcome::NotRun
                } else {
                    Outcome::Broken
                };
                let load = self.finish(outcome, None, started).await;
                drop(reply.send(Reply::Failed(failure, load)));
                return;
            }
        };
        let length = content_length(head.headers());
        let is_small = length.is_some_and(|length| length <= WHOLE_ANSWER_BYTES);
        if is_small || self.method == Method::HEAD {
            self.pass_whole(head, length, started, reply).await;
        } else {
            self.pass_stream(head, length, started, reply).await;
        }
    }

    async fn send(
        &mut self,
    ) -> Result<
        ClientResponse<impl Stream<Item = Result<Bytes, awc::error::PayloadError>> + Unpin + use<>>,
        Failure,
    > {
        let request = self.build()?;
        let body = std::mem::replace(&mut self.body, Body::Whole(Bytes::new()));
        let sending = async {
            match body {
                Body::Whole(bytes) => request.send_body(bytes).await,
                Body::Stream(payload, _) => request.send_stream(payload).await,
            }
        };
        match tokio::time::timeout(self.head_limit, sending).await {
            Err(_) => Err(Failure::may_have_run(
                Code::DeadlineExceeded,
                "the backend server is silent",
            )),
            Ok(Ok(answer)) => Ok(answer),
            Ok(Err(error)) => Err(classify(&error)),
        }
    }

    fn build(&self) -> Result<ClientRequest, Failure> {
        let uri = format!("http://{}{}", self.grant.backend, self.path);
        let uri: Uri = uri
            .parse()
            .map_err(|_| Failure::not_run(Code::BadRequest, "the path is not a valid address"))?;
        let mut request = self
            .client
            .request(self.method.clone(), uri)
            .no_decompress();
        for (name, value) in &self.headers {
            if !is_hop_header(name.as_str()) && !is_own_header(name.as_str()) {
                request = request.append_header((name.clone(), value.clone()));
            }
        }
        if let Some(traceparent) = &self.traceparent {
            request = request.insert_header(("traceparent", traceparent.as_str()));
        }
        if let Body::Stream(_, Some(length)) = &self.body {
            request = request.insert_header((CONTENT_LENGTH, *length));
        }
        Ok(request)
    }

    async fn finish(
        &self,
        outcome: Outcome,
        answer: Option<CachedAnswer>,
        started: Instant,
    ) -> BackendLoad {
        let run_ms = started.elapsed().as_millis() as u64;
        let (id, service) = (self.grant.id, self.service.clone());
        let end = Finish {
            id,
            service,
            outcome,
            answer,
            run_ms,
        };
        self.control.send(end).await.unwrap_or_default()
    }

    async fn pass_whole<S>(
        &self,
        mut head: ClientResponse<S>,
        length: Option<u64>,
        started: Instant,
        reply: oneshot::Sender<Reply>,
    ) where
        S: Stream<Item = Result<Bytes, awc::error::PayloadError>> + Unpin,
    {
        let mut body = BytesMut::new();
        let expected = if self.method == Method::HEAD {
            0
        } else {
            length.unwrap_or(0)
        };
        let complete = loop {
            match tokio::time::timeout(self.idle_limit, head.next()).await {
                Ok(Some(Ok(piece))) => body.extend_from_slice(&piece),
                Ok(None) => break body.len() as u64 == expected,
                Ok(Some(Err(_))) | Err(_) => break false,
            }
        };
        if !complete {
            let load = self.finish(Outcome::Broken, None, started).await;
            let failure =
                Failure::may_have_run(Code::BadAnswer, "the backend server's answer was cut");
            drop(reply.send(Reply::Failed(failure, load)));
            return;
        }
        let status = head.status().as_u16();
        let answer = CachedAnswer {
            status,
            headers: kept_headers(head.headers()),
            body: body.freeze(),
        };
        let kept = self.keep.then(|| answer.clone());
        let load = self.finish(Outcome::Whole, kept, started).await;
        drop(reply.send(Reply::Whole(answer, load)));
    }

    async fn pass_stream<S>(
        &self,
        mut head: ClientResponse<S>,
        length: Option<u64>,
        started: Instant,
        reply: oneshot::Sender<Reply>,
    ) where
        S: Stream<Item = Result<Bytes, awc::error::PayloadError>> + Unpin,
    {
        let (sender, receiver) = mpsc::channel(STREAM_PIECES);
        let headers = kept_headers(head.headers());
        let stream_head = StreamHead {
            status: head.status().as_u16(),
            headers,
            length,
        };
        if reply.send(Reply::Stream(stream_head, receiver)).is_err() {
            self.finish(Outcome::Broken, None, started).await;
            return;
        }
        let mut total_bytes = 0;
        let ended = loop {
            match tokio::time::timeout(self.idle_limit, head.next()).await {
                Ok(Some(Ok(piece))) => {
                    total_bytes += piece.len() as u64;
                    if sender.send(Ok(piece)).await.is_err() {
                        break Err("the entry went away");
                    }
                    self.control.do_send(Progress {
                        id: self.grant.id,
                        total_bytes,
                    });
                }
                Ok(None) if length.is_none_or(|length| length == total_bytes) => break Ok(()),
                Ok(None) => break Err("the answer is shorter than announced"),
                Ok(Some(Err(_))) => break Err("the backend server's answer was cut"),
                Err(_) => break Err("the backend server's answer went silent"),
            }
        };
        let outcome = if ended.is_ok() {
            Outcome::Whole
        } else {
            Outcome::Broken
        };
        self.finish(outcome, None, started).await;
        if let Err(reason) = ended {
            drop(
                sender
                    .send(Err(Failure::may_have_run(Code::BadAnswer, reason)))
                    .await,
            );
        }
    }
}

/// A connection that was never made proves that no byte was written.
fn classify(error: &SendRequestError) -> Failure {
    if is_never_sent(error) {
        return Failure::not_run(Code::ConnectionLost, "can't connect to the backend server");
    }
    Failure::may_have_run(Code::ConnectionLost, format!("the backend server: {error}"))
}

fn is_own_header(name: &str) -> bool {
    name.starts_with(Headers::PREFIX) || name == "traceparent"
}

fn kept_headers(headers: &HeaderMap) -> Vec<(String, Vec<u8>)> {
    let passed = headers.iter().filter(|(name, _)| {
        !is_hop_header(name.as_str()) && !name.as_str().starts_with(Headers::PREFIX)
    });
    passed
        .map(|(name, value)| (name.to_string(), value.as_bytes().to_vec()))
        .collect()
}

fn content_length(headers: &HeaderMap) -> Option<u64> {
    headers.get(CONTENT_LENGTH)?.to_str().ok()?.parse().ok()
}
