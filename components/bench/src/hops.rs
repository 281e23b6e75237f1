//! Case `hops`: latency added by entry and agent, compared with direct calls of the backend server.

use crate::bounds::bound;
use crate::load::{self, Outcome, Target};
use crate::results::{Bound, Results};
use crate::stats::percentile_ms;
use crate::trace::{Arrival, Phase, generate_trace};
use cluster::{Cluster, ClusterOptions, WorkerOptions};
use model::Resources;
use serde_json::{Value, json};
use std::net::SocketAddr;
use std::time::{Duration, Instant};

/// Requests a second in the comparison.
const RATE_PER_S: f64 = 400.0;
/// Duration of each run, in milliseconds.
const LENGTH_MS: f64 = 8_000.0;
/// Requests a second in the flood, more than one entry can serve.
const FLOOD_PER_S: f64 = 12_000.0;
/// Duration of the flood, in milliseconds.
const FLOOD_MS: f64 = 4_000.0;
/// Longest time until a ticket is in force everywhere.
const TICKET_TIMEOUT: Duration = Duration::from_secs(20);

/// HTTP client with the timeouts of the admin calls.
fn admin_client() -> awc::Client {
    client::build(client::ClientLimits {
        connect: Duration::from_secs(2),
        keep_alive: Duration::from_secs(1),
        call: Some(Duration::from_secs(20)),
    })
}

/// Fetches a page as text, blocking this thread; `None` on any error.
pub fn fetch_text(address: SocketAddr, path: &str) -> Option<String> {
    actix_rt::System::new().block_on(async {
        let url = format!("http://{address}{path}");
        let mut answer = admin_client().get(url).send().await.ok()?;
        let body = answer.body().await.ok()?;
        String::from_utf8(body.to_vec()).ok()
    })
}

/// Calls the admin interface, blocking this thread: POST with a body, GET without. `None` on any
/// error, error statuses included.
pub fn admin_call(address: SocketAddr, path: &str, body: Option<&Value>) -> Option<Value> {
    actix_rt::System::new().block_on(async {
        let client = admin_client();
        let url = format!("http://{address}{path}");
        let token = ("authorization", format!("Bearer {}", Cluster::token()));
        let sent = match body {
            Some(body) => client.post(url).insert_header(token).send_json(body).await,
            None => client.get(url).insert_header(token).send().await,
        };
        let mut answer = sent.ok()?;
        let is_success = answer.status().is_success();
        let value: Value = answer.json().limit(16 << 20).await.ok()?;
        is_success.then_some(value)
    })
}

/// Creates the service `rooms` and the teams with ticket 1, and waits until every entry knows
/// `agents` agents that run the service under it, past their slow start.
pub fn apply_ticket(cluster: &Cluster, agents: usize) {
    let teams: Vec<Value> = (0..35)
        .map(|number| json!({ "name": format!("team{number}"), "quota": { "processors_milli": 1_000_000, "memory_mb": 4_000_000 } }))
        .collect();
    let ticket = json!({
        "number": 1, "author": "bench", "teams": teams,
        "services": [{ "name": "rooms", "team": "team0", "deadline_ms": 20_000 }],
    });
    admin_call(cluster.addresses[0].admin, "/v1/tickets", Some(&ticket))
        .expect("the ticket is accepted");
    let started = Instant::now();
    while !cluster
        .addresses
        .iter()
        .all(|entry| is_ready(entry.admin, agents))
    {
        assert!(
            started.elapsed() < TICKET_TIMEOUT,
            "the ticket is not in force on {agents} agents after {TICKET_TIMEOUT:?}"
        );
        std::thread::sleep(Duration::from_millis(100));
    }
    // New agents get their full share of requests only after the slow start.
    std::thread::sleep(Duration::from_millis(2_200));
}

/// Whether an entry has applied the ticket and knows this number of agents that have as well.
fn is_ready(entry: SocketAddr, agents: usize) -> bool {
    let Some(status) = admin_call(entry, "/v1/status", None) else {
        return false;
    };
    let all = status["agents"].as_array().cloned().unwrap_or_default();
    let ready = all
        .iter()
        .filter(|agent| agent["config"] == 1)
        .filter(|agent| {
            agent["services"]
                .as_array()
                .is_some_and(|services| !services.is_empty())
        });
    status["config"] == 1 && ready.count() == agents
}

/// Compares direct and routed calls, then floods the entry.
pub fn run(results: &mut Results) {
    let worker = WorkerOptions {
        capacity: Resources::new(16_000, 60_000, 0),
        slots: 256,
        work_ms: 0,
    };
    let options = ClusterOptions {
        entries: 1,
        workers: vec![worker; 3],
        ..ClusterOptions::default()
    };
    let cluster = Cluster::start(&options).expect("the system starts");
    apply_ticket(&cluster, 3);
    let mut arrivals = generate_trace(
        &[Phase {
            length_ms: LENGTH_MS,
            rate_per_s: RATE_PER_S,
        }],
        0,
    );
    arrivals.iter_mut().for_each(|arrival| arrival.run_ms = 0);
    let direct = Target {
        addresses: cluster
            .backends
            .iter()
            .map(|backend| backend.handle.address)
            .collect(),
        path: "/free".to_owned(),
        deadline_ms: None,
    };
    let routed = Target {
        addresses: vec![cluster.addresses[0].traffic],
        path: "/s/rooms/free".to_owned(),
        deadline_ms: None,
    };
    let measure = |target: &Target, arrivals: &[Arrival]| {
        let samples = load::send(arrivals, target);
        let latencies = || samples.iter().map(|sample| sample.latency_ms);
        (
            percentile_ms(latencies(), 50.0),
            percentile_ms(latencies(), 99.0),
        )
    };
    measure(&routed, &arrivals);
    let (direct_p50, direct_p99) = measure(&direct, &arrivals);
    let (routed_p50, routed_p99) = measure(&routed, &arrivals);
    results.add("hops", "direct", "median, ms", direct_p50, None);
    results.add("hops", "direct", "p99, ms", direct_p99, None);
    let most = Bound::AtMost(bound("hops", "median_added_ms"));
    results.add(
        "hops",
        "two hops",
        "median added, ms",
        routed_p50 - direct_p50,
        Some(most),
    );
    let most = Bound::AtMost(bound("hops", "p99_added_ms"));
    results.add(
        "hops",
        "two hops",
        "p99 added, ms",
        routed_p99 - direct_p99,
        Some(most),
    );
    flood(results, &routed);
}

/// Measures the throughput of one entry under more load than it can serve.
fn flood(results: &mut Results, routed: &Target) {
    let mut arrivals = generate_trace(
        &[Phase {
            length_ms: FLOOD_MS,
            rate_per_s: FLOOD_PER_S,
        }],
        0,
    );
    arrivals.iter_mut().for_each(|arrival| arrival.run_ms = 0);
    let started = Instant::now();
    let samples = load::send(&arrivals, routed);
    let took_s = started.elapsed().as_secs_f64();
    let whole = samples
        .iter()
        .filter(|sample| sample.outcome == Outcome::Complete)
        .count();
    results.add(
        "hops",
        "one entry",
        "whole answers a second, flooded",
        whole as f64 / took_s,
        None,
    );
}
