//! The `job` command.

use super::admin::{Admin, block_on, print_json, read_document};
use clap::ArgMatches;
use errors::ExitStatus;
use model::{JobPhase, JobStatus};
use std::time::Duration;

/// Time between two polls of a job's status with `--wait`.
const POLL_INTERVAL: Duration = Duration::from_millis(500);

/// Submits, shows or cancels a batch job.
pub fn job(args: &ArgMatches) -> ExitStatus {
    match args.subcommand() {
        Some(("submit", args)) => block_on(submit(args)),
        Some(("status", args)) => block_on(status(args)),
        Some(("cancel", args)) => block_on(cancel(args)),
        _ => ExitStatus::BadSettings,
    }
}

fn job_path(args: &ArgMatches) -> String {
    let job: Option<&String> = args.get_one("job");
    format!("/v1/jobs/{}", job.map_or("", String::as_str))
}

async fn submit(args: &ArgMatches) -> Result<(), ExitStatus> {
    let spec = read_document(args)?;
    let accepted = Admin::new(args).post("/v1/jobs", &spec).await?;
    println!(
        "job {} was accepted",
        accepted["job"].as_str().unwrap_or_default()
    );
    Ok(())
}

async fn status(args: &ArgMatches) -> Result<(), ExitStatus> {
    let admin = Admin::new(args);
    loop {
        let answer = admin.get(&job_path(args)).await?;
        let status: JobStatus =
            serde_json::from_value(answer.clone()).map_err(|_| ExitStatus::Failed)?;
        let has_ended = status.phase == JobPhase::Ended;
        if has_ended || !args.get_flag("wait") {
            print_json(&answer);
            let failed = has_ended && status.failed > 0;
            return if failed {
                Err(ExitStatus::Failed)
            } else {
                Ok(())
            };
        }
        actix_rt::time::sleep(POLL_INTERVAL).await;
    }
}

async fn cancel(args: &ArgMatches) -> Result<(), ExitStatus> {
    Admin::new(args).delete(&job_path(args)).await?;
    println!("the job was cancelled; its running tasks are being stopped");
    Ok(())
}
