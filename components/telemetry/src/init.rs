//! Initialises logging and tracing.

use crate::exporter::LogExporter;
use crate::{LogFormat, LogGuard};
use opentelemetry::trace::TracerProvider;
use opentelemetry_sdk::trace::{Sampler, SdkTracerProvider};
use std::sync::OnceLock;
use tracing_appender::non_blocking::{ErrorCounter, NonBlockingBuilder};
use tracing_subscriber::filter::{EnvFilter, LevelFilter, Targets};
use tracing_subscriber::prelude::*;

/// Counter of dropped log lines; unset until [`init`] has run.
static DROPPED: OnceLock<ErrorCounter> = OnceLock::new();

/// Returns the number of log lines that were dropped because the queue was full.
///
/// ```
/// assert_eq!(telemetry::dropped_lines(), 0);
/// ```
pub fn dropped_lines() -> usize {
    DROPPED.get().map_or(0, ErrorCounter::dropped_lines)
}

/// Maximum number of log lines queued for the writer thread; further lines are dropped and counted.
const MAX_QUEUED_LINES: usize = 8_192;

/// Starts logging to standard output and traces the share `trace_ratio` (0 to 1) of requests.
///
/// A separate thread writes the lines; when it falls behind, lines are dropped and counted, see
/// [`dropped_lines`]. The environment variable `PARSLEYTHREAD_LOG` sets the levels, `info` by
/// default. Dropping the returned guard writes the lines that are still queued.
pub fn init(format: LogFormat, trace_ratio: f64) -> LogGuard {
    let (writer, guard) = NonBlockingBuilder::default()
        .buffered_lines_limit(MAX_QUEUED_LINES)
        .lossy(true)
        .finish(std::io::stdout());
    let sampler = Sampler::ParentBased(Box::new(Sampler::TraceIdRatioBased(trace_ratio)));
    let provider = SdkTracerProvider::builder()
        .with_simple_exporter(LogExporter)
        .with_sampler(sampler)
        .build();
    // A second call in the same process keeps the first counter.
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

/// Starts logging of errors to standard error, for commands that print results to standard output.
/// `PARSLEYTHREAD_LOG` overrides the levels.
pub fn init_quiet() {
    let levels = EnvFilter::try_from_env("PARSLEYTHREAD_LOG")
        .unwrap_or_else(|_| EnvFilter::new("error,tarpc=off,actix_server=off"));
    let lines = tracing_subscriber::fmt::layer()
        .with_writer(std::io::stderr)
        .with_filter(levels);
    drop(tracing_subscriber::registry().with(lines).try_init());
}
