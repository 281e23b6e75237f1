//! The `status` command.

use super::admin::{Admin, block_on, print_json};
use clap::ArgMatches;
use entry::{AgentStatus, ClusterStatus, TeamStatus};
use errors::ExitStatus;
use flow::StayingRuns;
use flow_entry::{EvacuationRuns, EvacuationStatus, FlowEntryStatus};
use model::Resources;

/// Prints the entries, workers with their slots, teams, the configuration in force and whether the
/// table is available, or the evacuated domains that a flow entry knows.
pub fn status(args: &ArgMatches) -> ExitStatus {
    block_on(show(args))
}

async fn show(args: &ArgMatches) -> Result<(), ExitStatus> {
    if let Some(url) = args.get_one::<String>("monitoring") {
        return show_flow_entry(url, args.get_flag("json")).await;
    }
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

async fn show_flow_entry(url: &str, json: bool) -> Result<(), ExitStatus> {
    let answer = Admin::monitoring(url).get("/v1/status").await?;
    if json {
        print_json(&answer);
        return Ok(());
    }
    let status: FlowEntryStatus = serde_json::from_value(answer).map_err(|_| ExitStatus::Failed)?;
    let role = if status.scheduler {
        "the scheduler"
    } else {
        "not the scheduler"
    };
    println!(
        "{}: {role}; configuration {} in force",
        status.entry, status.config
    );
    let read = status.evacuations_read_ago_ms.map_or_else(
        || "not read yet".to_owned(),
        |ago_ms| format!("read {} ago", format_seconds(ago_ms)),
    );
    println!("\nevacuated domains ({read})");
    status.evacuations.iter().for_each(print_evacuation);
    Ok(())
}

fn print_evacuation(evacuation: &EvacuationStatus) {
    let runs = match &evacuation.runs {
        None => "runs are known to the scheduler only".to_owned(),
        Some(EvacuationRuns {
            empty: true,
            workers,
            ..
        }) => format!("{workers} workers, empty"),
        Some(EvacuationRuns { workers, left, .. }) => {
            format!("{workers} workers, {left} runs left")
        }
    };
    println!(
        "  {:<16} requested {} ago  {runs}",
        evacuation.domain.as_str(),
        format_seconds(evacuation.requested_ago_ms)
    );
    let staying = evacuation.runs.map(|runs| runs.staying).unwrap_or_default();
    if staying.total() > 0 {
        println!(
            "    {} can't be moved now: {}",
            staying.total(),
            format_causes(&staying)
        );
    }
}

/// Causes with their numbers of runs; those without any are left out.
fn format_causes(staying: &StayingRuns) -> String {
    let causes = [
        (staying.ends_soon, "end soon"),
        (staying.saves_no_progress, "save no progress"),
        (staying.gang, "in a gang"),
        (staying.disruption_budget, "held by their disruption budget"),
        (staying.duplicated, "with a second run"),
        (staying.no_room, "without room elsewhere"),
    ];
    let present = causes.iter().filter(|(runs, _)| *runs > 0);
    let named: Vec<String> = present
        .map(|(runs, cause)| format!("{runs} {cause}"))
        .collect();
    named.join(", ")
}

fn format_seconds(milliseconds: u64) -> String {
    format!("{:.1} s", milliseconds as f64 / 1_000.0)
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
