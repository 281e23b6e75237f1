//! One request to a backend server, completed even if the connection from the entry breaks.

use crate::control::Control;
use crate::messages::{FinishRequest, RecordProgress};
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

/// Largest answer that is buffered before it is passed on; only these may be cached for a replay.
const MAX_BUFFERED_ANSWER_BYTES: u64 = 64 << 10;
/// Chunks of a streamed answer that are buffered while the entry reads slowly.
const STREAM_BUFFER_CHUNKS: usize = 8;

/// Body of a request to a backend server.
pub(crate) enum Body {
    /// Read completely before the slot was requested.
    Buffered(Bytes),
    /// Read from the entry while it is sent, with its length if the entry stated one.
    Stream(Payload, Option<u64>),
}

/// Result of a call, to be sent to the entry.
pub(crate) enum Reply {
    /// There is no complete answer; the verdict says whether the request may have run.
    Failed(Failure, BackendLoad),
    /// The answer was read completely.
    Complete(CachedAnswer, BackendLoad),
    /// The answer is streamed: its head, and a channel with the chunks of its body.
    Stream(StreamHead, mpsc::Receiver<Result<Bytes, Failure>>),
}

/// Head of a streamed answer.
pub(crate) struct StreamHead {
    /// HTTP status of the backend server.
    pub status: u16,
    /// Headers to pass on, without hop-by-hop headers.
    pub headers: Vec<(String, Vec<u8>)>,
    /// Length of the body in bytes; `None` if the backend server did not state it.
    pub length: Option<u64>,
}

/// A request that was granted a slot on a backend server.
pub(crate) struct BackendCall {
    /// HTTP client of the current thread.
    pub client: Client,
    /// Address of the control actor.
    pub control: Addr<Control>,
    /// Slot and address of the backend server.
    pub grant: Grant,
    /// Service that the request is for.
    pub service: ServiceName,
    /// HTTP method of the request.
    pub method: Method,
    /// Path and query of the request.
    pub path: String,
    /// Headers from the entry, filtered when the request is built.
    pub headers: HeaderMap,
    /// Trace context for the backend server; `None` if the request is not traced.
    pub traceparent: Option<String>,
    /// Body of the request.
    pub body: Body,
    /// Whether a small answer is cached for a replay.
    pub keep_answer: bool,
    /// Time within which the head of the answer has to arrive.
    pub head_limit: Duration,
    /// Longest time between two chunks of the answer.
    pub idle_limit: Duration,
}

impl BackendCall {
    /// Makes the call and sends its result through `reply`. If the receiver was dropped, the slot is
    /// released and the outcome is recorded all the same.
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
        let is_small = length.is_some_and(|length| length <= MAX_BUFFERED_ANSWER_BYTES);
        if is_small || self.method == Method::HEAD {
            self.relay_buffered(head, length, started, reply).await;
        } else {
            self.relay_stream(head, length, started, reply).await;
        }
    }

    /// Sends the request and waits for the head of the answer.
    async fn send(
        &mut self,
    ) -> Result<
        ClientResponse<impl Stream<Item = Result<Bytes, awc::error::PayloadError>> + Unpin + use<>>,
        Failure,
    > {
        let request = self.build_request()?;
        let body = std::mem::replace(&mut self.body, Body::Buffered(Bytes::new()));
        let sending = async {
            match body {
                Body::Buffered(bytes) => request.send_body(bytes).await,
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

    /// Builds the request without hop-by-hop headers and headers of this system.
    fn build_request(&self) -> Result<ClientRequest, Failure> {
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

    /// Releases the slot and records the outcome; returns the load afterwards.
    async fn finish(
        &self,
        outcome: Outcome,
        answer: Option<CachedAnswer>,
        started: Instant,
    ) -> BackendLoad {
        let run_ms = started.elapsed().as_millis() as u64;
        let (id, service) = (self.grant.id, self.service.clone());
        let end = FinishRequest {
            id,
            service,
            outcome,
            answer,
            run_ms,
        };
        self.control.send(end).await.unwrap_or_default()
    }

    /// Reads the whole answer before passing it on; a cut-off answer becomes a failure.
    async fn relay_buffered<S>(
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
                Ok(Some(Ok(chunk))) => body.extend_from_slice(&chunk),
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
            headers: forwarded_headers(head.headers()),
            body: body.freeze(),
        };
        let cached = self.keep_answer.then(|| answer.clone());
        let load = self.finish(Outcome::Complete, cached, started).await;
        drop(reply.send(Reply::Complete(answer, load)));
    }

    /// Passes the answer on as it arrives; a cut-off answer ends the stream with a failure.
    async fn relay_stream<S>(
        &self,
        mut head: ClientResponse<S>,
        length: Option<u64>,
        started: Instant,
        reply: oneshot::Sender<Reply>,
    ) where
        S: Stream<Item = Result<Bytes, awc::error::PayloadError>> + Unpin,
    {
        let (sender, receiver) = mpsc::channel(STREAM_BUFFER_CHUNKS);
        let headers = forwarded_headers(head.headers());
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
                Ok(Some(Ok(chunk))) => {
                    total_bytes += chunk.len() as u64;
                    if sender.send(Ok(chunk)).await.is_err() {
                        break Err("the entry went away");
                    }
                    self.control.do_send(RecordProgress {
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
            Outcome::Complete
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

/// Converts a client error into a failure. The request is safe to retry only if no connection was
/// made, which proves that no byte of it was written.
fn classify(error: &SendRequestError) -> Failure {
    if is_never_sent(error) {
        return Failure::not_run(Code::ConnectionLost, "can't connect to the backend server");
    }
    Failure::may_have_run(Code::ConnectionLost, format!("the backend server: {error}"))
}

/// Whether a header of the entry is meant for the agent, or is replaced by the agent.
fn is_own_header(name: &str) -> bool {
    name.starts_with(Headers::PREFIX) || name == "traceparent"
}

/// Headers of an answer that are passed on to the entry.
fn forwarded_headers(headers: &HeaderMap) -> Vec<(String, Vec<u8>)> {
    let forwarded = headers.iter().filter(|(name, _)| {
        !is_hop_header(name.as_str()) && !name.as_str().starts_with(Headers::PREFIX)
    });
    forwarded
        .map(|(name, value)| (name.to_string(), value.as_bytes().to_vec()))
        .collect()
}

fn content_length(headers: &HeaderMap) -> Option<u64> {
    headers.get(CONTENT_LENGTH)?.to_str().ok()?.parse().ok()
}
