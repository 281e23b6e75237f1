//! Measurements of the whole system and of single decisions, with bounds.

mod bounds;
mod cost;
mod deciding;
mod homes;
mod hops;
mod load;
mod lower_bound;
mod neighbour;
mod order;
mod placement;
mod policy;
mod report;
mod requests;
mod results;
mod routes;
mod starts;
mod stats;
mod takeover;
mod trace;
mod work;

use clap::{Arg, Command, value_parser};
use std::path::PathBuf;
use std::process::ExitCode;

fn main() -> ExitCode {
    telemetry::init_quiet();
    let matches = command().get_matches();
    let good = match matches.subcommand() {
        Some(("requests", args)) => requests::run(&only(args)),
        Some(("work", args)) => work::run(&only(args)),
        Some(("policy", args)) => policy::run(&only(args)),
        Some(("report", _)) => report::run(),
        Some(("node", args)) => cost::run_node(
            args.get_one::<PathBuf>("settings")
                .expect("clap requires it"),
        ),
        _ => false,
    };
    if good {
        ExitCode::SUCCESS
    } else {
        ExitCode::FAILURE
    }
}

fn only(args: &clap::ArgMatches) -> Vec<String> {
    args.get_many::<String>("only")
        .into_iter()
        .flatten()
        .cloned()
        .collect()
}

fn command() -> Command {
    let only = || {
        Arg::new("only")
            .long("only")
            .value_name("CASE")
            .action(clap::ArgAction::Append)
            .help("Run only this case; may stand several times")
    };
    Command::new("bench")
        .about("Measurements with bounds; exits 1 when a bound breaks")
        .subcommand_required(true)
        .subcommand(
            Command::new("requests")
                .about("Crest, stragglers, faulty workers, cost of hops and of control")
                .arg(only()),
        )
        .subcommand(
            Command::new("work")
                .about("Placement, routing, starts, takeover, noisy neighbour, order of batch work")
                .arg(only()),
        )
        .subcommand(
            Command::new("policy")
                .about("Deciding time of the scheduler of flows")
                .arg(only()),
        )
        .subcommand(Command::new("report").about("Write the last results as one HTML page"))
        .subcommand(
            Command::new("node").hide(true).arg(
                Arg::new("settings")
                    .required(true)
                    .value_parser(value_parser!(PathBuf)),
            ),
        )
}
