//! Open-loop load generator: each request is sent at its time, regardless of the results of earlier
//! ones.

use crate::trace::Arrival;
use awc::Client;
use client::ClientLimits;
use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

/// Number of threads that send requests.
const SENDER_THREADS: usize = 2;
/// Timeout of each request.
const CALL_TIMEOUT: Duration = Duration::from_secs(30);

/// Result of a request, as its caller sees it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outcome {
    /// Successful and complete answer.
    Complete,
    /// Refusal with the verdict `not-run`, so that the request certainly did not run.
    Refused,
    /// Anything else, such as an error status, a broken connection or a timeout.
    Failed,
}

/// One sent request with its result.
#[derive(Debug, Clone, Copy)]
pub struct Sample {
    /// Request as generated.
    pub arrival: Arrival,
    /// Time from its planned sending, even if it was sent late, to the end of its answer.
    pub latency_ms: f64,
    /// Result of the request.
    pub outcome: Outcome,
}

/// Destination of the requests.
#[derive(Debug, Clone)]
pub struct Target {
    /// Addresses, used in turn by each sender.
    pub addresses: Vec<SocketAddr>,
    /// Path of the URL, without the query.
    pub path: String,
    /// Deadline header to send; `None` leaves the deadline of the service.
    pub deadline_ms: Option<u64>,
}

/// Sends a trace and returns the result of each request, in order of arrival.
pub fn send(trace: &[Arrival], target: &Target) -> Vec<Sample> {
    let start = Instant::now() + Duration::from_millis(100);
    let parts: Vec<_> = (0..SENDER_THREADS)
        .map(|part| {
            let arrivals: Vec<Arrival> = trace
                .iter()
                .copied()
                .skip(part)
                .step_by(SENDER_THREADS)
                .collect();
            let target = target.clone();
            std::thread::spawn(move || {
                actix_rt::System::new().block_on(send_part(arrivals, target, start))
            })
        })
        .collect();
    let mut samples: Vec<Sample> = parts
        .into_iter()
        .flat_map(|part| part.join().expect("a sender thread does not panic"))
        .collect();
    samples.sort_by(|left, right| left.arrival.at_ms.total_cmp(&right.arrival.at_ms));
    samples
}

/// Sends the part of a trace that belongs to one sender thread.
async fn send_part(arrivals: Vec<Arrival>, target: Target, start: Instant) -> Vec<Sample> {
    let limits = ClientLimits {
        connect: Duration::from_secs(2),
        keep_alive: Duration::from_secs(20),
        call: Some(CALL_TIMEOUT),
    };
    let client = client::build(limits);
    let samples = Rc::new(RefCell::new(Vec::with_capacity(arrivals.len())));
    let target = Rc::new(target);
    let mut calls = Vec::with_capacity(arrivals.len());
    for (number, arrival) in arrivals.into_iter().enumerate() {
        let send_at = start + Duration::from_secs_f64(arrival.at_ms / 1_000.0);
        actix_rt::time::sleep_until(send_at.into()).await;
        let (client, samples, target) = (client.clone(), samples.clone(), target.clone());
        calls.push(actix_rt::spawn(async move {
            let address = target.addresses[number % target.addresses.len()];
            let outcome = call(&client, address, &target, arrival).await;
            let latency_ms = send_at.elapsed().as_secs_f64() * 1_000.0;
            samples.borrow_mut().push(Sample {
                arrival,
                latency_ms,
                outcome,
            });
        }));
    }
    for call in calls {
        drop(call.await);
    }
    samples.take()
}

/// Sends one request and classifies its answer.
async fn call(client: &Client, address: SocketAddr, target: &Target, arrival: Arrival) -> Outcome {
    let url = format!(
        "http://{address}{}?work_ms={}&size=200",
        target.path, arrival.run_ms
    );
    let mut request = client.get(url);
    if let Some(deadline_ms) = target.deadline_ms {
        request = request.insert_header(("x-parsleythread-deadline-ms", deadline_ms));
    }
    let Ok(mut answer) = request.send().await else {
        return Outcome::Failed;
    };
    let verdict = answer.headers().get("x-parsleythread-verdict").cloned();
    let is_success = answer.status().is_success();
    let Ok(body) = answer.body().await else {
        return Outcome::Failed;
    };
    match verdict {
        None if is_success && body.len() == 200 => Outcome::Complete,
        Some(verdict) if verdict == "not-run" => Outcome::Refused,
        _ => Outcome::Failed,
    }
}
