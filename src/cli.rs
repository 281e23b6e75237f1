//! Arguments of the command line.

use clap::builder::EnumValueParser;
use clap::{Arg, ArgAction, Command, value_parser};
use clap_complete::Shell;
use std::net::SocketAddr;
use std::path::PathBuf;

/// Exit statuses, as shown by `--help`.
const AFTER_HELP: &str = "\
Exit statuses: 0 done; 1 ran and failed; 2 wrong settings or arguments, nothing was started or sent;
3 refused, nothing was changed; 4 no answer, see the verdict in the message.

Start with 'parsleythread demo'. Operators' pages are in docs/operators/.";

/// The whole command line.
pub fn command() -> Command {
    Command::new("parsleythread")
        .about("Scheduler for colocated latency-critical and batch work")
        .version(env!("CARGO_PKG_VERSION"))
        .subcommand_required(true)
        .arg_required_else_help(true)
        .after_help(AFTER_HELP)
        .subcommand(process(
            "entry",
            "Run an entry: takes requests, jobs and tickets",
        ))
        .subcommand(process("agent", "Run the agent of a backend server VM"))
        .subcommand(
            Command::new("check")
                .about("Check a settings file and start nothing")
                .arg(settings_arg()),
        )
        .subcommand(ticket())
        .subcommand(job())
        .subcommand(
            with_admin(Command::new("status").about("Show workers, teams and what is in force"))
                .arg(json_arg()),
        )
        .subcommand(demo())
        .subcommand(standin())
        .subcommand(
            Command::new("completions")
                .about("Print a completion script for a shell")
                .arg(
                    Arg::new("shell")
                        .required(true)
                        .value_parser(EnumValueParser::<Shell>::new()),
                ),
        )
}

fn process(name: &'static str, about: &'static str) -> Command {
    Command::new(name).about(about).arg(settings_arg()).arg(
        Arg::new("log-format")
            .long("log-format")
            .value_name("FORMAT")
            .value_parser(["text", "json"])
            .default_value("text")
            .help("Form of the log on standard output"),
    )
}

fn settings_arg() -> Arg {
    Arg::new("settings")
        .long("settings")
        .value_name("FILE")
        .env("PARSLEYTHREAD_SETTINGS")
        .required(true)
        .value_parser(value_parser!(PathBuf))
        .help("Settings file: JSON with comments")
}

fn json_arg() -> Arg {
    Arg::new("json")
        .long("json")
        .action(ArgAction::SetTrue)
        .help("Print JSON")
}

fn with_admin(command: Command) -> Command {
    command
        .arg(
            Arg::new("admin")
                .long("admin")
                .value_name("URL")
                .env("PARSLEYTHREAD_ADMIN")
                .default_value("http://127.0.0.1:8101")
                .help("Admin address of any entry"),
        )
        .arg(
            Arg::new("token")
                .long("token")
                .value_name("TOKEN")
                .env("PARSLEYTHREAD_TOKEN")
                .hide_env_values(true)
                .default_value("")
                .help("Admin token"),
        )
}

fn file_arg() -> Arg {
    Arg::new("file")
        .value_name("FILE")
        .required(true)
        .value_parser(value_parser!(PathBuf))
        .help("JSON file, comments allowed")
}

fn ticket() -> Command {
    Command::new("ticket")
        .about("Change the configuration by numbered tickets")
        .subcommand_required(true)
        .arg_required_else_help(true)
        .subcommand(with_admin(Command::new("apply").about("Send a ticket")).arg(file_arg()))
        .subcommand(
            with_admin(Command::new("show").about("Show an accepted ticket")).arg(
                Arg::new("number")
                    .value_name("N")
                    .required(true)
                    .value_parser(value_parser!(u64)),
            ),
        )
        .subcommand(
            with_admin(Command::new("status").about("Show which number is in force where"))
                .arg(json_arg()),
        )
}

fn job_arg() -> Arg {
    Arg::new("job")
        .value_name("ID")
        .required(true)
        .help("Job, such as timetabling.rebuild-2026")
}

fn job() -> Command {
    Command::new("job")
        .about("Submit, watch and cancel batch jobs")
        .subcommand_required(true)
        .arg_required_else_help(true)
        .subcommand(with_admin(Command::new("submit").about("Submit a job")).arg(file_arg()))
        .subcommand(
            with_admin(Command::new("status").about("Show a job"))
                .arg(job_arg())
                .arg(
                    Arg::new("wait")
                        .long("wait")
                        .action(ArgAction::SetTrue)
                        .help("Wait for its end"),
                ),
        )
        .subcommand(with_admin(Command::new("cancel").about("Cancel a job")).arg(job_arg()))
}

fn demo() -> Command {
    Command::new("demo")
        .about("Bring up a whole small system on loopback, load it, break it and check it")
        .arg(
            Arg::new("requests")
                .long("requests")
                .value_name("N")
                .default_value("4000")
                .value_parser(value_parser!(usize))
                .help("Requests to send"),
        )
        .arg(
            Arg::new("keep")
                .long("keep")
                .action(ArgAction::SetTrue)
                .help("Leave the system up and print its addresses"),
        )
}

fn standin() -> Command {
    let listen = || {
        Arg::new("listen")
            .long("listen")
            .value_name("ADDRESS")
            .required(true)
            .value_parser(value_parser!(SocketAddr))
    };
    Command::new("standin")
        .about("Run a stand-in for trials: the platform, or a backend server")
        .subcommand_required(true)
        .arg_required_else_help(true)
        .subcommand(
            Command::new("platform")
                .about("Table, object store and runtime")
                .arg(listen()),
        )
        .subcommand(
            Command::new("backend")
                .about("A backend server that announces itself to an agent")
                .arg(listen())
                .arg(
                    Arg::new("agent")
                        .long("agent")
                        .value_name("ADDRESS")
                        .required(true)
                        .value_parser(value_parser!(SocketAddr))
                        .help("Local address of its agent"),
                )
                .arg(
                    Arg::new("service")
                        .long("service")
                        .value_name("NAME")
                        .default_value("rooms"),
                )
                .arg(
                    Arg::new("slots")
                        .long("slots")
                        .value_name("N")
                        .default_value("8")
                        .value_parser(value_parser!(u32)),
                )
                .arg(
                    Arg::new("work-ms")
                        .long("work-ms")
                        .value_name("MS")
                        .default_value("10")
                        .value_parser(value_parser!(u64)),
                ),
        )
}
