//! The `agent` command.

use super::process::{log_format, read_settings, run_node, stop_signal};
use clap::ArgMatches;
use errors::ExitStatus;
use settings::Settings;

/// Runs the agent that the settings file describes until SIGTERM or SIGINT.
pub fn agent(args: &ArgMatches) -> ExitStatus {
    match read_settings(args) {
        Ok(Settings::Agent(settings)) => {
            // Entries decide which requests are traced; an agent follows their decision.
            let _guard = telemetry::init(log_format(args), 0.0);
            run_node(
                args,
                async move { agent::run(*settings, stop_signal()).await },
            )
        }
        Ok(Settings::FlowAgent(settings)) => {
            let _guard = telemetry::init(log_format(args), 0.0);
            run_node(args, async move {
                platform::run_agent(*settings, stop_signal()).await
            })
        }
        Ok(Settings::Entry(_) | Settings::FlowEntry(_)) => {
            eprintln!("the settings file is for an entry; run 'parsleythread entry' with it");
            ExitStatus::BadSettings
        }
        Err(status) => status,
    }
}
