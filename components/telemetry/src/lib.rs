//! Structured logs with numbered events, spans across processes, and metrics as text.

mod event;
mod exporter;
mod format;
mod init;
mod metrics_text;
mod trace;

pub use event::Event;
pub use format::LogFormat;
pub use init::{dropped_lines, init, init_quiet};
pub use metrics_text::metrics_text;
pub use trace::{set_remote_parent, traceparent};
pub use tracing;
/// Guard returned by [`init`]; dropping it writes the lines that are still queued.
pub use tracing_appender::non_blocking::WorkerGuard as LogGuard;

/// Returns the milliseconds since boot on a monotonic clock. Every log line carries it beside the
/// time of day, because the time of day may jump.
///
/// ```
/// let first_ms = telemetry::steady_ms();
/// assert!(telemetry::steady_ms() >= first_ms);
/// ```
pub fn steady_ms() -> u64 {
    utils::boot_ms()
}

/// Logs a numbered event with its fields: `log_event!(warn, Event::AgentLost, agent = %id)`.
#[macro_export]
macro_rules! log_event {
    ($level:ident, $event:expr $(, $($field:tt)*)?) => {
        $crate::tracing::$level!(
            steady_ms = $crate::steady_ms(),
            event = $event.number(),
            kind = $event.name()
            $(, $($field)*)?
        )
    };
}
