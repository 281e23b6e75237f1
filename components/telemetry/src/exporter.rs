//! Exports ended spans to the log.

use crate::{Event, log_event};
use opentelemetry_sdk::error::OTelSdkResult;
use opentelemetry_sdk::trace::{SpanData, SpanExporter};

/// Span exporter that logs each ended span as event 900 ([`Event::Span`]).
#[derive(Debug)]
pub(crate) struct LogExporter;

impl SpanExporter for LogExporter {
    async fn export(&self, batch: Vec<SpanData>) -> OTelSdkResult {
        for span in batch {
            let duration = span
                .end_time
                .duration_since(span.start_time)
                .unwrap_or_default();
            log_event!(
                info,
                Event::Span,
                span = %span.name,
                trace_id = %span.span_context.trace_id(),
                span_id = %span.span_context.span_id(),
                parent_id = %span.parent_span_id,
                duration_us = duration.as_micros() as u64
            );
        }
        Ok(())
    }
}
