//! Functions shared by the commands that run a process.

use clap::ArgMatches;
use errors::ExitStatus;
use settings::Settings;
use std::future::Future;
use std::path::PathBuf;
use telemetry::{Event, LogFormat, log_event};
use tokio::signal::unix::{SignalKind, signal};

/// Loads the settings file that the arguments name; prints the errors that it has.
pub fn read_settings(args: &ArgMatches) -> Result<Settings, ExitStatus> {
    let path: &PathBuf = args.get_one("settings").ok_or(ExitStatus::BadSettings)?;
    settings::load(path).map_err(|faults| {
        eprintln!("{faults}");
        ExitStatus::BadSettings
    })
}

/// Returns the log format that the arguments name, [`LogFormat::Text`] if none.
pub fn log_format(args: &ArgMatches) -> LogFormat {
    let text: Option<&String> = args.get_one("log-format");
    text.and_then(|text| text.parse().ok())
        .unwrap_or(LogFormat::Text)
}

/// Runs an entry or an agent until `main` returns. At each SIGHUP, the settings file that `args`
/// name is checked again.
pub fn run_node(args: &ArgMatches, main: impl Future<Output = std::io::Result<()>>) -> ExitStatus {
    let path: Option<PathBuf> = args.get_one("settings").cloned();
    run(async {
        actix_rt::spawn(check_settings_on_hangup(path.unwrap_or_default()));
        main.await
    })
}

/// Runs `main` on a new runtime until it returns; logs and prints its error.
pub fn run(main: impl Future<Output = std::io::Result<()>>) -> ExitStatus {
    match actix_rt::System::new().block_on(main) {
        Ok(()) => ExitStatus::Success,
        Err(error) => {
            log_event!(error, Event::StartFailed, reason = %error);
            eprintln!(
                "can't start: {error}; check that no other process uses a configured address"
            );
            ExitStatus::Failed
        }
    }
}

/// Checks the settings file at each SIGHUP and logs whether it changed and is valid. A process
/// binds the configured addresses and limits when it starts, so a change takes effect after a
/// restart; the log shows whether that restart will work.
async fn check_settings_on_hangup(path: PathBuf) {
    let mut hangups = match signal(SignalKind::hangup()) {
        Ok(hangups) => hangups,
        Err(error) => {
            log_event!(error, Event::SettingsSeen, reason = %error);
            return;
        }
    };
    let initial_text = std::fs::read_to_string(&path).ok();
    while hangups.recv().await.is_some() {
        let changed = std::fs::read_to_string(&path).ok() != initial_text;
        match settings::load(&path) {
            Ok(_) => {
                log_event!(info, Event::SettingsSeen, file = %path.display(), changed, valid = true,
                    in_force = "at the next start");
            }
            Err(faults) => {
                log_event!(error, Event::SettingsSeen, file = %path.display(), changed, valid = false,
                    reason = %faults);
            }
        }
    }
}

/// Waits for SIGTERM or SIGINT. Never resolves if the signal handlers can't be installed.
pub async fn stop_signal() {
    let (Ok(mut term), Ok(mut int)) = (
        signal(SignalKind::terminate()),
        signal(SignalKind::interrupt()),
    ) else {
        return std::future::pending().await;
    };
    tokio::select! {
        _ = term.recv() => {}
        _ = int.recv() => {}
    }
}
