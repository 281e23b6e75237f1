//! A large or endless answer on its way to the caller, with its liveness watched.

use crate::hop::Pieces;
use crate::messages::{Ended, FenceOutcome};
use crate::resolve;
use crate::traffic::Traffic;
use bytes::Bytes;
use futures::StreamExt;
use futures::stream::{self, LocalBoxStream};
use model::{RequestId, ServiceName};
use routing::{Dispatch, Route, TargetOutcome};
use std::time::{Duration, Instant};
use telemetry::{Event, log_event};
use wire::FenceAnswer;

/// Probes in a row that must find the connection silent before the answer is cut.
const SILENT_PROBES: u32 = 2;

/// A large or endless answer on its way to the caller.
pub(crate) struct AnswerStream {
    /// What the traffic thread has.
    pub traffic: Traffic,
    /// Where the try was sent.
    pub dispatch: Dispatch,
    /// Number of the request.
    pub id: RequestId,
    /// The service.
    pub service: ServiceName,
    /// Route, by which run times are learnt.
    pub route: Route,
    /// When it was sent.
    pub started: Instant,
    /// Pieces of the answer.
    pub pieces: Pieces,
    /// Length, if known.
    pub length: Option<u64>,
    /// Longest silence.
    pub idle_limit: Duration,
    /// Bytes that came so far.
    received_bytes: u64,
    /// Whether the end was told.
    ended: bool,
}

/// Why an answer ends early.
#[derive(Debug, thiserror::Error)]
#[error("the answer was cut: {0}")]
pub(crate) struct Cut(&'static str);

impl AnswerStream {
    #[allow(clippy::too_many_arguments)]
    pub fn new(
        traffic: Traffic,
        dispatch: Dispatch,
        id: RequestId,
        service: ServiceName,
        route: Route,
        started: Instant,
        pieces: Pieces,
        length: Option<u64>,
        idle_limit: Duration,
    ) -> Self {
        Self {
            traffic,
            dispatch,
            id,
            service,
            route,
            started,
            pieces,
            length,
            idle_limit,
            received_bytes: 0,
            ended: false,
        }
    }

    /// The pieces for the caller; an error at the end shows the cut to the caller.
    pub fn into_pieces(self) -> LocalBoxStream<'static, Result<Bytes, Cut>> {
        stream::unfold(self, |mut answer| async move {
            if answer.ended {
                return None;
            }
            let next = answer.next().await;
            match &next {
                Some(Ok(_)) => {}
                Some(Err(cut)) => answer.end_cut(cut),
                None => answer.end(TargetOutcome::Succeeded, false),
            }
            next.map(|piece| (piece, answer))
        })
        .boxed_local()
    }

    async fn next(&mut self) -> Option<Result<Bytes, Cut>> {
        let mut silent_probes = 0;
        let silent_since = Instant::now();
        let mut patience = self.traffic.probe;
        loop {
            match tokio::time::timeout(patience, self.pieces.next()).await {
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
                Ok(None) => return Some(Err(Cut("it is shorter than announced"))),
                Ok(Some(Err(_))) => return Some(Err(Cut("the connection broke"))),
                Err(_) => {}
            }
            if silent_since.elapsed() >= self.idle_limit {
                return Some(Err(Cut("it went silent")));
            }
            if self.is_connection_silent().await {
                silent_probes += 1;
                patience = self.traffic.probe;
            } else {
                silent_probes = 0;
                patience = (patience * 2).min(resolve::MAX_PATIENCE);
            }
            if silent_probes >= SILENT_PROBES {
                return Some(Err(Cut("the connection to the agent went silent")));
            }
        }
    }

    /// Whether the agent says that it has passed more on than has come here.
    async fn is_connection_silent(&self) -> bool {
        match resolve::ask(&self.traffic, &self.dispatch, self.id, false).await {
            FenceOutcome::Known(FenceAnswer::Running { sent_bytes }) => {
                sent_bytes > self.received_bytes
            }
            FenceOutcome::NoAnswer => false,
            FenceOutcome::Known(_) | FenceOutcome::Gone => true,
        }
    }

    fn end_cut(&mut self, cut: &Cut) {
        log_event!(warn, Event::AnswerCut, request = %self.id, reason = %cut);
        self.traffic.metrics.cut.inc();
        self.traffic.renew_client();
        self.end(TargetOutcome::Failed, true);
    }

    fn end(&mut self, outcome: TargetOutcome, uncertain: bool) {
        self.ended = true;
        let run_ms = self.started.elapsed().as_millis() as u64;
        let whole = outcome == TargetOutcome::Succeeded;
        if whole {
            self.traffic.metrics.whole.inc();
        }
        self.traffic.control.do_send(Ended {
            id: self.id,
            service: self.service.clone(),
            agent: self.dispatch.agent.clone(),
            outcome,
            load: None,
            ran: whole.then_some((self.route, run_ms)),
            uncertain,
        });
    }
}

impl Drop for AnswerStream {
    fn drop(&mut self) {
        if !self.ended {
            self.end(TargetOutcome::Neutral, false);
        }
    }
}
