//! Benchmarks of the whole system and of single decisions, checked against bounds.

mod bounds;
mod cost;
mod deciding;
mod duplicates;
mod homes;
mod hops;
mod load;
mod lower_bound;
mod near;
mod neighbour;
mod order;
mod placement;
mod policy;
mod preempting;
mod report;
mod requests;
mod results;
mod routes;
mod shares;
mod starts;
mod stats;
mod takeover;
mod trace;
mod waiting;
mod work;

use clap::{Arg, Command, value_parser};
use std::path::PathBuf;
use std::process::ExitCode;

fn main() -> ExitCode {
    telemetry::init_quiet();
    let matches = command().get_matches();
    let is_success = match matches.subcommand() {
        Some(("requests", args)) => requests::run(&selected_cases(args)),
        Some(("work", args)) => work::run(&selected_cases(args)),
        Some(("policy", args)) => policy::run(&selected_cases(args)),
        Some(("report", _)) => report::run(),
        Some(("node", args)) => cost::run_node(
            args.get_one::<PathBuf>("settings")
                .expect("clap requires the argument"),
        ),
        _ => false,
    };
    if is_success {
        ExitCode::SUCCESS
    } else {
        ExitCode::FAILURE
    }
}

/// Cases named by `--only`; empty for all.
fn selected_cases(args: &clap::ArgMatches) -> Vec<String> {
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
            .help("Run only this case; can be repeated")
    };
    Command::new("bench")
        .about("Benchmarks with bounds; exits with 1 if a bound is missed")
        .subcommand_required(true)
        .subcommand(
            Command::new("requests")
                .about("Overload, stragglers, faulty workers, cost of hops and of control traffic")
                .arg(only()),
        )
        .subcommand(
            Command::new("work")
                .about("Placement, routing, starts, takeover, noisy neighbour, order of batch work")
                .arg(only()),
        )
        .subcommand(
            Command::new("policy")
                .about("Times of decisions and passes of the scheduler of flows")
                .arg(only()),
        )
        .subcommand(Command::new("report").about("Write the saved results to an HTML page"))
        .subcommand(
            Command::new("node").hide(true).arg(
                Arg::new("settings")
                    .required(true)
                    .value_parser(value_parser!(PathBuf)),
            ),
        )
}
