//! Finds out what became of a request whose connection broke or went silent.

use crate::hop::{Head, stream_payload};
use crate::messages::{AskFence, FenceOutcome};
use crate::traffic::{Traffic, new_client};
use errors::{Code, Failure};
use model::RequestId;
use routing::Dispatch;
use std::net::SocketAddr;
use std::time::{Duration, Instant};
use wire::{FenceAnswer, FenceRequest};

/// Time between two questions about a request that still runs.
const ASK_EVERY: Duration = Duration::from_millis(50);
/// Longest time between two questions about a request that goes on and on.
pub(crate) const MAX_PATIENCE: Duration = Duration::from_secs(8);
/// Time for fetching a kept answer.
const FETCH_TIMEOUT: Duration = Duration::from_millis(2_000);

/// What became of a request.
pub(crate) enum Resolution {
    /// It never ran and never will.
    NeverRan,
    /// It ran, and this is its answer.
    Answer(Head),
    /// It may have run.
    Uncertain(Failure),
}

/// Asks the agent once, on its control connection.
pub(crate) async fn ask(
    traffic: &Traffic,
    dispatch: &Dispatch,
    id: RequestId,
    bar: bool,
) -> FenceOutcome {
    let request = FenceRequest {
        id,
        incarnation: dispatch.incarnation,
        bar,
    };
    let question = AskFence {
        agent: dispatch.agent.clone(),
        control: dispatch.control,
        request,
    };
    traffic
        .control
        .send(question)
        .await
        .unwrap_or(FenceOutcome::Gone)
}

/// Bars the request if it has not begun; otherwise waits for its end and fetches its answer.
pub(crate) async fn resolve(
    traffic: &Traffic,
    dispatch: &Dispatch,
    id: RequestId,
    deadline: Instant,
) -> Resolution {
    settle(traffic, dispatch, id, deadline, true).await
}

/// Waits for the end of a request that another handler acts for, and fetches its answer.
pub(crate) async fn follow(
    traffic: &Traffic,
    dispatch: &Dispatch,
    id: RequestId,
    deadline: Instant,
) -> Resolution {
    settle(traffic, dispatch, id, deadline, false).await
}

async fn settle(
    traffic: &Traffic,
    dispatch: &Dispatch,
    id: RequestId,
    deadline: Instant,
    bar: bool,
) -> Resolution {
    loop {
        let lost = |message: &str| {
            Resolution::Uncertain(Failure::may_have_run(Code::ConnectionLost, message))
        };
        match ask(traffic, dispatch, id, bar).await {
            FenceOutcome::Known(FenceAnswer::NeverSeen) => return Resolution::NeverRan,
            FenceOutcome::Known(FenceAnswer::Finished { kept: true }) => {
                return match fetch(dispatch.traffic, id).await {
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
            FenceOutcome::Gone => return lost("the agent is gone"),
            FenceOutcome::Known(FenceAnswer::Running { .. }) | FenceOutcome::NoAnswer => {}
        }
        if Instant::now() >= deadline {
            let message = "no answer before the deadline";
            return Resolution::Uncertain(Failure::may_have_run(Code::DeadlineExceeded, message));
        }
        tokio::time::sleep(ASK_EVERY).await;
    }
}

/// Fetches a kept answer from an agent on a new connection.
pub(crate) async fn fetch(agent: SocketAddr, id: RequestId) -> Option<Head> {
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
