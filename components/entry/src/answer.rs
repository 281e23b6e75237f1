//! HTTP responses to callers and operators.

use crate::metrics::Metrics;
use actix_web::http::StatusCode;
use actix_web::http::header::RETRY_AFTER;
use actix_web::{HttpResponse, HttpResponseBuilder};
use errors::Failure;
use model::RequestId;
use serde::Serialize;
use wire::{REQUEST_ID, VERDICT};

/// Milliseconds per second; `Retry-After` is in seconds.
const MS_PER_S: u64 = 1_000;

/// JSON body of a refused or failed call.
#[derive(Serialize)]
struct FailureBody<'a> {
    /// Whether the request ran: `not-run`, `may-have-run` or `ran`.
    verdict: String,
    /// Failure code in kebab case.
    code: String,
    /// Human-readable description.
    message: &'a str,
    /// Delay before a retry makes sense, if the entry can estimate it.
    retry_after_ms: Option<u64>,
    /// Id of the request; absent for admin calls.
    request_id: Option<String>,
}

/// Counts a failure and builds the response for it, with its verdict in a header and in the body.
pub(crate) fn failure(metrics: &Metrics, failure: &Failure, id: Option<RequestId>) -> HttpResponse {
    metrics.count_failure(failure);
    let status = StatusCode::from_u16(failure.code.http_status()).unwrap_or_default();
    let mut response = HttpResponse::build(status);
    response.insert_header((VERDICT, failure.verdict.to_string()));
    if let Some(delay_ms) = failure.retry_after_ms {
        response.insert_header((RETRY_AFTER, delay_ms.div_ceil(MS_PER_S).max(1)));
    }
    if let Some(id) = id {
        response.insert_header((REQUEST_ID, id.to_string()));
    }
    response.json(FailureBody {
        verdict: failure.verdict.to_string(),
        code: failure.code.to_string(),
        message: &failure.message,
        retry_after_ms: failure.retry_after_ms,
        request_id: id.map(|id| id.to_string()),
    })
}

/// Starts a response with a backend server's status and headers, plus the request id.
pub(crate) fn head(
    status: u16,
    headers: &[(String, Vec<u8>)],
    id: RequestId,
) -> HttpResponseBuilder {
    let mut response = HttpResponse::build(StatusCode::from_u16(status).unwrap_or_default());
    for (name, value) in headers {
        response.append_header((name.as_str(), value.as_slice()));
    }
    response.insert_header((REQUEST_ID, id.to_string()));
    response
}
