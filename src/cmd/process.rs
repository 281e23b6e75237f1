//! What the commands that run a process share.

use clap::ArgMatches;
use errors::ExitStatus;
use settings::Settings;
use std::future::Future;
use std::path::PathBuf;
use telemetry::{Event, LogFormat, log_event};
use tokio::signal::unix::{SignalKind, signal};

/// Reads the settings file that the arguments name; prints its faults.
pub fn read_settings(args: &ArgMatches) -> Result<Settings, ExitStatus> {
    let path: &PathBuf = args.get_one("settings").ok_or(ExitStatus::BadSettings)?;
    settings::load(path).map_err(|faults| {
        eprintln!("{faults}");
        ExitStatus::BadSettings
    })
}

/// The form of the log that the arguments name.
pub fn log_format(args: &ArgMatches) -> LogFormat {
    let text: Option<&String> = args.get_one("log-format");
    text.and_then(|text| text.parse().ok())
        .unwrap_or(LogFormat::Text)
}

/// Runs an entry or an agent to its graceful end; `args` name the settings file that a hangup
/// signal has it check again.
pub fn run_node(args: &ArgMatches, main: impl Future<Output = std::io::Result<()>>) -> ExitStatus {
    let path: Option<PathBuf> = args.get_one("settings").cloned();
    run(async {
        actix_rt::spawn(watch_hangups(path.unwrap_or_default()));
        main.await
    })
}

/// Runs a process to its graceful end.
pub fn run(main: impl Future<Output = std::io::Result<()>>) -> ExitStatus {
    match actix_rt::System::new().block_on(main) {
        Ok(()) => ExitStatus::Success,
        Err(error) => {
            log_event!(error, Event::StartFailed, reason = %error);
            eprintln!("can't start: {error}; is another process using an address of the settings?");
            ExitStatus::Failed
        }
    }
}

/// Checks the settings file at each SIGHUP. Settings hold addresses and limits that a process binds
/// at its start, so that a change is in force after a restart; the log says whether that will work.
async fn watch_hangups(path: PathBuf) {
    let mut hangups = match signal(SignalKind::hangup()) {
        Ok(hangups) => hangups,
        Err(error) => {
            log_event!(error, Event::SettingsSeen, reason = %error);
            return;
        }
    };
    let started_with = std::fs::read_to_string(&path).ok();
    while hangups.recv().await.is_some() {
        let changed = std::fs::read_to_string(&path).ok() != started_with;
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

/// Resolves at SIGTERM or SIGINT.
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
