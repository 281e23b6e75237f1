//! Requests with an idempotency key: at most one run per key, whose answer is replayed to repeats.

use crate::answer;
use crate::exchange::Exchange;
use crate::messages::{ClaimKey, ClaimRefusal, HolderState, KeyedRequestEnded, ReleaseKey};
use crate::resolve::{self, Resolution};
use crate::traffic::TrafficState;
use actix_web::HttpResponse;
use errors::{Code, Failure};
use model::RequestId;
use routing::{Class, Dispatch};
use std::time::{Duration, Instant};
use telemetry::{Event, log_event};

impl Exchange<'_> {
    /// Claims the key and runs the request. If an earlier request holds the key, its answer is
    /// returned instead. The claim is released only if the request did not run.
    pub async fn run_once(&self, key: &str) -> Result<HttpResponse, Failure> {
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
                return self.replay_answer(holder, state).await;
            }
            Ok(Err(ClaimRefusal::Unavailable)) | Err(_) => {
                let message = "the key can't be claimed now";
                return Err(Failure::not_run(Code::NoBackend, message).retry_after(1_000));
            }
        }
        let _guard = KeyedRequestGuard {
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

    /// Fetches the answer to the request that holds the key; fails with `may-have-run` if it can't
    /// be obtained.
    async fn replay_answer(
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
        let deadline = Instant::now() + Duration::from_millis(self.options.deadline_ms);
        let found = resolve::await_answer(self.traffic, &dispatch, state.sent_as, deadline).await;
        let Resolution::Answer(mut head) = found else {
            return Err(unknown());
        };
        let mut response = answer::head(
            head.status().as_u16(),
            &crate::agent_call::forwarded_headers(head.headers()),
            holder,
        );
        let body = head.body().await.map_err(|_| unknown())?;
        Ok(response.body(body))
    }
}

/// Marks a keyed request as ended when its handler returns or is dropped.
struct KeyedRequestGuard<'a> {
    /// State of the traffic thread.
    traffic: &'a TrafficState,
    /// Id of the request.
    id: RequestId,
}

impl Drop for KeyedRequestGuard<'_> {
    fn drop(&mut self) {
        self.traffic.control.do_send(KeyedRequestEnded(self.id));
    }
}
