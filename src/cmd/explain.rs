//! The `explain` command.

use super::admin::{block_on, print_json, read_document};
use awc::Client;
use clap::ArgMatches;
use errors::ExitStatus;
use flow::{ExplainedLocality, ExplainedStep, ExplainedWorker, Explanation};
use serde_json::Value;
use std::time::Duration;

/// Timeout of the call.
const CALL_TIMEOUT: Duration = Duration::from_secs(5);
/// Largest answer that is read, in bytes.
const MAX_ANSWER_BYTES: usize = 16 << 20;

/// Shows where a job would be placed now and why, without submitting it.
pub fn explain(args: &ArgMatches) -> ExitStatus {
    block_on(show(args))
}

async fn show(args: &ArgMatches) -> Result<(), ExitStatus> {
    let job = read_document(args)?;
    let url = args
        .get_one::<String>("monitoring")
        .map_or("", String::as_str);
    let answer = post(url.trim_end_matches('/'), &job).await?;
    if args.get_flag("json") {
        print_json(&answer);
        return Ok(());
    }
    let explanation: Explanation =
        serde_json::from_value(answer).map_err(|_| ExitStatus::Failed)?;
    let (position, jobs) = (explanation.position, explanation.queued_jobs);
    println!("position {position} of {jobs} jobs with queued tasks");
    explanation.steps.iter().for_each(print_step);
    Ok(())
}

/// Sends the job to the monitoring server of an entry; prints an error that it finds.
async fn post(url: &str, job: &Value) -> Result<Value, ExitStatus> {
    let client = Client::builder().timeout(CALL_TIMEOUT).finish();
    let sent = client.post(format!("{url}/explain")).send_json(job).await;
    let mut answer = sent.map_err(|error| {
        eprintln!("no answer from {url}: {error}");
        eprintln!("check --monitoring; it is safe to send the same request again");
        ExitStatus::Unreachable
    })?;
    let status = answer.status();
    let body = answer
        .body()
        .limit(MAX_ANSWER_BYTES)
        .await
        .unwrap_or_default();
    if status.is_success() {
        return serde_json::from_slice(&body).map_err(|_| ExitStatus::Failed);
    }
    eprintln!(
        "not explained ({status}): {}",
        String::from_utf8_lossy(&body)
    );
    Err(if status.is_server_error() {
        ExitStatus::Unreachable
    } else {
        ExitStatus::Refused
    })
}

fn print_step(step: &ExplainedStep) {
    let placed: Vec<&str> = step.placed.iter().map(model::AgentId::as_str).collect();
    println!(
        "\nstep {}: {} of {} tasks start now, {} wait for a near worker",
        step.step,
        placed.len(),
        step.tasks,
        step.waiting_for_near
    );
    if !placed.is_empty() {
        println!("  on {}", placed.join(", "));
    }
    match &step.locality {
        Some(ExplainedLocality::Near) => println!("  first task: near its data or its gang"),
        Some(ExplainedLocality::Waits { at_most_ms }) => {
            println!("  first task: waits at most {at_most_ms} ms for a near worker");
        }
        Some(ExplainedLocality::Remote { reason }) => {
            println!("  first task: away from its data or its gang: {reason}");
        }
        None => {}
    }
    step.workers.iter().for_each(print_worker);
}

fn print_worker(worker: &ExplainedWorker) {
    let verdict = match (worker.score, worker.exclusion) {
        (_, Some(exclusion)) => format!("excluded: {exclusion}"),
        (score, None) => format!("score {:.3}", score.unwrap_or_default()),
    };
    println!(
        "  {:<16} {:<8} {:<8} free {} milli, {} MB  {verdict}",
        worker.agent.as_str(),
        worker.domain,
        worker.rack.as_deref().unwrap_or("-"),
        worker.free.processors_milli,
        worker.free.memory_mb,
    );
}
