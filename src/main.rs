//! Entry point of the `parsleythread` command: parses the arguments and runs one subcommand.

mod cli;
mod cmd;

use std::process::ExitCode;

fn main() -> ExitCode {
    let matches = cli::command().get_matches();
    let status = match matches.subcommand() {
        Some(("entry", args)) => cmd::entry(args),
        Some(("agent", args)) => cmd::agent(args),
        Some(("check", args)) => cmd::check(args),
        Some(("ticket", args)) => cmd::ticket(args),
        Some(("job", args)) => cmd::job(args),
        Some(("status", args)) => cmd::status(args),
        Some(("explain", args)) => cmd::explain(args),
        Some(("demo", args)) => cmd::demo(args),
        Some(("standin", args)) => cmd::standin(args),
        Some(("completions", args)) => cmd::completions(args),
        _ => unreachable!("clap requires a known command"),
    };
    ExitCode::from(status as u8)
}
