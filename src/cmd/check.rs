//! Checks a settings file.

use super::process::read_settings;
use clap::ArgMatches;
use errors::ExitStatus;
use settings::Settings;

/// Checks a settings file and starts nothing.
pub fn check(args: &ArgMatches) -> ExitStatus {
    match read_settings(args) {
        Ok(Settings::Entry(settings)) => println!("entry {}: settings are good", settings.id),
        Ok(Settings::Agent(settings)) => println!("agent {}: settings are good", settings.id),
        Ok(Settings::FlowEntry(settings)) => println!("entry {}: settings are good", settings.id),
        Ok(Settings::FlowAgent(settings)) => println!("agent {}: settings are good", settings.id),
        Err(status) => return status,
    }
    ExitStatus::Success
}
