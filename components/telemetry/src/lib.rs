//! Structured logs with numbered events, spans across processes, and metrics.

mod event;
mod exporter;
mod format;
mod init;
mod trace;

pub use event::Event;
pub use format::LogFormat;
pub use init::{init, init_quiet};
pub use trace::{adopt_parent, traceparent};
pub use tracing;

/// Logs a numbered event: `log_event!(warn, Event::AgentLost, agent = %id)`.
#[macro_export]
macro_rules! log_event {
    ($level:ident, $event:expr $(, $($field:tt)*)?) => {
        $crate::tracing::$level!(event = $event.number(), kind = $event.name() $(, $($field)*)?)
    };
}
