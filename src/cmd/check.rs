//! The `check` command.

use super::process::read_settings;
use clap::ArgMatches;
use errors::ExitStatus;
use settings::Settings;

/// Validates a settings file and prints its errors, without starting anything.
pub fn check(args: &ArgMatches) -> ExitStatus {
    match read_settings(args) {
        Ok(Settings::Entry(settings)) => println!("entry {}: valid settings", settings.id),
        Ok(Settings::Agent(settings)) => println!("agent {}: valid settings", settings.id),
        Ok(Settings::FlowEntry(settings)) => println!("entry {}: valid settings", settings.id),
        Ok(Settings::FlowAgent(settings)) => println!("agent {}: valid settings", settings.id),
        Err(status) => return status,
    }
    ExitStatus::Success
}
