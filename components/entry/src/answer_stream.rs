//! Streaming of large or endless answers to the caller, with liveness checks.

use crate::agent_call::AnswerBody;
use crate::messages::{FenceOutcome, TryEnded};
use crate::resolve;
use crate::traffic::TrafficState;
use bytes::Bytes;
use futures::StreamExt;
use futures::stream::{self, LocalBoxStream};
use model::{RequestId, ServiceName};
use routing::{Dispatch, Route, TargetOutcome};
use std::time::{Duration, Instant};
use telemetry::{Event, log_event};
use wire::FenceAnswer;

/// Consecutive probes that must find the connection stalled before the answer is cut. A probe finds
/// it stalled if the agent has sent more bytes than have arrived here.
const STALLED_PROBES: u32 = 2;

/// An answer that is passed to the caller piece by piece. Its end is reported to the control
/// thread exactly once, also when the caller disconnects.
pub(crate) struct AnswerStream {
    /// State of the traffic thread.
    pub traffic: TrafficState,
    /// Agent to which the try was sent.
    pub dispatch: Dispatch,
    /// Id of the try.
    pub id: RequestId,
    /// Service that answers.
    pub service: ServiceName,
    /// Route under which the run time is recorded.
    pub route: Route,
    /// Time at which the try was sent.
    pub started: Instant,
    /// Body of the answer as it arrives from the agent.
    pub body: AnswerBody,
    /// Announced length in bytes; `None` for a chunked answer.
    pub length: Option<u64>,
    /// Maximum time without a piece, from the service's `idle_timeout_ms`.
    pub idle_timeout: Duration,
    /// Bytes received so far.
    received_bytes: u64,
    /// Whether the end was reported to the control thread.
    is_end_reported: bool,
}

/// Error that ends an incomplete answer, with the reason.
#[derive(Debug, thiserror::Error)]
#[error("the answer was cut: {0}")]
pub(crate) struct IncompleteAnswer(&'static str);

impl AnswerStream {
    #[allow(clippy::too_many_arguments)]
    pub fn new(
        traffic: TrafficState,
        dispatch: Dispatch,
        id: RequestId,
        service: ServiceName,
        route: Route,
        started: Instant,
        body: AnswerBody,
        length: Option<u64>,
        idle_timeout: Duration,
    ) -> Self {
        Self {
            traffic,
            dispatch,
            id,
            service,
            route,
            started,
            body,
            length,
            idle_timeout,
            received_bytes: 0,
            is_end_reported: false,
        }
    }

    /// Converts into a body stream. An incomplete answer ends it with an error, so that the caller
    /// sees a broken connection instead of a shorter answer.
    pub fn into_body(self) -> LocalBoxStream<'static, Result<Bytes, IncompleteAnswer>> {
        stream::unfold(self, |mut answer| async move {
            if answer.is_end_reported {
                return None;
            }
            let next = answer.next().await;
            match &next {
                Some(Ok(_)) => {}
                Some(Err(error)) => answer.end_incomplete(error),
                None => answer.end(TargetOutcome::Succeeded, false),
            }
            next.map(|piece| (piece, answer))
        })
        .boxed_local()
    }

    /// Waits for the next piece. Each time none arrives, the agent is asked whether the connection
    /// is stalled; while it is not, the time to the next probe doubles.
    async fn next(&mut self) -> Option<Result<Bytes, IncompleteAnswer>> {
        let mut stalled_probes = 0;
        let silent_since = Instant::now();
        let mut probe_after = self.traffic.probe;
        loop {
            match tokio::time::timeout(probe_after, self.body.next()).await {
                Ok(Some(Ok(piece))) => {
                    self.received_bytes += piece.len() as u64;
                    return Some(Ok(piece));
                }
                Ok(None)
                    if self
                        .length
                        .is_none_or(|length| length == self.received_bytes) =>
                {
                    return None;
                }
                Ok(None) => return Some(Err(IncompleteAnswer("it is shorter than announced"))),
                Ok(Some(Err(_))) => return Some(Err(IncompleteAnswer("the connection broke"))),
                Err(_) => {}
            }
            if silent_since.elapsed() >= self.idle_timeout {
                return Some(Err(IncompleteAnswer("it went silent")));
            }
            if self.is_connection_stalled().await {
                stalled_probes += 1;
                probe_after = self.traffic.probe;
            } else {
                stalled_probes = 0;
                probe_after = (probe_after * 2).min(resolve::MAX_PROBE_INTERVAL);
            }
            if stalled_probes >= STALLED_PROBES {
                return Some(Err(IncompleteAnswer(
                    "the connection to the agent went silent",
                )));
            }
        }
    }

    /// Asks the agent whether it has sent more bytes than have arrived here.
    async fn is_connection_stalled(&self) -> bool {
        match resolve::query_agent(&self.traffic, &self.dispatch, self.id, false).await {
            FenceOutcome::Known(FenceAnswer::Running { sent_bytes }) => {
                sent_bytes > self.received_bytes
            }
            FenceOutcome::NoAnswer => false,
            FenceOutcome::Known(_) | FenceOutcome::AgentLost => true,
        }
    }

    fn end_incomplete(&mut self, error: &IncompleteAnswer) {
        log_event!(warn, Event::AnswerCut, request = %self.id, reason = %error);
        self.traffic.metrics.answers_cut.inc();
        self.traffic.renew_client();
        self.end(TargetOutcome::Failed, true);
    }

    fn end(&mut self, outcome: TargetOutcome, uncertain: bool) {
        self.is_end_reported = true;
        let run_ms = self.started.elapsed().as_millis() as u64;
        let is_complete = outcome == TargetOutcome::Succeeded;
        if is_complete {
            self.traffic.metrics.answers_whole.inc();
        }
        self.traffic.control.do_send(TryEnded {
            id: self.id,
            service: self.service.clone(),
            agent: self.dispatch.agent.clone(),
            outcome,
            load: None,
            completed: is_complete.then_some((self.route, run_ms)),
            uncertain,
        });
    }
}

impl Drop for AnswerStream {
    fn drop(&mut self) {
        if !self.is_end_reported {
            self.end(TargetOutcome::Neutral, false);
        }
    }
}
