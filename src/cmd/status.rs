//! The `status` command.

use super::admin::{Admin, block_on, print_json};
use clap::ArgMatches;
use entry::{AgentStatus, ClusterStatus, TeamStatus};
use errors::ExitStatus;
use model::Resources;

/// Prints the entries, workers with their slots, teams, the configuration in force and whether the
/// table is available.
pub fn status(args: &ArgMatches) -> ExitStatus {
    block_on(show(args))
}

async fn show(args: &ArgMatches) -> Result<(), ExitStatus> {
    let answer = Admin::new(args).get("/v1/status").await?;
    if args.get_flag("json") {
        print_json(&answer);
        return Ok(());
    }
    let status: ClusterStatus = serde_json::from_value(answer).map_err(|_| ExitStatus::Failed)?;
    let store = if status.store_up {
        "answers"
    } else {
        "does not answer"
    };
    println!(
        "{}: configuration {} in force; the table {store}",
        status.entry, status.config
    );
    println!(
        "shards owned by this entry: {:?}; requests queued in it: {}",
        status.shards, status.waiting
    );
    println!("\nentries");
    for entry in &status.entries {
        let draining = if entry.draining { "  draining" } else { "" };
        println!(
            "  {:<16} configuration {}{draining}",
            entry.entry.as_str(),
            entry.config
        );
    }
    println!("\nworkers");
    status.agents.iter().for_each(print_agent);
    println!("\nteams");
    status.teams.iter().for_each(print_team);
    Ok(())
}

fn print_agent(agent: &AgentStatus) {
    let flags = [
        (agent.draining, "draining"),
        (agent.quarantined, "quarantined"),
    ];
    let flags: Vec<&str> = flags
        .iter()
        .filter(|(is_set, _)| *is_set)
        .map(|(_, name)| *name)
        .collect();
    let free = format!(
        "{} of {}",
        format_resources(&agent.free),
        format_resources(&agent.capacity)
    );
    let (name, domain) = (agent.agent.as_str(), agent.domain.as_str());
    println!(
        "  {name:<16} {domain:<8} configuration {:<5} free {free}  {}",
        agent.config,
        flags.join(" ")
    );
    for service in &agent.services {
        println!(
            "    {:<14} {} of {} slots free",
            service.service.as_str(),
            service.load.free,
            service.slots
        );
    }
}

fn print_team(team: &TeamStatus) {
    let used = team.used.as_ref().map_or(
        "unknown (another entry accounts for it)".to_owned(),
        format_resources,
    );
    println!(
        "  {:<16} quota {}, used {used}",
        team.team.as_str(),
        format_resources(&team.quota)
    );
}

fn format_resources(resources: &Resources) -> String {
    let processors = f64::from(resources.processors_milli) / 1_000.0;
    let accelerators = match resources.accelerators {
        0 => String::new(),
        count => format!("/{count} accelerators"),
    };
    format!(
        "{processors} processors/{} MB{accelerators}",
        resources.memory_mb
    )
}
