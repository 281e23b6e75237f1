//! The `demo` command: a small system on loopback under load, with injected failures.

use super::demo_load::{LoadSummary, RequestOutcome, send_requests, summarise};
use clap::ArgMatches;
use cluster::{Cluster, ClusterOptions};
use errors::ExitStatus;
use model::{AgentId, EndReason, JobPhase, JobStatus};
use serde_json::{Value, json};
use std::cell::RefCell;
use std::io::IsTerminal;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

/// Number of tasks of the demo's batch job.
const TASK_COUNT: u32 = 60;
/// Run time of each task of the batch job.
const TASK_MS: u64 = 1_500;
/// Time after which the demo fails if the batch job has not ended.
const JOB_TIMEOUT: Duration = Duration::from_secs(60);
/// Time after which the demo fails if the agents to be killed and drained run no tasks.
const START_TIMEOUT: Duration = Duration::from_secs(10);
/// Time after which the demo fails if the ticket is not in force on every node.
const TICKET_TIMEOUT: Duration = Duration::from_secs(10);

/// Starts a small system, sends load, kills one agent, drains another and checks the outcome.
pub fn demo(args: &ArgMatches) -> ExitStatus {
    telemetry::init_quiet();
    let requests = args.get_one("requests").copied().unwrap_or(0);
    print_step("starting the stand-ins, two entries and three agents");
    let options = ClusterOptions::default();
    let mut cluster = match Cluster::start(&options) {
        Ok(cluster) => cluster,
        Err(error) => {
            eprintln!("can't start: {error}");
            return ExitStatus::Failed;
        }
    };
    let outcome = actix_rt::System::new().block_on(run_scenario(&mut cluster, requests));
    let status = match outcome {
        Ok(report) => report.print(),
        Err(reason) => {
            eprintln!("the demo failed: {reason}");
            ExitStatus::Failed
        }
    };
    if args.get_flag("keep") {
        print_addresses_and_park(&cluster);
    }
    status
}

fn print_step(text: &str) {
    println!("- {text}");
}

/// Results of the demo.
struct Report {
    /// Outcomes of the requests.
    summary: LoadSummary,
    /// Status of the batch job after its end.
    job: JobStatus,
    /// Time until the ticket was in force on every node.
    ticket_ms: u128,
    /// Broken guarantees that the platform stand-in observed.
    breaches: Vec<String>,
}

impl Report {
    fn print(&self) -> ExitStatus {
        let summary = &self.summary;
        println!();
        println!("requests sent               {:>8}", summary.sent);
        println!("complete answers            {:>8}", summary.complete);
        println!("lost                        {:>8}", summary.lost);
        println!("duplicated                  {:>8}", summary.duplicated);
        println!("failed, not run             {:>8}", summary.not_run);
        println!("failed, may have run        {:>8}", summary.uncertain);
        println!(
            "p50                         {:>5} ms",
            summary.percentile(50).as_millis()
        );
        println!(
            "p99                         {:>5} ms",
            summary.percentile(99).as_millis()
        );
        println!("tasks finished              {:>8}", self.job.succeeded);
        println!("tasks resumed               {:>8}", self.job.resumed);
        println!("ticket in force everywhere  {:>5} ms", self.ticket_ms);
        for breach in &self.breaches {
            println!("broken guarantee: {breach}");
        }
        let all_finished =
            self.job.succeeded == TASK_COUNT && self.job.reason != Some(EndReason::Failed);
        let is_good = summary.lost == 0
            && summary.duplicated == 0
            && self.breaches.is_empty()
            && all_finished;
        if is_good {
            ExitStatus::Success
        } else {
            ExitStatus::Failed
        }
    }
}

async fn run_scenario(cluster: &mut Cluster, requests: usize) -> Result<Report, String> {
    let admin = cluster.addresses[0].admin;
    print_step("applying ticket 1: a team with a quota and a service");
    let started = Instant::now();
    call(admin, "/v1/tickets", Some(&ticket())).await?;
    wait_in_force(cluster, 1).await?;
    let ticket_ms = started.elapsed().as_millis();
    print_step("submitting a batch job");
    call(admin, "/v1/jobs", Some(&job())).await?;
    wait_running(cluster).await?;
    let entries: Vec<SocketAddr> = cluster
        .addresses
        .iter()
        .map(|entry| entry.traffic)
        .collect();
    print_step(
        "sending requests; one agent is killed after a third, another drained after two thirds",
    );
    let outcomes = send_with_failures(cluster, &entries, requests).await;
    print_step("waiting for the batch job");
    let job = wait_job(admin).await?;
    let summary = summarise(&outcomes, &cluster.record);
    Ok(Report {
        summary,
        job,
        ticket_ms,
        breaches: cluster.platform.breaches(),
    })
}

/// Sends all requests; kills one agent after a third of them and drains another after two thirds.
async fn send_with_failures(
    cluster: &mut Cluster,
    entries: &[SocketAddr],
    requests: usize,
) -> Vec<RequestOutcome> {
    let is_terminal = std::io::stderr().is_terminal();
    let cluster = RefCell::new(cluster);
    let outcomes = send_requests(entries, 0, requests, |done| {
        if done == requests / 3 {
            let mut cluster = cluster.borrow_mut();
            cluster.agents[0].kill();
            cluster
                .platform
                .terminate_worker(&cluster.agent_ids[0].clone());
        }
        if done == requests * 2 / 3 {
            cluster.borrow_mut().agents[1].drain();
        }
        if is_terminal {
            eprint!("\r  {done} of {requests}");
        }
    })
    .await;
    if is_terminal {
        eprint!("\r");
    }
    outcomes
}

fn ticket() -> Value {
    json!({
        "number": 1,
        "author": "demo",
        "reason": "first team and service",
        "teams": [{ "name": "timetabling", "quota": { "processors_milli": 40_000, "memory_mb": 100_000 } }],
        "services": [{ "name": "rooms", "team": "timetabling" }],
    })
}

fn job() -> Value {
    json!({
        "team": "timetabling",
        "key": "rebuild",
        "kind": "timetable",
        "tasks": TASK_COUNT,
        "need": { "processors_milli": 1_000, "memory_mb": 1_024 },
        "run_ms": TASK_MS,
        "payload": json!({ "run_ms": TASK_MS }).to_string(),
    })
}

async fn call(admin: SocketAddr, path: &str, body: Option<&Value>) -> Result<Value, String> {
    let client = awc::Client::builder()
        .timeout(Duration::from_secs(10))
        .finish();
    let address = format!("http://{admin}{path}");
    let token = ("authorization", format!("Bearer {}", Cluster::token()));
    let sent = match body {
        Some(body) => {
            client
                .post(address)
                .insert_header(token)
                .send_json(body)
                .await
        }
        None => client.get(address).insert_header(token).send().await,
    };
    let mut answer = sent.map_err(|error| format!("{path}: {error}"))?;
    let value: Value = answer
        .json()
        .await
        .map_err(|error| format!("{path}: {error}"))?;
    if answer.status().is_success() {
        Ok(value)
    } else {
        Err(format!("{path}: {value}"))
    }
}

async fn wait_in_force(cluster: &Cluster, number: u64) -> Result<(), String> {
    let started = Instant::now();
    while started.elapsed() < TICKET_TIMEOUT {
        let mut in_force_everywhere = true;
        for entry in &cluster.addresses {
            let status = call(entry.admin, "/v1/status", None).await?;
            let agents = status["agents"].as_array().cloned().unwrap_or_default();
            let in_force = |node: &Value| node["config"].as_u64() >= Some(number);
            let has_services =
                |node: &Value| node["services"].as_array().is_some_and(|s| !s.is_empty());
            in_force_everywhere &= in_force(&status) && agents.len() == cluster.agents.len();
            in_force_everywhere &= agents
                .iter()
                .all(|agent| in_force(agent) && has_services(agent));
        }
        if in_force_everywhere {
            return Ok(());
        }
        actix_rt::time::sleep(Duration::from_millis(100)).await;
    }
    Err(format!(
        "ticket {number} is not in force on every node after {} s",
        TICKET_TIMEOUT.as_secs()
    ))
}

/// Waits until tasks run both on the agent that will be killed and on the one that will be drained,
/// so that both failures affect running tasks.
async fn wait_running(cluster: &Cluster) -> Result<(), String> {
    let started = Instant::now();
    while started.elapsed() < START_TIMEOUT {
        let runs = cluster.platform.runs();
        let runs_on = |agent: &AgentId| runs.iter().any(|run| run.worker == *agent);
        if cluster.agent_ids[..2].iter().all(runs_on) {
            return Ok(());
        }
        actix_rt::time::sleep(Duration::from_millis(20)).await;
    }
    Err(format!(
        "the job does not run tasks on both {} and {} after {} s",
        cluster.agent_ids[0],
        cluster.agent_ids[1],
        START_TIMEOUT.as_secs()
    ))
}

async fn wait_job(admin: SocketAddr) -> Result<JobStatus, String> {
    let started = Instant::now();
    loop {
        let answer = call(admin, "/v1/jobs/timetabling.rebuild", None).await?;
        let status: JobStatus =
            serde_json::from_value(answer).map_err(|error| format!("job: {error}"))?;
        if status.phase == JobPhase::Ended {
            return Ok(status);
        }
        if started.elapsed() > JOB_TIMEOUT {
            return Err(format!(
                "the job did not end within {} s: {status:?}",
                JOB_TIMEOUT.as_secs()
            ));
        }
        actix_rt::time::sleep(Duration::from_millis(200)).await;
    }
}

/// Prints the addresses and example commands, then blocks until the process is killed.
fn print_addresses_and_park(cluster: &Cluster) {
    let entry = cluster.addresses[0];
    let token = Cluster::token();
    println!("\nThe system keeps running until you stop it with Ctrl-C.");
    println!("  curl -i http://{}/s/rooms/book", entry.traffic);
    println!(
        "  curl -i -X POST -H 'idempotency-key: k1' -d hall-3 http://{}/s/rooms/book",
        entry.traffic
    );
    println!(
        "  curl -H 'authorization: Bearer {token}' http://{}/v1/status",
        entry.admin
    );
    println!("  curl http://{}/metrics", entry.admin);
    println!(
        "  parsleythread status --admin http://{} --token {token}",
        entry.admin
    );
    loop {
        std::thread::park();
    }
}
