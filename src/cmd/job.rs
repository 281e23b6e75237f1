//! Batch jobs.

use super::admin::{Admin, block_on, print_json, read_document};
use clap::ArgMatches;
use errors::ExitStatus;
use model::{JobPhase, JobStatus};
use std::time::Duration;

/// Time between two looks at a job that is waited for.
const LOOK_EVERY: Duration = Duration::from_millis(500);

/// Submits, shows and cancels jobs.
pub fn job(args: &ArgMatches) -> ExitStatus {
    match args.subcommand() {
        Some(("submit", args)) => block_on(submit(args)),
        Some(("status", args)) => block_on(status(args)),
        Some(("cancel", args)) => block_on(cancel(args)),
        _ => ExitStatus::BadSettings,
    }
}

fn path(args: &ArgMatches) -> String {
    let job: Option<&String> = args.get_one("job");
    format!("/v1/jobs/{}", job.map_or("", String::as_str))
}

async fn submit(args: &ArgMatches) -> Result<(), ExitStatus> {
    let spec = read_document(args)?;
    let accepted = Admin::new(args).post("/v1/jobs", &spec).await?;
    println!(
        "job {} is accepted",
        accepted["job"].as_str().unwrap_or_default()
    );
    Ok(())
}

async fn status(args: &ArgMatches) -> Result<(), ExitStatus> {
    let admin = Admin::new(args);
    loop {
        let answer = admin.get(&path(args)).await?;
        let status: JobStatus =
            serde_json::from_value(answer.clone()).map_err(|_| ExitStatus::Failed)?;
        let is_over = status.phase == JobPhase::Ended;
        if is_over || !args.get_flag("wait") {
            print_json(&answer);
            let failed = is_over && status.failed > 0;
            return if failed {
                Err(ExitStatus::Failed)
            } else {
                Ok(())
            };
        }
        actix_rt::time::sleep(LOOK_EVERY).await;
    }
}

async fn cancel(args: &ArgMatches) -> Result<(), ExitStatus> {
    Admin::new(args).delete(&path(args)).await?;
    println!("the job is cancelled; its running tasks are being stopped");
    Ok(())
}
