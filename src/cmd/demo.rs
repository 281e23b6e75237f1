//! A whole small system on loopback: loaded, broken and checked.

use super::demo_load::{Tally, check, send};
use clap::ArgMatches;
use cluster::{Cluster, ClusterOptions};
use errors::ExitStatus;
use model::{AgentId, EndReason, JobPhase, JobStatus};
use serde_json::{Value, json};
use std::cell::RefCell;
use std::io::IsTerminal;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

/// Tasks of the demo's batch job.
const TASKS: u32 = 60;
/// Run time of each task, in milliseconds.
const TASK_MS: u64 = 1_500;
/// Longest time for the batch job to end.
const JOB_LIMIT: Duration = Duration::from_secs(60);
/// Longest time for the first tasks to run.
const START_LIMIT: Duration = Duration::from_secs(10);
/// Longest time for a ticket to be in force everywhere.
const TICKET_LIMIT: Duration = Duration::from_secs(10);

/// Brings up a whole small system, loads it, breaks it and checks it.
pub fn demo(args: &ArgMatches) -> ExitStatus {
    telemetry::init_quiet();
    let requests = args.get_one("requests").copied().unwrap_or(0);
    step("starting the stand-ins, two entries and three agents");
    let options = ClusterOptions::default();
    let mut cluster = match Cluster::start(&options) {
        Ok(cluster) => cluster,
        Err(error) => {
            eprintln!("can't start: {error}");
            return ExitStatus::Failed;
        }
    };
    let outcome = actix_rt::System::new().block_on(run(&mut cluster, requests));
    let status = match outcome {
        Ok(report) => report.print(),
        Err(reason) => {
            eprintln!("the demo failed: {reason}");
            ExitStatus::Failed
        }
    };
    if args.get_flag("keep") {
        keep(&cluster);
    }
    status
}

fn step(text: &str) {
    println!("- {text}");
}

/// What the demo found.
struct Report {
    /// What came of the requests.
    tally: Tally,
    /// The job at its end.
    job: JobStatus,
    /// Time until the ticket was in force, in milliseconds.
    ticket_ms: u128,
    /// Breaches that the platform saw.
    breaches: Vec<String>,
}

impl Report {
    fn print(&self) -> ExitStatus {
        let tally = &self.tally;
        println!();
        println!("requests sent               {:>8}", tally.sent);
        println!("whole answers               {:>8}", tally.whole);
        println!("lost                        {:>8}", tally.lost);
        println!("doubled                     {:>8}", tally.doubled);
        println!("told not run                {:>8}", tally.not_run);
        println!("told may have run           {:>8}", tally.uncertain);
        println!(
            "p50                         {:>5} ms",
            tally.percentile(50).as_millis()
        );
        println!(
            "p99                         {:>5} ms",
            tally.percentile(99).as_millis()
        );
        println!("tasks finished              {:>8}", self.job.succeeded);
        println!("tasks resumed               {:>8}", self.job.resumed);
        println!("ticket in force everywhere  {:>5} ms", self.ticket_ms);
        for breach in &self.breaches {
            println!("breach: {breach}");
        }
        let all_finished =
            self.job.succeeded == TASKS && self.job.reason != Some(EndReason::Failed);
        let good =
            tally.lost == 0 && tally.doubled == 0 && self.breaches.is_empty() && all_finished;
        if good {
            ExitStatus::Success
        } else {
            ExitStatus::Failed
        }
    }
}

async fn run(cluster: &mut Cluster, requests: usize) -> Result<Report, String> {
    let admin = cluster.addresses[0].admin;
    step("applying ticket 1: a team with a quota and a service");
    let started = Instant::now();
    call(admin, "/v1/tickets", Some(&ticket())).await?;
    wait_in_force(cluster, 1).await?;
    let ticket_ms = started.elapsed().as_millis();
    step("submitting a batch job");
    call(admin, "/v1/jobs", Some(&job())).await?;
    wait_running(cluster).await?;
    let entries: Vec<SocketAddr> = cluster
        .addresses
        .iter()
        .map(|entry| entry.traffic)
        .collect();
    step("sending requests; an agent is killed after a third of them, another drained after two");
    let told = send_and_break(cluster, &entries, requests).await;
    step("waiting for the batch job");
    let job = wait_job(admin).await?;
    let tally = check(&told, &cluster.record);
    Ok(Report {
        tally,
        job,
        ticket_ms,
        breaches: cluster.platform.breaches(),
    })
}

/// Sends all requests; kills one agent and drains another while they are on their way.
async fn send_and_break(
    cluster: &mut Cluster,
    entries: &[SocketAddr],
    requests: usize,
) -> Vec<super::demo_load::Told> {
    let is_terminal = std::io::stderr().is_terminal();
    let cluster = RefCell::new(cluster);
    let told = send(entries, 0, requests, |done| {
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
    told
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
        "tasks": TASKS,
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
    while started.elapsed() < TICKET_LIMIT {
        let mut all = true;
        for entry in &cluster.addresses {
            let status = call(entry.admin, "/v1/status", None).await?;
            let agents = status["agents"].as_array().cloned().unwrap_or_default();
            let in_force = |node: &Value| node["config"].as_u64() >= Some(number);
            let serves = |node: &Value| node["services"].as_array().is_some_and(|s| !s.is_empty());
            all &= in_force(&status) && agents.len() == cluster.agents.len();
            all &= agents.iter().all(|agent| in_force(agent) && serves(agent));
        }
        if all {
            return Ok(());
        }
        actix_rt::time::sleep(Duration::from_millis(100)).await;
    }
    Err(format!(
        "ticket {number} is not in force everywhere in time"
    ))
}

/// Waits until tasks run on the agent that is killed and on the one that is drained.
async fn wait_running(cluster: &Cluster) -> Result<(), String> {
    let started = Instant::now();
    while started.elapsed() < START_LIMIT {
        let runs = cluster.platform.runs();
        let runs_on = |agent: &AgentId| runs.iter().any(|run| run.worker == *agent);
        if cluster.agent_ids[..2].iter().all(runs_on) {
            return Ok(());
        }
        actix_rt::time::sleep(Duration::from_millis(20)).await;
    }
    Err(String::from("no task of the job runs in time"))
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
        if started.elapsed() > JOB_LIMIT {
            return Err(format!("the job did not end in time: {status:?}"));
        }
        actix_rt::time::sleep(Duration::from_millis(200)).await;
    }
}

/// Prints addresses and examples, and waits for ever.
fn keep(cluster: &Cluster) {
    let entry = cluster.addresses[0];
    let token = Cluster::token();
    println!("\nThe system stays up until you stop it with Ctrl-C.");
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
