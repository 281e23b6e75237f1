//! Propagates trace context between processes (W3C Trace Context).

use opentelemetry::propagation::TextMapPropagator;
use opentelemetry_sdk::propagation::TraceContextPropagator;
use std::collections::HashMap;
use tracing::Span;
use tracing_opentelemetry::OpenTelemetrySpanExt;

/// Header that carries the trace context.
const TRACEPARENT: &str = "traceparent";

/// Makes `span` a child of the remote span in the `traceparent` header; an invalid header has no
/// effect.
///
/// ```
/// telemetry::set_remote_parent(&telemetry::tracing::Span::none(), "nonsense");
/// ```
pub fn set_remote_parent(span: &Span, header: &str) {
    let carrier = HashMap::from([(TRACEPARENT.to_owned(), header.to_owned())]);
    let context = TraceContextPropagator::new().extract(&carrier);
    drop(span.set_parent(context));
}

/// Returns the `traceparent` header for a call made within `span`, or `None` if it is not traced.
///
/// ```
/// assert!(telemetry::traceparent(&telemetry::tracing::Span::none()).is_none());
/// ```
pub fn traceparent(span: &Span) -> Option<String> {
    let mut carrier = HashMap::new();
    TraceContextPropagator::new().inject_context(&span.context(), &mut carrier);
    carrier.remove(TRACEPARENT)
}
