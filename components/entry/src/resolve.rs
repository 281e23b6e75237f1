//! Determines the outcome of a request whose connection broke or went silent.

use crate::agent_call::{UnreadAnswer, stream_payload};
use crate::messages::{FenceOutcome, QueryFence};
use crate::traffic::{TrafficState, new_client};
use errors::{Code, Failure};
use model::RequestId;
use routing::Dispatch;
use std::net::SocketAddr;
use std::time::{Duration, Instant};
use wire::{FenceAnswer, FenceRequest};

/// Interval of queries about a request whose outcome is awaited.
const POLL_INTERVAL: Duration = Duration::from_millis(50);
/// Maximum interval between two probes of a long-running request.
pub(crate) const MAX_PROBE_INTERVAL: Duration = Duration::from_secs(8);
/// Timeout for fetching a cached answer.
const FETCH_TIMEOUT: Duration = Duration::from_millis(2_000);

/// Outcome of a request as its agent reports it.
pub(crate) enum Resolution {
    /// It did not run and never will.
    NeverRan,
    /// It ran; the agent has cached its answer.
    Answer(UnreadAnswer),
    /// It may have run, but its answer can't be obtained.
    Uncertain(Failure),
}

/// Queries the agent once on its control connection. With `fence_off` the agent fences the request
/// off if it has not seen it.
pub(crate) async fn query_agent(
    traffic: &TrafficState,
    dispatch: &Dispatch,
    id: RequestId,
    fence_off: bool,
) -> FenceOutcome {
    let request = FenceRequest {
        id,
        incarnation: dispatch.incarnation,
        fence_off,
    };
    let query = QueryFence {
        agent: dispatch.agent.clone(),
        control: dispatch.control,
        request,
    };
    traffic
        .control
        .send(query)
        .await
        .unwrap_or(FenceOutcome::AgentLost)
}

/// Fences the request off if it has not started; otherwise waits for its end and fetches its
/// answer.
pub(crate) async fn resolve(
    traffic: &TrafficState,
    dispatch: &Dispatch,
    id: RequestId,
    deadline: Instant,
) -> Resolution {
    await_end(traffic, dispatch, id, deadline, true).await
}

/// Waits for the end of a request that another handler is responsible for, and fetches its answer.
pub(crate) async fn await_answer(
    traffic: &TrafficState,
    dispatch: &Dispatch,
    id: RequestId,
    deadline: Instant,
) -> Resolution {
    await_end(traffic, dispatch, id, deadline, false).await
}

async fn await_end(
    traffic: &TrafficState,
    dispatch: &Dispatch,
    id: RequestId,
    deadline: Instant,
    fence_off: bool,
) -> Resolution {
    loop {
        let lost = |message: &str| {
            Resolution::Uncertain(Failure::may_have_run(Code::ConnectionLost, message))
        };
        match query_agent(traffic, dispatch, id, fence_off).await {
            FenceOutcome::Known(FenceAnswer::NeverSeen) => return Resolution::NeverRan,
            FenceOutcome::Known(FenceAnswer::Finished { kept: true }) => {
                return match fetch_cached_answer(dispatch.traffic, id).await {
                    Some(head) => Resolution::Answer(head),
                    None => lost("the answer could not be fetched"),
                };
            }
            FenceOutcome::Known(FenceAnswer::Finished { kept: false }) => {
                return lost("the answer was lost on its way");
            }
            FenceOutcome::Known(FenceAnswer::Uncertain) => {
                return lost("the backend server broke off");
            }
            FenceOutcome::Known(FenceAnswer::OtherIncarnation) => {
                return lost("the agent restarted");
            }
            FenceOutcome::AgentLost => return lost("the agent is gone"),
            FenceOutcome::Known(FenceAnswer::Running { .. }) | FenceOutcome::NoAnswer => {}
        }
        if Instant::now() >= deadline {
            let message = "no answer before the deadline";
            return Resolution::Uncertain(Failure::may_have_run(Code::DeadlineExceeded, message));
        }
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}

/// Fetches a cached answer from an agent on a new connection; `None` if it is not available.
pub(crate) async fn fetch_cached_answer(agent: SocketAddr, id: RequestId) -> Option<UnreadAnswer> {
    let address = format!("http://{agent}/.parsleythread/replay/{id}");
    let sent = new_client()
        .get(address)
        .no_decompress()
        .timeout(FETCH_TIMEOUT)
        .send()
        .await;
    let head = sent.ok()?.map_body(|_, body| stream_payload(body));
    let is_missing = head.headers().contains_key(wire::Headers::AGENT_CODE);
    (!is_missing).then_some(head)
}
