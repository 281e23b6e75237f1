//! Starts logging and tracing.

use crate::exporter::LogExporter;
use crate::{LogFormat, LogGuard};
use opentelemetry::trace::TracerProvider;
use opentelemetry_sdk::trace::{Sampler, SdkTracerProvider};
use std::sync::OnceLock;
use tracing_appender::non_blocking::{ErrorCounter, NonBlockingBuilder};
use tracing_subscriber::filter::{EnvFilter, LevelFilter, Targets};
use tracing_subscriber::prelude::*;

/// Counts lines that were dropped.
static DROPPED: OnceLock<ErrorCounter> = OnceLock::new();

/// Lines of the log that found no room and were dropped.
///
/// ```
/// assert_eq!(telemetry::dropped_lines(), 0);
/// ```
pub fn dropped_lines() -> usize {
    DROPPED.get().map_or(0, ErrorCounter::dropped_lines)
}

/// Lines that wait to be written; further ones are dropped and counted.
const MAX_WAITING_LINES: usize = 8_192;

/// Starts logging to standard output and tracing of `trace_ratio` of all requests.
///
/// Lines are written by a thread of their own; where that falls behind, lines are dropped and
/// counted, see [`dropped_lines`]. The variable `PARSLEYTHREAD_LOG` sets the levels, `info`
/// by default. The result writes what is left when it is dropped.
pub fn init(format: LogFormat, trace_ratio: f64) -> LogGuard {
    let (writer, guard) = NonBlockingBuilder::default()
        .buffered_lines_limit(MAX_WAITING_LINES)
        .lossy(true)
        .finish(std::io::stdout());
    let sampler = Sampler::ParentBased(Box::new(Sampler::TraceIdRatioBased(trace_ratio)));
    let provider = SdkTracerProvider::builder()
        .with_simple_exporter(LogExporter)
        .with_sampler(sampler)
        .build();
    // A second start of the log in one process keeps the first counter.
    let _ = DROPPED.set(writer.error_counter());
    let own_spans = Targets::new().with_target("parsleythread", LevelFilter::INFO);
    let spans = tracing_opentelemetry::layer()
        .with_tracer(provider.tracer("parsleythread"))
        .with_filter(own_spans);
    let levels = EnvFilter::try_from_env("PARSLEYTHREAD_LOG")
        .unwrap_or_else(|_| EnvFilter::new("info,tarpc=error,actix_server=warn"));
    let lines = tracing_subscriber::fmt::layer()
        .with_writer(writer)
        .with_target(false);
    let registry = tracing_subscriber::registry().with(spans);
    let started = match format {
        LogFormat::Text => registry.with(lines.with_filter(levels)).try_init(),
        LogFormat::Json => registry.with(lines.json().with_filter(levels)).try_init(),
    };
    drop(started);
    guard
}

/// Starts logging of warnings only, for programs that print results.
pub fn init_quiet() {
    let levels = EnvFilter::try_from_env("PARSLEYTHREAD_LOG")
        .unwrap_or_else(|_| EnvFilter::new("error,tarpc=off,actix_server=off"));
    let lines = tracing_subscriber::fmt::layer()
        .with_writer(std::io::stderr)
        .with_filter(levels);
    drop(tracing_subscriber::registry().with(lines).try_init());
}
