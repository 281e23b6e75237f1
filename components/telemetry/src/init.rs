//! Starts logging and tracing.

use crate::LogFormat;
use crate::exporter::LogExporter;
use opentelemetry::trace::TracerProvider;
use opentelemetry_sdk::trace::{Sampler, SdkTracerProvider};
use tracing_subscriber::filter::{EnvFilter, LevelFilter, Targets};
use tracing_subscriber::prelude::*;

/// Starts logging to standard error and tracing of `trace_ratio` of all requests.
///
/// The variable `PARSLEYTHREAD_LOG` sets the levels, `info` by default.
pub fn init(format: LogFormat, trace_ratio: f64) {
    let sampler = Sampler::ParentBased(Box::new(Sampler::TraceIdRatioBased(trace_ratio)));
    let provider = SdkTracerProvider::builder()
        .with_simple_exporter(LogExporter)
        .with_sampler(sampler)
        .build();
    let own_spans = Targets::new().with_target("parsleythread", LevelFilter::INFO);
    let spans = tracing_opentelemetry::layer()
        .with_tracer(provider.tracer("parsleythread"))
        .with_filter(own_spans);
    let levels = EnvFilter::try_from_env("PARSLEYTHREAD_LOG")
        .unwrap_or_else(|_| EnvFilter::new("info,tarpc=error,actix_server=warn"));
    let lines = tracing_subscriber::fmt::layer()
        .with_writer(std::io::stderr)
        .with_target(false);
    let registry = tracing_subscriber::registry().with(spans);
    let started = match format {
        LogFormat::Text => registry.with(lines.with_filter(levels)).try_init(),
        LogFormat::Json => registry.with(lines.json().with_filter(levels)).try_init(),
    };
    drop(started);
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
