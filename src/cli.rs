//! Definition of the command line.

use clap::builder::EnumValueParser;
use clap::{Arg, ArgAction, Command, value_parser};
use clap_complete::Shell;
use std::net::SocketAddr;
use std::path::PathBuf;

/// Exit statuses and further reading, shown at the end of `--help`; see [`errors::ExitStatus`].
const AFTER_HELP: &str = "\
Exit statuses:
  0  success
  1  the command ran and failed
  2  invalid settings or arguments; nothing was started or sent
  3  refused; nothing was changed
  4  no answer or a server error; see the verdict in the message

For a first look run 'parsleythread demo'. The operators' guide is in docs/operators/.";

/// Builds the definition of the whole command line.
pub fn command() -> Command {
    Command::new("parsleythread")
        .about("Scheduler for colocated latency-critical and batch work")
        .version(env!("CARGO_PKG_VERSION"))
        .subcommand_required(true)
        .arg_required_else_help(true)
        .after_help(AFTER_HELP)
        .subcommand(process(
            "entry",
            "Run an entry, which accepts requests, jobs and tickets",
        ))
        .subcommand(process("agent", "Run the agent of a backend server VM"))
        .subcommand(
            Command::new("check")
                .about("Validate a settings file without starting anything")
                .arg(settings_arg()),
        )
        .subcommand(ticket())
        .subcommand(job())
        .subcommand(
            with_admin(
                Command::new("status")
                    .about("Show entries, workers, teams and the configuration in force"),
            )
            .arg(
                Arg::new("monitoring")
                    .long("monitoring")
                    .value_name("URL")
                    .help("Show the evacuated domains that a flow entry knows instead; URL of its monitoring server (metrics_listen in its settings)"),
            )
            .arg(json_arg()),
        )
        .subcommand(explain())
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
            .help("Format of the log on standard output"),
    )
}

fn settings_arg() -> Arg {
    Arg::new("settings")
        .long("settings")
        .value_name("FILE")
        .env("PARSLEYTHREAD_SETTINGS")
        .required(true)
        .value_parser(value_parser!(PathBuf))
        .help("Settings file in JSON; comments are allowed")
}

fn json_arg() -> Arg {
    Arg::new("json")
        .long("json")
        .action(ArgAction::SetTrue)
        .help("Print the answer as JSON")
}

fn with_admin(command: Command) -> Command {
    command
        .arg(
            Arg::new("admin")
                .long("admin")
                .value_name("URL")
                .env("PARSLEYTHREAD_ADMIN")
                .default_value("http://127.0.0.1:8101")
                .help("URL of the admin interface of any entry"),
        )
        .arg(
            Arg::new("token")
                .long("token")
                .value_name("TOKEN")
                .env("PARSLEYTHREAD_TOKEN")
                .hide_env_values(true)
                .default_value("")
                .help("Token of the admin interface"),
        )
}

fn file_arg() -> Arg {
    Arg::new("file")
        .value_name("FILE")
        .required(true)
        .value_parser(value_parser!(PathBuf))
        .help("JSON file to send; comments are allowed")
}

fn ticket() -> Command {
    Command::new("ticket")
        .about("Change the configuration by numbered tickets")
        .subcommand_required(true)
        .arg_required_else_help(true)
        .subcommand(with_admin(Command::new("apply").about("Submit a ticket")).arg(file_arg()))
        .subcommand(
            with_admin(Command::new("show").about("Show an accepted ticket")).arg(
                Arg::new("number")
                    .value_name("N")
                    .required(true)
                    .value_parser(value_parser!(u64))
                    .help("Ticket number"),
            ),
        )
        .subcommand(
            with_admin(Command::new("status").about("Show where the newest ticket is in force"))
                .arg(json_arg()),
        )
}

fn job_arg() -> Arg {
    Arg::new("job")
        .value_name("ID")
        .required(true)
        .help("Job ID in the form TEAM.KEY, such as timetabling.rebuild-2026")
}

fn job() -> Command {
    Command::new("job")
        .about("Submit, watch and cancel batch jobs")
        .subcommand_required(true)
        .arg_required_else_help(true)
        .subcommand(with_admin(Command::new("submit").about("Submit a job")).arg(file_arg()))
        .subcommand(
            with_admin(Command::new("status").about("Show the status of a job"))
                .arg(job_arg())
                .arg(
                    Arg::new("wait")
                        .long("wait")
                        .action(ArgAction::SetTrue)
                        .help("Wait until the job has ended"),
                ),
        )
        .subcommand(with_admin(Command::new("cancel").about("Cancel a job")).arg(job_arg()))
}

fn explain() -> Command {
    Command::new("explain")
        .about("Show where a flow's job would be placed now and why, without submitting it")
        .arg(
            Arg::new("monitoring")
                .long("monitoring")
                .value_name("URL")
                .env("PARSLEYTHREAD_MONITORING")
                .required(true)
                .help("URL of the monitoring server of any flow entry (metrics_listen in its settings)"),
        )
        .arg(file_arg())
        .arg(json_arg())
}

fn demo() -> Command {
    Command::new("demo")
        .about("Run a small system on loopback under load, inject failures and check the outcome")
        .arg(
            Arg::new("requests")
                .long("requests")
                .value_name("N")
                .default_value("4000")
                .value_parser(value_parser!(usize))
                .help("Number of requests to send"),
        )
        .arg(
            Arg::new("keep")
                .long("keep")
                .action(ArgAction::SetTrue)
                .help("Keep the system running and print its addresses"),
        )
}

fn standin() -> Command {
    let listen = || {
        Arg::new("listen")
            .long("listen")
            .value_name("ADDRESS")
            .required(true)
            .value_parser(value_parser!(SocketAddr))
            .help("Address to listen on")
    };
    Command::new("standin")
        .about("Run a stand-in (test double) for the platform or a backend server")
        .subcommand_required(true)
        .arg_required_else_help(true)
        .subcommand(
            Command::new("platform")
                .about("Run a stand-in for the table, the object store and the worker runtime")
                .arg(listen()),
        )
        .subcommand(
            Command::new("backend")
                .about("Run a stand-in for a backend server that announces itself to an agent")
                .arg(listen())
                .arg(
                    Arg::new("agent")
                        .long("agent")
                        .value_name("ADDRESS")
                        .required(true)
                        .value_parser(value_parser!(SocketAddr))
                        .help("Local address of the agent (local_listen in its settings)"),
                )
                .arg(
                    Arg::new("service")
                        .long("service")
                        .value_name("NAME")
                        .default_value("rooms")
                        .help("Service to answer for"),
                )
                .arg(
                    Arg::new("slots")
                        .long("slots")
                        .value_name("N")
                        .default_value("8")
                        .value_parser(value_parser!(u32))
                        .help("Number of requests served at once"),
                )
                .arg(
                    Arg::new("work-ms")
                        .long("work-ms")
                        .value_name("MS")
                        .default_value("10")
                        .value_parser(value_parser!(u64))
                        .help("Time to serve a request that names none, in milliseconds"),
                ),
        )
}
