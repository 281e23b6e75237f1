//! Sends the demo's requests and compares the responses with the executions on record.

use awc::Client;
use awc::http::StatusCode;
use errors::Verdict;
use futures::future::join_all;
use standin::BackendRecord;
use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

/// Number of requests in flight at once.
const CONCURRENCY: usize = 16;
/// Timeout of one request.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(20);

/// Outcome of one request, as its caller saw it.
#[derive(Debug, Clone)]
pub struct RequestOutcome {
    /// Unique mark of the request, which the backend server's record repeats.
    pub mark: String,
    /// Response that the caller received.
    pub response: Response,
    /// Time from sending the request to the end of the response.
    pub latency: Duration,
}

/// Classified response to a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Response {
    /// The complete, expected answer.
    Complete,
    /// A failure with the verdict on whether the request ran.
    Failed(Verdict),
    /// An answer to another request, or one that was truncated without a sign.
    Invalid,
    /// No response.
    Missing,
}

/// Number of requests by outcome, and latencies.
#[derive(Debug, Default, Clone)]
pub struct LoadSummary {
    /// Requests that were sent.
    pub sent: usize,
    /// Requests with a complete answer.
    pub complete: usize,
    /// Requests with an invalid or missing response, or with a complete answer but no execution on
    /// record.
    pub lost: usize,
    /// Requests that ran more than once without being idempotent, or that ran although the verdict
    /// said that they did not.
    pub duplicated: usize,
    /// Requests that failed with the verdict that they did not run.
    pub not_run: usize,
    /// Requests that failed with the verdict that they ran or may have run.
    pub uncertain: usize,
    /// Latencies of complete answers, sorted.
    pub latencies: Vec<Duration>,
}

impl LoadSummary {
    /// Returns the latency that `percent` of the complete answers do not exceed, or zero without
    /// complete answers.
    pub fn percentile(&self, percent: usize) -> Duration {
        let index =
            (self.latencies.len() * percent / 100).min(self.latencies.len().saturating_sub(1));
        self.latencies.get(index).copied().unwrap_or_default()
    }
}

/// Sends the requests numbered `from..to` to `entries` in turn, each with a unique mark. Odd
/// numbers are POST requests, which are not idempotent. `progress` is called with the number of
/// finished requests.
pub async fn send_requests(
    entries: &[SocketAddr],
    from: usize,
    to: usize,
    progress: impl Fn(usize),
) -> Vec<RequestOutcome> {
    let client = Client::builder().timeout(REQUEST_TIMEOUT).finish();
    let outcomes = Rc::new(RefCell::new(Vec::with_capacity(to - from)));
    let next = Rc::new(RefCell::new(from));
    let senders = (0..CONCURRENCY).map(|_| async {
        loop {
            let number = next.replace_with(|next| *next + 1);
            if number >= to {
                return;
            }
            let outcome = send_request(&client, entries[number % entries.len()], number).await;
            outcomes.borrow_mut().push(outcome);
            progress(outcomes.borrow().len());
        }
    });
    join_all(senders).await;
    outcomes.take()
}

async fn send_request(client: &Client, entry: SocketAddr, number: usize) -> RequestOutcome {
    let mark = format!("demo-{number}");
    let started = Instant::now();
    let address = format!("http://{entry}/s/rooms/book?size=200");
    let request = if number.is_multiple_of(2) {
        client.get(address)
    } else {
        client.post(address)
    };
    let sent = request
        .insert_header(("x-mark", mark.as_str()))
        .send_body(mark.clone())
        .await;
    let response = match sent {
        Err(_) => Response::Missing,
        Ok(mut answer) => {
            let status = answer.status();
            let verdict = answer.headers().get("x-parsleythread-verdict").cloned();
            let verdict = verdict.and_then(|value| value.to_str().ok()?.parse().ok());
            let body = answer.body().await.unwrap_or_default();
            match verdict {
                Some(verdict) => Response::Failed(verdict),
                None if status == StatusCode::OK && is_expected_body(&mark, &body) => {
                    Response::Complete
                }
                None => Response::Invalid,
            }
        }
    };
    RequestOutcome {
        mark,
        response,
        latency: started.elapsed(),
    }
}

fn is_expected_body(mark: &str, body: &[u8]) -> bool {
    const SIZE_BYTES: usize = 200;
    let rest = body.strip_prefix(mark.as_bytes());
    body.len() == SIZE_BYTES && rest.is_some_and(|rest| rest.iter().all(|byte| *byte == b'.'))
}

/// Compares the outcomes that callers saw with the executions that the backend servers recorded.
pub fn summarise(outcomes: &[RequestOutcome], record: &BackendRecord) -> LoadSummary {
    let mut runs: std::collections::HashMap<String, usize> = std::collections::HashMap::new();
    for execution in record.executions() {
        *runs.entry(execution.mark).or_default() += 1;
    }
    let mut summary = LoadSummary {
        sent: outcomes.len(),
        ..LoadSummary::default()
    };
    for outcome in outcomes {
        let count = runs.get(&outcome.mark).copied().unwrap_or(0);
        let number: usize = outcome
            .mark
            .trim_start_matches("demo-")
            .parse()
            .unwrap_or(0);
        let is_idempotent = number.is_multiple_of(2);
        let ran_twice = count > 1 && !is_idempotent;
        let ran_despite_verdict =
            outcome.response == Response::Failed(Verdict::NotRun) && count > 0;
        summary.duplicated += usize::from(ran_twice || ran_despite_verdict);
        match outcome.response {
            Response::Complete => {
                summary.complete += 1;
                summary.lost += usize::from(count == 0);
                summary.latencies.push(outcome.latency);
            }
            Response::Failed(Verdict::NotRun) => summary.not_run += 1,
            Response::Failed(_) => summary.uncertain += 1,
            Response::Invalid | Response::Missing => summary.lost += 1,
        }
    }
    summary.latencies.sort();
    summary
}
