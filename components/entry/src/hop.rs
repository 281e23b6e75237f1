//! One try of a request: the hop to an agent.

use crate::body::CallerBody;
use crate::caller::Wishes;
use crate::messages::FenceOutcome;
use crate::resolve::{self, Resolution};
use crate::traffic::Traffic;
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

/// Largest answer that is read whole before the caller gets it, so that a cut can be mended.
const WHOLE_ANSWER_BYTES: u64 = 64 << 10;
/// Time for an answer that has left the agent to come in.
const ON_ITS_WAY: Duration = Duration::from_millis(150);
/// Largest failure body of an agent, in bytes.
const MAX_FAILURE_BYTES: usize = 16 << 10;

/// Pieces of an answer from an agent.
pub(crate) type Pieces = LocalBoxStream<'static, Result<Bytes, PayloadError>>;

/// What is the same in all tries of a request.
pub(crate) struct Hop<'a> {
    /// What the traffic thread has.
    pub traffic: &'a Traffic,
    /// Number of the request.
    pub id: RequestId,
    /// The service.
    pub service: &'a ServiceName,
    /// HTTP method.
    pub method: &'a Method,
    /// Path and query.
    pub path: &'a str,
    /// HTTP headers.
    pub headers: &'a HeaderMap,
    /// What the caller asks for.
    pub wishes: &'a Wishes,
    /// The body.
    pub body: &'a CallerBody,
    /// When an answer is of no use any more.
    pub deadline: Instant,
    /// Trace context for the next hop.
    pub traceparent: Option<String>,
}

/// How a try ended.
pub(crate) enum HopEnd {
    /// A whole answer.
    Whole {
        status: u16,
        headers: Vec<(String, Vec<u8>)>,
        body: Bytes,
        load: Option<BackendLoad>,
        /// Whether it was fetched on a second connection.
        recovered: bool,
    },
    /// The head of a large answer.
    Stream {
        status: u16,
        headers: Vec<(String, Vec<u8>)>,
        length: Option<u64>,
        pieces: Pieces,
    },
    /// The agent refused or failed it.
    Failed {
        failure: Failure,
        load: Option<BackendLoad>,
    },
    /// Nothing or only part of an answer came.
    Lost(Failure),
}

/// Pieces of a body, whatever their source is.
pub(crate) type BoxedPieces = Pin<Box<dyn Stream<Item = Result<Bytes, PayloadError>>>>;
/// An answer of an agent whose body was not read yet.
pub(crate) type Head = ClientResponse<BoxedPieces>;

impl Hop<'_> {
    /// Sends the request to an agent and waits for its answer.
    pub async fn send(&self, dispatch: &Dispatch) -> HopEnd {
        let client = self.traffic.client();
        let request = self.build(&client, dispatch);
        let sending = async {
            let sent = request.send_stream(self.body.stream()).await;
            sent.map(|head| head.map_body(|_, body| stream_payload(body)))
        };
        let mut sending = Box::pin(sending);
        let mut finished_seen = false;
        let mut patience = self.traffic.probe;
        loop {
            let left = self.deadline.saturating_duration_since(Instant::now());
            let pause = patience.min(left);
            match tokio::time::timeout(pause, &mut sending).await {
                Ok(Ok(head)) => return self.take_answer(head, dispatch).await,
                Ok(Err(error)) if is_never_sent(&error) => {
                    let failure =
                        Failure::not_run(Code::ConnectionLost, "can't connect to the agent");
                    return HopEnd::Lost(failure);
                }
                Ok(Err(_)) => return self.recover(dispatch).await,
                Err(_) => {}
            }
            let is_over = Instant::now() >= self.deadline;
            let fence = resolve::ask(self.traffic, dispatch, self.id, true).await;
            match fence {
                FenceOutcome::Known(FenceAnswer::Running { .. }) | FenceOutcome::NoAnswer
                    if !is_over =>
                {
                    patience = (patience * 2).min(resolve::MAX_PATIENCE);
                }
                FenceOutcome::Known(FenceAnswer::Finished { .. }) if !finished_seen && !is_over => {
                    finished_seen = true;
                    patience = ON_ITS_WAY;
                }
                _ if is_over => return self.at_deadline(fence, dispatch).await,
                _ => {
                    drop(sending);
                    return self.recover(dispatch).await;
                }
            }
        }
    }

    async fn at_deadline(&self, fence: FenceOutcome, dispatch: &Dispatch) -> HopEnd {
        match fence {
            FenceOutcome::Known(FenceAnswer::NeverSeen) => HopEnd::Lost(Failure::not_run(
                Code::DeadlineExceeded,
                "the request never reached its agent",
            )),
            FenceOutcome::Known(FenceAnswer::Finished { kept: true }) => {
                self.recover(dispatch).await
            }
            _ => HopEnd::Lost(Failure::may_have_run(
                Code::DeadlineExceeded,
                "no answer before the deadline",
            )),
        }
    }

    /// Finds out, on new connections, what became of the request, and fetches its answer.
    async fn recover(&self, dispatch: &Dispatch) -> HopEnd {
        self.traffic.renew_client();
        match resolve::resolve(self.traffic, dispatch, self.id, self.deadline).await {
            Resolution::NeverRan => HopEnd::Lost(Failure::not_run(
                Code::ConnectionLost,
                "the request never reached its agent",
            )),
            Resolution::Answer(head) => match self.take_answer(head, dispatch).await {
                HopEnd::Whole {
                    status,
                    headers,
                    body,
                    load,
                    ..
                } => HopEnd::Whole {
                    status,
                    headers,
                    body,
                    load,
                    recovered: true,
                },
                other => other,
            },
            Resolution::Uncertain(failure) => HopEnd::Lost(failure),
        }
    }

    fn build(&self, client: &Client, dispatch: &Dispatch) -> ClientRequest {
        let left = self.deadline.saturating_duration_since(Instant::now());
        let address = format!("http://{}{}", dispatch.traffic, self.path);
        let mut request = client.request(self.method.clone(), address).no_decompress();
        for (name, value) in self.headers {
            let own = name.as_str().starts_with(Headers::PREFIX) || name == "traceparent";
            if !is_hop_header(name.as_str()) && !own {
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
        let keep = if self.wishes.idempotent { "0" } else { "1" };
        request
            .insert_header((REQUEST_ID, self.id.to_string()))
            .insert_header((SERVICE, self.service.as_str()))
            .insert_header((Headers::DEADLINE_MS, left.as_millis().to_string()))
            .insert_header((Headers::INCARNATION, dispatch.incarnation))
            .insert_header((Headers::CLASS, class))
            .insert_header((Headers::KEEP, keep))
    }

    async fn take_answer(&self, mut head: Head, dispatch: &Dispatch) -> HopEnd {
        let load = load_of(head.headers());
        if head.headers().contains_key(Headers::AGENT_CODE) {
            let body = head
                .body()
                .limit(MAX_FAILURE_BYTES)
                .await
                .unwrap_or_default();
            let unreadable =
                || Failure::may_have_run(Code::BadAnswer, "the agent's refusal was cut");
            let failure = serde_json::from_slice(&body).unwrap_or_else(|_| unreadable());
            return HopEnd::Failed { failure, load };
        }
        let status = head.status().as_u16();
        let headers = passed_headers(head.headers());
        let length = length_of(head.headers());
        let is_whole = *self.method == Method::HEAD
            || length.is_some_and(|length| length <= WHOLE_ANSWER_BYTES);
        if !is_whole {
            return HopEnd::Stream {
                status,
                headers,
                length,
                pieces: boxed(head),
            };
        }
        let expected = if *self.method == Method::HEAD {
            0
        } else {
            length.unwrap_or(0)
        };
        match read_whole(&mut head, expected, self.traffic.probe).await {
            Some(body) => HopEnd::Whole {
                status,
                headers,
                body,
                load,
                recovered: false,
            },
            None => self.refetch(dispatch).await,
        }
    }

    /// Fetches a small answer again that was cut on its way.
    async fn refetch(&self, dispatch: &Dispatch) -> HopEnd {
        self.traffic.renew_client();
        let cut = Failure::new(
            Verdict::Ran,
            Code::ConnectionLost,
            "the answer was cut on its way",
        );
        let Resolution::Answer(mut head) =
            resolve::resolve(self.traffic, dispatch, self.id, self.deadline).await
        else {
            return HopEnd::Lost(cut);
        };
        let (status, headers) = (head.status().as_u16(), passed_headers(head.headers()));
        let expected = length_of(head.headers()).unwrap_or(0);
        match read_whole(&mut head, expected, self.traffic.probe).await {
            Some(body) => HopEnd::Whole {
                status,
                headers,
                body,
                load: None,
                recovered: true,
            },
            None => HopEnd::Lost(cut),
        }
    }
}

fn boxed<S>(body: S) -> BoxedPieces
where
    S: Stream<Item = Result<Bytes, PayloadError>> + 'static,
{
    Box::pin(body)
}

/// A payload of one type, whatever the body is.
pub(crate) fn stream_payload<S>(body: S) -> Payload<BoxedPieces>
where
    S: Stream<Item = Result<Bytes, PayloadError>> + 'static,
{
    Payload::Stream {
        payload: boxed(body),
    }
}

async fn read_whole(head: &mut Head, expected: u64, idle: Duration) -> Option<Bytes> {
    let mut body = BytesMut::new();
    loop {
        match tokio::time::timeout(idle, head.next()).await {
            Ok(Some(Ok(piece))) => body.extend_from_slice(&piece),
            Ok(None) => return (body.len() as u64 == expected).then(|| body.freeze()),
            Ok(Some(Err(_))) | Err(_) => return None,
        }
    }
}

/// Headers of an answer that go to the caller.
pub(crate) fn passed_headers(headers: &HeaderMap) -> Vec<(String, Vec<u8>)> {
    let passed = headers.iter().filter(|(name, _)| {
        !is_hop_header(name.as_str()) && !name.as_str().starts_with(Headers::PREFIX)
    });
    passed
        .map(|(name, value)| (name.to_string(), value.as_bytes().to_vec()))
        .collect()
}

fn number(headers: &HeaderMap, name: &str) -> Option<u64> {
    headers.get(name)?.to_str().ok()?.parse().ok()
}

fn length_of(headers: &HeaderMap) -> Option<u64> {
    number(headers, CONTENT_LENGTH.as_str())
}

fn load_of(headers: &HeaderMap) -> Option<BackendLoad> {
    let free = number(headers, Headers::FREE)? as u32;
    let free_long = number(headers, Headers::FREE_LONG)? as u32;
    Some(BackendLoad { free, free_long })
}
