//! The `entry` command.

use super::process::{log_format, read_settings, run_node, stop_signal};
use clap::ArgMatches;
use errors::ExitStatus;
use settings::Settings;

/// Runs the entry that the settings file describes until SIGTERM or SIGINT.
pub fn entry(args: &ArgMatches) -> ExitStatus {
    match read_settings(args) {
        Ok(Settings::Entry(settings)) => {
            let _guard = telemetry::init(log_format(args), settings.trace_ratio);
            run_node(
                args,
                async move { entry::run(*settings, stop_signal()).await },
            )
        }
        Ok(Settings::FlowEntry(settings)) => {
            let _guard = telemetry::init(log_format(args), 0.0);
            run_node(args, async move {
                platform::run_entry(*settings, stop_signal()).await
            })
        }
        Ok(Settings::Agent(_) | Settings::FlowAgent(_)) => {
            eprintln!("the settings file is for an agent; run 'parsleythread agent' with it");
            ExitStatus::BadSettings
        }
        Err(status) => status,
    }
}
