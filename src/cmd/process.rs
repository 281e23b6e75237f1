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
