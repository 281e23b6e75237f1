//! The `ticket` command.

use super::admin::{Admin, block_on, print_json, read_document};
use clap::ArgMatches;
use entry::ClusterStatus;
use errors::ExitStatus;

/// Submits a ticket, shows one, or shows how far the newest one is in force.
pub fn ticket(args: &ArgMatches) -> ExitStatus {
    match args.subcommand() {
        Some(("apply", args)) => block_on(apply(args)),
        Some(("show", args)) => block_on(show(args)),
        Some(("status", args)) => block_on(status(args)),
        _ => ExitStatus::BadSettings,
    }
}

async fn apply(args: &ArgMatches) -> Result<(), ExitStatus> {
    let ticket = read_document(args)?;
    let accepted = Admin::new(args).post("/v1/tickets", &ticket).await?;
    println!(
        "ticket {} was accepted; 'parsleythread ticket status' shows where it is in force",
        accepted["accepted"]
    );
    Ok(())
}

async fn show(args: &ArgMatches) -> Result<(), ExitStatus> {
    let number: u64 = args.get_one("number").copied().unwrap_or_default();
    print_json(
        &Admin::new(args)
            .get(&format!("/v1/tickets/{number}"))
            .await?,
    );
    Ok(())
}

async fn status(args: &ArgMatches) -> Result<(), ExitStatus> {
    let answer = Admin::new(args).get("/v1/status").await?;
    if args.get_flag("json") {
        print_json(&serde_json::json!({
            "number": answer["config"], "entries": answer["entries"], "agents": answer["agents"],
        }));
        return Ok(());
    }
    let status: ClusterStatus = serde_json::from_value(answer).map_err(|_| ExitStatus::Failed)?;
    let entries = status
        .entries
        .iter()
        .map(|entry| (entry.entry.to_string(), entry.config));
    let agents = status
        .agents
        .iter()
        .map(|agent| (agent.agent.to_string(), agent.config));
    let nodes: Vec<(String, u64)> = entries.chain(agents).collect();
    let newest = nodes.iter().map(|(_, number)| *number).max().unwrap_or(0);
    let behind: Vec<&(String, u64)> = nodes
        .iter()
        .filter(|(_, number)| *number < newest)
        .collect();
    println!(
        "ticket {newest} is in force on {} of {} nodes",
        nodes.len() - behind.len(),
        nodes.len()
    );
    for (node, number) in behind {
        println!("  {node} still has configuration {number}");
    }
    Ok(())
}
