//! Structured logs with numbered events, spans across processes, and metrics.

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
/// Writes the lines that are left when it is dropped.
pub use tracing_appender::non_blocking::WorkerGuard as LogGuard;

/// Milliseconds of a steady clock, which every line carries beside the time of day: the time of
/// day may jump.
///
/// ```
/// let first_ms = telemetry::steady_ms();
/// assert!(telemetry::steady_ms() >= first_ms);
/// ```
pub fn steady_ms() -> u64 {
    utils::boot_ms()
}

/// Logs a numbered event: `log_event!(warn, Event::AgentLost, agent = %id)`.
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
