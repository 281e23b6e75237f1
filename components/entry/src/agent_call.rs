//! One try of a request: the HTTP call to an agent and the recovery of its answer.

use crate::body::CallerBody;
use crate::caller::RequestOptions;
use crate::messages::FenceOutcome;
use crate::resolve::{self, Resolution};
use crate::traffic::TrafficState;
use actix_web::dev::Payload;
use awc::error::PayloadError;
use awc::http::Method;
use awc::http::header::{CONTENT_LENGTH, HeaderMap};
use awc::{Client, ClientRequest, ClientResponse};
use bytes::{Bytes, BytesMut};
use client::is_never_sent;
use errors::{Code, Failure, Verdict};
use futures::stream::LocalBoxStream;
use futures::{Stream, StreamExt};
use model::{RequestId, ServiceName};
use routing::{Class, Dispatch};
use std::pin::Pin;
use std::time::{Duration, Instant};
use utils::is_hop_header;
use wire::{BackendLoad, FenceAnswer, Headers, REQUEST_ID, SERVICE};

/// Maximum size of an answer that is buffered before the caller gets it, so that it can be fetched
/// again if the connection breaks.
const MAX_BUFFERED_ANSWER_BYTES: u64 = 64 << 10;
/// Time for an answer that the agent has finished sending to arrive.
const IN_TRANSIT_TIMEOUT: Duration = Duration::from_millis(150);
/// Maximum size of an agent's failure body.
const MAX_FAILURE_BYTES: usize = 16 << 10;

/// Body of an agent's answer as a stream.
pub(crate) type AnswerBody = LocalBoxStream<'static, Result<Bytes, PayloadError>>;

/// A call to an agent. Between tries only the id changes.
pub(crate) struct AgentCall<'a> {
    /// State of the traffic thread.
    pub traffic: &'a TrafficState,
    /// Id of the current try.
    pub id: RequestId,
    /// Service to call.
    pub service: &'a ServiceName,
    /// HTTP method of the caller.
    pub method: &'a Method,
    /// Path and query for the backend server.
    pub path: &'a str,
    /// Headers of the caller's request.
    pub headers: &'a HeaderMap,
    /// Options from the caller's headers.
    pub options: &'a RequestOptions,
    /// Body, sent with each try.
    pub body: &'a CallerBody,
    /// Time after which the caller no longer needs an answer; shared by all tries.
    pub deadline: Instant,
    /// Trace context for the agent; `None` if the request is not traced.
    pub traceparent: Option<String>,
}

/// Outcome of a call to an agent.
pub(crate) enum CallOutcome {
    /// A complete answer.
    Complete {
        status: u16,
        headers: Vec<(String, Vec<u8>)>,
        body: Bytes,
        load: Option<BackendLoad>,
        /// Whether it was fetched on another connection.
        recovered: bool,
    },
    /// The head of an answer that is too large to buffer, or of unknown length.
    Streaming {
        status: u16,
        headers: Vec<(String, Vec<u8>)>,
        length: Option<u64>,
        body: AnswerBody,
    },
    /// The agent refused the request or reported a failure.
    Failed {
        failure: Failure,
        load: Option<BackendLoad>,
    },
    /// No complete answer could be obtained.
    Lost(Failure),
}

/// Type-erased body stream.
pub(crate) type BoxedBody = Pin<Box<dyn Stream<Item = Result<Bytes, PayloadError>>>>;
/// An answer of an agent whose body has not been read.
pub(crate) type UnreadAnswer = ClientResponse<BoxedBody>;

impl AgentCall<'_> {
    /// Sends the request to an agent and waits for its answer. While none arrives, the agent is
    /// probed on its control connection, at intervals that double while the request runs. If the
    /// agent never saw the request, has finished it or is lost, the answer is recovered on another
    /// connection.
    pub async fn send(&self, dispatch: &Dispatch) -> CallOutcome {
        let client = self.traffic.client();
        let request = self.build_request(&client, dispatch);
        let sending = async {
            let sent = request.send_stream(self.body.stream()).await;
            sent.map(|head| head.map_body(|_, body| stream_payload(body)))
        };
        let mut sending = Box::pin(sending);
        let mut has_seen_finished = false;
        let mut probe_after = self.traffic.probe;
        loop {
            let left = self.deadline.saturating_duration_since(Instant::now());
            let pause = probe_after.min(left);
            match tokio::time::timeout(pause, &mut sending).await {
                Ok(Ok(head)) => return self.read_answer(head, dispatch).await,
                Ok(Err(error)) if is_never_sent(&error) => {
                    let failure =
                        Failure::not_run(Code::ConnectionLost, "can't connect to the agent");
                    return CallOutcome::Lost(failure);
                }
                Ok(Err(_)) => return self.recover(dispatch).await,
                Err(_) => {}
            }
            let is_expired = Instant::now() >= self.deadline;
            let fence = resolve::query_agent(self.traffic, dispatch, self.id, true).await;
            match fence {
                FenceOutcome::Known(FenceAnswer::Running { .. }) | FenceOutcome::NoAnswer
                    if !is_expired =>
                {
                    probe_after = (probe_after * 2).min(resolve::MAX_PROBE_INTERVAL);
                }
                FenceOutcome::Known(FenceAnswer::Finished { .. })
                    if !has_seen_finished && !is_expired =>
                {
                    has_seen_finished = true;
                    probe_after = IN_TRANSIT_TIMEOUT;
                }
                _ if is_expired => return self.on_deadline(fence, dispatch).await,
                _ => {
                    drop(sending);
                    return self.recover(dispatch).await;
                }
            }
        }
    }

    /// Decides the outcome when the deadline passes, by the agent's last report.
    async fn on_deadline(&self, fence: FenceOutcome, dispatch: &Dispatch) -> CallOutcome {
        match fence {
            FenceOutcome::Known(FenceAnswer::NeverSeen) => CallOutcome::Lost(Failure::not_run(
                Code::DeadlineExceeded,
                "the request never reached its agent",
            )),
            FenceOutcome::Known(FenceAnswer::Finished { kept: true }) => {
                self.recover(dispatch).await
            }
            _ => CallOutcome::Lost(Failure::may_have_run(
                Code::DeadlineExceeded,
                "no answer before the deadline",
            )),
        }
    }

    /// Determines on new connections whether the request ran, and fetches its answer.
    async fn recover(&self, dispatch: &Dispatch) -> CallOutcome {
        self.traffic.renew_client();
        match resolve::resolve(self.traffic, dispatch, self.id, self.deadline).await {
            Resolution::NeverRan => CallOutcome::Lost(Failure::not_run(
                Code::ConnectionLost,
                "the request never reached its agent",
            )),
            Resolution::Answer(head) => match self.read_answer(head, dispatch).await {
                CallOutcome::Complete {
                    status,
                    headers,
                    body,
                    load,
                    ..
                } => CallOutcome::Complete {
                    status,
                    headers,
                    body,
                    load,
                    recovered: true,
                },
                other => other,
            },
            Resolution::Uncertain(failure) => CallOutcome::Lost(failure),
        }
    }

    /// Builds the HTTP request. Hop-by-hop headers and the caller's own copies of parsleythread's
    /// headers are left out.
    fn build_request(&self, client: &Client, dispatch: &Dispatch) -> ClientRequest {
        let left = self.deadline.saturating_duration_since(Instant::now());
        let address = format!("http://{}{}", dispatch.traffic, self.path);
        let mut request = client.request(self.method.clone(), address).no_decompress();
        for (name, value) in self.headers {
            let is_own = name.as_str().starts_with(Headers::PREFIX) || name == "traceparent";
            if !is_hop_header(name.as_str()) && !is_own {
                request = request.append_header((name.clone(), value.clone()));
            }
        }
        if let Some(length) = self.body.length() {
            request = request.insert_header((CONTENT_LENGTH, length));
        }
        if let Some(traceparent) = &self.traceparent {
            request = request.insert_header(("traceparent", traceparent.as_str()));
        }
        let class = if dispatch.class == Class::Long {
            "long"
        } else {
            "short"
        };
        let keep = if self.options.idempotent { "0" } else { "1" };
        request
            .insert_header((REQUEST_ID, self.id.to_string()))
            .insert_header((SERVICE, self.service.as_str()))
            .insert_header((Headers::DEADLINE_MS, left.as_millis().to_string()))
            .insert_header((Headers::INCARNATION, dispatch.incarnation))
            .insert_header((Headers::CLASS, class))
            .insert_header((Headers::KEEP, keep))
    }

    /// Reads an answer: complete if it is small, otherwise only its head.
    async fn read_answer(&self, mut head: UnreadAnswer, dispatch: &Dispatch) -> CallOutcome {
        let load = backend_load_of(head.headers());
        if head.headers().contains_key(Headers::AGENT_CODE) {
            let body = head
                .body()
                .limit(MAX_FAILURE_BYTES)
                .await
                .unwrap_or_default();
            let unreadable =
                || Failure::may_have_run(Code::BadAnswer, "the agent's refusal was cut");
            let failure = serde_json::from_slice(&body).unwrap_or_else(|_| unreadable());
            return CallOutcome::Failed { failure, load };
        }
        let status = head.status().as_u16();
        let headers = forwarded_headers(head.headers());
        let length = content_length_of(head.headers());
        let is_buffered = *self.method == Method::HEAD
            || length.is_some_and(|length| length <= MAX_BUFFERED_ANSWER_BYTES);
        if !is_buffered {
            return CallOutcome::Streaming {
                status,
                headers,
                length,
                body: boxed(head),
            };
        }
        let expected = if *self.method == Method::HEAD {
            0
        } else {
            length.unwrap_or(0)
        };
        match read_exact(&mut head, expected, self.traffic.probe).await {
            Some(body) => CallOutcome::Complete {
                status,
                headers,
                body,
                load,
                recovered: false,
            },
            None => self.refetch(dispatch).await,
        }
    }

    /// Fetches a small answer again after the connection broke while it was read.
    async fn refetch(&self, dispatch: &Dispatch) -> CallOutcome {
        self.traffic.renew_client();
        let incomplete = Failure::new(
            Verdict::Ran,
            Code::ConnectionLost,
            "the answer was cut on its way",
        );
        let Resolution::Answer(mut head) =
            resolve::resolve(self.traffic, dispatch, self.id, self.deadline).await
        else {
            return CallOutcome::Lost(incomplete);
        };
        let (status, headers) = (head.status().as_u16(), forwarded_headers(head.headers()));
        let expected = content_length_of(head.headers()).unwrap_or(0);
        match read_exact(&mut head, expected, self.traffic.probe).await {
            Some(body) => CallOutcome::Complete {
                status,
                headers,
                body,
                load: None,
                recovered: true,
            },
            None => CallOutcome::Lost(incomplete),
        }
    }
}

fn boxed<S>(body: S) -> BoxedBody
where
    S: Stream<Item = Result<Bytes, PayloadError>> + 'static,
{
    Box::pin(body)
}

/// Wraps a body in a payload with a type-erased stream.
pub(crate) fn stream_payload<S>(body: S) -> Payload<BoxedBody>
where
    S: Stream<Item = Result<Bytes, PayloadError>> + 'static,
{
    Payload::Stream {
        payload: boxed(body),
    }
}

/// Reads a body of the expected length; `None` if it ends early, breaks or stalls for `idle`.
async fn read_exact(head: &mut UnreadAnswer, expected: u64, idle: Duration) -> Option<Bytes> {
    let mut body = BytesMut::new();
    loop {
        match tokio::time::timeout(idle, head.next()).await {
            Ok(Some(Ok(piece))) => body.extend_from_slice(&piece),
            Ok(None) => return (body.len() as u64 == expected).then(|| body.freeze()),
            Ok(Some(Err(_))) | Err(_) => return None,
        }
    }
}

/// Headers of an answer that are forwarded to the caller.
pub(crate) fn forwarded_headers(headers: &HeaderMap) -> Vec<(String, Vec<u8>)> {
    let passed = headers.iter().filter(|(name, _)| {
        !is_hop_header(name.as_str()) && !name.as_str().starts_with(Headers::PREFIX)
    });
    passed
        .map(|(name, value)| (name.to_string(), value.as_bytes().to_vec()))
        .collect()
}

fn numeric_header(headers: &HeaderMap, name: &str) -> Option<u64> {
    headers.get(name)?.to_str().ok()?.parse().ok()
}

fn content_length_of(headers: &HeaderMap) -> Option<u64> {
    numeric_header(headers, CONTENT_LENGTH.as_str())
}

/// Free slots that the agent reports in an answer's headers; `None` if either is missing.
fn backend_load_of(headers: &HeaderMap) -> Option<BackendLoad> {
    let free = numeric_header(headers, Headers::FREE)? as u32;
    let free_long = numeric_header(headers, Headers::FREE_LONG)? as u32;
    Some(BackendLoad { free, free_long })
}
