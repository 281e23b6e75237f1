//! Load of the demo and its check.

use awc::Client;
use awc::http::StatusCode;
use errors::Verdict;
use futures::future::join_all;
use standin::BackendRecord;
use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

/// Requests on their way at once.
const CONCURRENCY: usize = 16;
/// Time for one request.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(20);

/// What one caller was told.
#[derive(Debug, Clone)]
pub struct Told {
    /// Mark of the request.
    pub mark: String,
    /// What came back.
    pub answer: Answer,
    /// Time to the whole answer.
    pub latency: Duration,
}

/// What came back for a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Answer {
    /// The whole answer to this request.
    Whole,
    /// A failure with a verdict.
    Failed(Verdict),
    /// An answer to something else, or one that was cut without a sign.
    Wrong,
    /// Nothing.
    Nothing,
}

/// What came of all requests.
#[derive(Debug, Default, Clone)]
pub struct Tally {
    /// Requests sent.
    pub sent: usize,
    /// Whole answers.
    pub whole: usize,
    /// Wrong or missing answers, and requests told run whole that the record does not have.
    pub lost: usize,
    /// Requests that ran more than once, or ran although their caller was told otherwise.
    pub doubled: usize,
    /// Requests refused with proof that they did not run.
    pub not_run: usize,
    /// Requests that may have run.
    pub uncertain: usize,
    /// Latencies of whole answers, sorted.
    pub latencies: Vec<Duration>,
}

impl Tally {
    /// Latency that `percent` of whole answers do not exceed.
    pub fn percentile(&self, percent: usize) -> Duration {
        let index =
            (self.latencies.len() * percent / 100).min(self.latencies.len().saturating_sub(1));
        self.latencies.get(index).copied().unwrap_or_default()
    }
}

/// Sends requests, each with a mark of its own, one half of them not idempotent.
pub async fn send(
    entries: &[SocketAddr],
    from: usize,
    to: usize,
    progress: impl Fn(usize),
) -> Vec<Told> {
    let client = Client::builder().timeout(REQUEST_TIMEOUT).finish();
    let told = Rc::new(RefCell::new(Vec::with_capacity(to - from)));
    let next = Rc::new(RefCell::new(from));
    let senders = (0..CONCURRENCY).map(|_| async {
        loop {
            let number = next.replace_with(|next| *next + 1);
            if number >= to {
                return;
            }
            let answer = send_one(&client, entries[number % entries.len()], number).await;
            told.borrow_mut().push(answer);
            progress(told.borrow().len());
        }
    });
    join_all(senders).await;
    told.take()
}

async fn send_one(client: &Client, entry: SocketAddr, number: usize) -> Told {
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
    let answer = match sent {
        Err(_) => Answer::Nothing,
        Ok(mut answer) => {
            let status = answer.status();
            let verdict = answer.headers().get("x-parsleythread-verdict").cloned();
            let verdict = verdict.and_then(|value| value.to_str().ok()?.parse().ok());
            let body = answer.body().await.unwrap_or_default();
            match verdict {
                Some(verdict) => Answer::Failed(verdict),
                None if status == StatusCode::OK && is_answer_to(&mark, &body) => Answer::Whole,
                None => Answer::Wrong,
            }
        }
    };
    Told {
        mark,
        answer,
        latency: started.elapsed(),
    }
}

fn is_answer_to(mark: &str, body: &[u8]) -> bool {
    const SIZE_BYTES: usize = 200;
    let rest = body.strip_prefix(mark.as_bytes());
    body.len() == SIZE_BYTES && rest.is_some_and(|rest| rest.iter().all(|byte| *byte == b'.'))
}

/// Compares what callers were told with what the backend servers really ran.
pub fn check(told: &[Told], record: &BackendRecord) -> Tally {
    let mut runs: std::collections::HashMap<String, usize> = std::collections::HashMap::new();
    for execution in record.executions() {
        *runs.entry(execution.mark).or_default() += 1;
    }
    let mut tally = Tally {
        sent: told.len(),
        ..Tally::default()
    };
    for one in told {
        let count = runs.get(&one.mark).copied().unwrap_or(0);
        let number: usize = one.mark.trim_start_matches("demo-").parse().unwrap_or(0);
        let is_idempotent = number.is_multiple_of(2);
        let ran_wrongly = count > 1 && !is_idempotent;
        let told_falsely = one.answer == Answer::Failed(Verdict::NotRun) && count > 0;
        tally.doubled += usize::from(ran_wrongly || told_falsely);
        match one.answer {
            Answer::Whole => {
                tally.whole += 1;
                tally.lost += usize::from(count == 0);
                tally.latencies.push(one.latency);
            }
            Answer::Failed(Verdict::NotRun) => tally.not_run += 1,
            Answer::Failed(_) => tally.uncertain += 1,
            Answer::Wrong | Answer::Nothing => tally.lost += 1,
        }
    }
    tally.latencies.sort();
    tally
}
