//! Command that soaks the program under test with a range of seeds and prints a line for each.

use clap::{Arg, ArgMatches, Command, value_parser};
use soak::{Options, Outcome, PhaseDurations};
use std::path::{Path, PathBuf};
use std::process::ExitCode;

/// Exit status when a promise was broken.
const PROMISE_BROKEN: u8 = 1;
/// Exit status when a run could not be carried out; it takes precedence over a broken promise.
const NOT_RUN: u8 = 2;

fn command() -> Command {
    let number = |name: &'static str, value: &'static str, help: &'static str| {
        Arg::new(name)
            .long(name)
            .default_value(value)
            .value_parser(value_parser!(u64))
            .help(help)
    };
    Command::new("parsleythread-soak")
        .about("Runs real processes under seeded faults and checks the promises")
        .arg(number("first-seed", "1", "Seed of the first run"))
        .arg(number("seeds", "50", "Number of runs"))
        .arg(number("entries", "3", "Number of entries"))
        .arg(number(
            "agents",
            "4",
            "Number of agents, each with a worker",
        ))
        .arg(number("faults", "7", "Number of faults in a run"))
        .arg(number(
            "deadly-percent",
            "1",
            "Share of the jobs that crash each worker that starts them",
        ))
        .arg(number(
            "limit-percent",
            "3",
            "Share of the jobs that ask for as much as a limit allows, or for more",
        ))
        .arg(number(
            "lost-agents",
            "1",
            "Number of agents that are lost for good in a run",
        ))
        .arg(number(
            "evacuations",
            "1",
            "Number of failure domains that are evacuated in a run",
        ))
        .arg(number(
            "large-tasks",
            "0",
            "Tasks of a large job that ends while all processes are restarted; 0 for none",
        ))
        .arg(number(
            "load-ms",
            "10000",
            "Duration of the load, in milliseconds",
        ))
        .arg(
            Arg::new("program")
                .long("program")
                .value_parser(value_parser!(PathBuf))
                .help("Program under test; by default parsleythread in the folder of this one"),
        )
}

fn number(matches: &ArgMatches, name: &str) -> u64 {
    matches.get_one::<u64>(name).copied().unwrap_or_default()
}

fn program(matches: &ArgMatches) -> std::io::Result<PathBuf> {
    if let Some(path) = matches.get_one::<PathBuf>("program") {
        return Ok(path.clone());
    }
    let own = std::env::current_exe()?;
    Ok(own.with_file_name("parsleythread"))
}

fn options(matches: &ArgMatches, folder: &Path) -> std::io::Result<Options> {
    Ok(Options {
        program: program(matches)?,
        folder: folder.to_owned(),
        entries: number(matches, "entries") as usize,
        agents: number(matches, "agents") as usize,
        faults: number(matches, "faults") as usize,
        deadly_percent: number(matches, "deadly-percent"),
        limit_percent: number(matches, "limit-percent"),
        lost_agents: number(matches, "lost-agents") as usize,
        evacuations: number(matches, "evacuations") as usize,
        large_tasks: number(matches, "large-tasks") as u32,
        durations: PhaseDurations::for_load(number(matches, "load-ms")),
    })
}

fn print_outcome(seed: u64, outcome: &Outcome, folder: &Path) {
    println!(
        "seed {seed}: {} jobs, {} accepted, {} runs, slowest refusal {} ms, settled in {} ms, {} broken",
        outcome.jobs,
        outcome.accepted,
        outcome.runs,
        outcome.slowest_refusal_ms,
        outcome.settled_ms,
        outcome.breaches.len()
    );
    if outcome.breaches.is_empty() {
        return;
    }
    for fault in &outcome.faults {
        let end_ms = fault.at_ms + fault.length_ms;
        println!(
            "  {} to {end_ms} ms: {:?} on {}",
            fault.at_ms, fault.kind, fault.target
        );
    }
    for breach in &outcome.breaches {
        println!("  {breach}");
    }
    println!("  logs: {}", folder.display());
}

async fn soak(matches: &ArgMatches) -> std::io::Result<u8> {
    let first = number(matches, "first-seed");
    let mut status = 0;
    for seed in first..first + number(matches, "seeds") {
        let folder = tempfile::tempdir()?;
        match soak::run(seed, &options(matches, folder.path())?).await {
            Ok(outcome) if outcome.breaches.is_empty() => {
                print_outcome(seed, &outcome, folder.path());
            }
            Ok(outcome) => {
                print_outcome(seed, &outcome, &folder.keep());
                status = status.max(PROMISE_BROKEN);
            }
            Err(error) => {
                println!(
                    "seed {seed}: not run: {error}; logs: {}",
                    folder.keep().display()
                );
                status = NOT_RUN;
            }
        }
    }
    Ok(status)
}

fn main() -> ExitCode {
    let matches = command().get_matches();
    match actix_rt::System::new().block_on(soak(&matches)) {
        Ok(status) => ExitCode::from(status),
        Err(error) => {
            eprintln!("parsleythread-soak: {error}");
            ExitCode::from(NOT_RUN)
        }
    }
}
