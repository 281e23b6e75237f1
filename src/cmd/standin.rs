//! The `standin` command.

use super::process::{run, stop_signal};
use clap::ArgMatches;
use errors::ExitStatus;
use standin::{BackendOptions, BackendRecord, serve_backend, serve_platform};
use std::net::SocketAddr;
use std::sync::Arc;

/// Runs a stand-in for the platform or a backend server until SIGTERM or SIGINT.
pub fn standin(args: &ArgMatches) -> ExitStatus {
    match args.subcommand() {
        Some(("platform", args)) => run(platform(address(args, "listen"))),
        Some(("backend", args)) => run(backend(BackendOptions {
            service: args
                .get_one::<String>("service")
                .cloned()
                .unwrap_or_default(),
            listen: address(args, "listen"),
            agent: address(args, "agent"),
            slots: args.get_one("slots").copied().unwrap_or(1),
            work_ms: args.get_one("work-ms").copied().unwrap_or(0),
        })),
        _ => ExitStatus::BadSettings,
    }
}

fn address(args: &ArgMatches, name: &str) -> SocketAddr {
    args.get_one(name)
        .copied()
        .unwrap_or_else(|| SocketAddr::from(([127, 0, 0, 1], 0)))
}

async fn platform(listen: SocketAddr) -> std::io::Result<()> {
    let platform = serve_platform(listen)?;
    println!("platform stand-in on http://{}", platform.address);
    stop_signal().await;
    Ok(())
}

async fn backend(options: BackendOptions) -> std::io::Result<()> {
    let backend = serve_backend(&options, Arc::new(BackendRecord::default()))?;
    println!("backend server stand-in on http://{}", backend.address);
    stop_signal().await;
    backend.leave().await;
    backend.server.stop(true).await;
    Ok(())
}
