//! Shows the state of the cluster.

use super::admin::{Admin, block_on, print_json};
use clap::ArgMatches;
use entry::{AgentStatus, ClusterStatus, TeamStatus};
use errors::ExitStatus;
use model::Resources;

/// Shows workers, slots, teams, what is in force and the store's health.
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
        "shards here: {:?}; requests waiting here: {}",
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
    let marks = [
        (agent.draining, "draining"),
        (agent.quarantined, "quarantined"),
    ];
    let marks: Vec<&str> = marks
        .iter()
        .filter(|(on, _)| *on)
        .map(|(_, mark)| *mark)
        .collect();
    let free = format!("{} of {}", amount(&agent.free), amount(&agent.capacity));
    let (name, domain) = (agent.agent.as_str(), agent.domain.as_str());
    println!(
        "  {name:<16} {domain:<8} configuration {:<5} free {free}  {}",
        agent.config,
        marks.join(" ")
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
    let used = team
        .used
        .as_ref()
        .map_or("counted by another entry".to_owned(), amount);
    println!(
        "  {:<16} uses {used} of {}",
        team.team.as_str(),
        amount(&team.quota)
    );
}

fn amount(resources: &Resources) -> String {
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
