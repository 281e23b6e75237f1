//! Case `starts`: task starts a second, with a table that limits its calls.

use crate::bounds::bound;
use crate::hops::apply_ticket;
use crate::results::{Bound, Results};
use crate::stats::percentile_ms;
use client::ClientLimits;
use cluster::{Cluster, ClusterOptions, WorkerOptions};
use futures::future::join_all;
use model::Resources;
use serde_json::{Value, json};
use standin::{Faults, RunRecord};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

/// Number of teams that submit jobs.
const TEAMS: usize = 35;
/// Tasks of each job; every team submits one a second.
const TASKS: usize = 15;
/// Tasks of each urgent job; one is submitted a second, by the teams in turn.
const URGENT_TASKS: usize = 5;
/// Run time of each task, declared and actual, in milliseconds.
const RUN_MS: u64 = 1_000;
/// Delay of each table call in milliseconds and duration of the run in seconds, for each run.
const RUNS: [(u64, u64); 2] = [(5, 60), (200, 30)];
/// Time after the last submission until all tasks must have started.
const SETTLE_TIME: Duration = Duration::from_secs(4);
/// Commits that the table accepts a second.
const TABLE_WRITES_PER_S: u64 = 300;
/// Reads and scans that the table accepts a second.
const TABLE_READS_PER_S: u64 = 2_000;

/// Measures each run.
pub fn run(results: &mut Results) {
    for (delay_ms, length_s) in RUNS {
        measure(results, delay_ms, length_s);
    }
}

/// Submits jobs for `length_s` seconds while each table call takes `delay_ms`, and adds the figures.
fn measure(results: &mut Results, delay_ms: u64, length_s: u64) {
    let worker = WorkerOptions {
        capacity: Resources::new(64_000, 250_000, 0),
        slots: 1,
        work_ms: 1,
    };
    let options = ClusterOptions {
        entries: 3,
        workers: vec![worker; 15],
        ..ClusterOptions::default()
    };
    let cluster = Cluster::start(&options).expect("the system starts");
    apply_ticket(&cluster, 15);
    std::thread::sleep(Duration::from_secs(8));
    let faults = Faults {
        delay_ms,
        writes_per_s: TABLE_WRITES_PER_S,
        reads_per_s: TABLE_READS_PER_S,
        ..Faults::default()
    };
    cluster.platform.set_faults(faults);
    let entries: Vec<SocketAddr> = cluster.addresses.iter().map(|entry| entry.admin).collect();
    let (commits_before, _) = cluster.platform.table_calls();
    let started = Instant::now();
    let submitted = actix_rt::System::new().block_on(submit_all(&cluster, &entries, length_s));
    let (commits_after, _) = cluster.platform.table_calls();
    let writes = (commits_after - commits_before) as f64 / started.elapsed().as_secs_f64();
    std::thread::sleep(SETTLE_TIME);
    let runs = cluster.platform.runs();
    report(
        results,
        &format!("{delay_ms} ms a call"),
        &runs,
        &submitted,
        length_s,
        writes,
    );
    for breach in cluster.platform.breaches() {
        println!("breach: {breach}");
    }
    results.add(
        "starts",
        &format!("{delay_ms} ms a call"),
        "breaches",
        cluster.platform.breaches().len() as f64,
        Some(Bound::AtMost(0.0)),
    );
}

/// Submission time of each job by its id, on the clock of the platform stand-in.
type SubmittedMs = HashMap<String, u64>;

/// Submits the jobs of every second; each must be accepted.
async fn submit_all(cluster: &Cluster, entries: &[SocketAddr], length_s: u64) -> SubmittedMs {
    let limits = ClientLimits {
        connect: Duration::from_secs(2),
        keep_alive: Duration::from_secs(10),
        call: Some(Duration::from_secs(20)),
    };
    let client = client::build(limits);
    let start = Instant::now();
    let mut submitted = SubmittedMs::new();
    for second in 0..length_s {
        let at = start + Duration::from_secs(second);
        actix_rt::time::sleep_until(at.into()).await;
        let mut jobs: Vec<Value> = (0..TEAMS)
            .map(|team| job(team, &format!("s{second}"), TASKS, false))
            .collect();
        jobs.push(job(
            second as usize % TEAMS,
            &format!("u{second}"),
            URGENT_TASKS,
            true,
        ));
        let now_ms = cluster.platform.now_ms();
        let calls = jobs.iter().enumerate().map(|(number, job)| {
            let client = client.clone();
            async move {
                let url = format!("http://{}/v1/jobs", entries[number % entries.len()]);
                let token = ("authorization", format!("Bearer {}", Cluster::token()));
                let sent = client.post(url).insert_header(token).send_json(job).await;
                sent.is_ok_and(|answer| answer.status().is_success())
            }
        });
        let accepted = join_all(calls).await;
        for (job, accepted) in jobs.iter().zip(accepted) {
            assert!(accepted, "job {job} is not accepted");
            let id = format!(
                "{}.{}",
                job["team"].as_str().unwrap_or(""),
                job["key"].as_str().unwrap_or("")
            );
            submitted.insert(id, now_ms);
        }
    }
    submitted
}

fn job(team: usize, key: &str, tasks: usize, urgent: bool) -> Value {
    json!({
        "team": format!("team{team}"), "key": key, "kind": "plain", "tasks": tasks,
        "need": { "processors_milli": 100, "memory_mb": 100 }, "run_ms": RUN_MS, "urgent": urgent,
        "payload": json!({ "run_ms": RUN_MS }).to_string(),
    })
}

fn report(
    results: &mut Results,
    subject: &str,
    runs: &[RunRecord],
    submitted: &SubmittedMs,
    length_s: u64,
    writes: f64,
) {
    let wait = |run: &RunRecord| {
        let submitted_ms = submitted
            .get(run.attempt.task.job.as_str())
            .copied()
            .unwrap_or(0);
        run.started_ms.saturating_sub(submitted_ms) as f64
    };
    let first_ms = submitted.values().min().copied().unwrap_or(0);
    let within = runs
        .iter()
        .filter(|run| run.started_ms < first_ms + length_s * 1_000 + 1_000);
    let rate = within.count() as f64 / length_s as f64;
    let expected = (length_s as usize * (TEAMS * TASKS + URGENT_TASKS)) as f64;
    let least = Bound::AtLeast(bound("starts", "rate_per_s"));
    results.add("starts", subject, "starts a second", rate, Some(least));
    results.add(
        "starts",
        subject,
        "not started at the end",
        expected - runs.len() as f64,
        Some(Bound::AtMost(0.0)),
    );
    let urgent = |run: &&RunRecord| run.attempt.task.job.as_str().contains(".u");
    let urgent_p99 = percentile_ms(runs.iter().filter(urgent).map(wait), 99.0);
    let most = Bound::AtMost(bound("starts", "urgent_p99_ms"));
    results.add(
        "starts",
        subject,
        "urgent start p99, ms",
        urgent_p99,
        Some(most),
    );
    results.add(
        "starts",
        subject,
        "start p99, ms",
        percentile_ms(runs.iter().map(wait), 99.0),
        None,
    );
    results.add("starts", subject, "writes a second", writes, None);
    let mut per_second: HashMap<u64, f64> = HashMap::new();
    for run in runs {
        *per_second
            .entry(run.started_ms.saturating_sub(first_ms) / 1_000)
            .or_default() += 1.0;
    }
    let mut points: Vec<(f64, f64)> = per_second
        .into_iter()
        .map(|(second, count)| (second as f64, count))
        .collect();
    points.sort_by(|left, right| left.0.total_cmp(&right.0));
    results.plot("starts a second", subject, points);
}
