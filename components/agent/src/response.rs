//! HTTP responses of an agent to an entry.

use actix_web::HttpResponse;
use actix_web::http::StatusCode;
use errors::Failure;
use fence::CachedAnswer;
use wire::{BackendLoad, Headers, VERDICT};

/// Builds the response for a refused or failed request; `load` goes into headers, so that the
/// entry learns the free slots.
pub(crate) fn failure(failure: &Failure, load: BackendLoad) -> HttpResponse {
    let status = StatusCode::from_u16(failure.code.http_status()).unwrap_or_default();
    HttpResponse::build(status)
        .insert_header((VERDICT, failure.verdict.to_string()))
        .insert_header((Headers::AGENT_CODE, failure.code.to_string()))
        .insert_header((Headers::FREE, load.free))
        .insert_header((Headers::FREE_LONG, load.free_long))
        .json(failure)
}

/// Builds the response from an answer that was read completely; a replay carries no `load`.
pub(crate) fn complete(answer: CachedAnswer, load: Option<BackendLoad>) -> HttpResponse {
    let mut response = head(answer.status, &answer.headers);
    if let Some(load) = load {
        response.insert_header((Headers::FREE, load.free));
        response.insert_header((Headers::FREE_LONG, load.free_long));
    }
    response.body(answer.body)
}

/// Starts a response with the status and headers of a backend server; a status that is no valid
/// HTTP status becomes 502.
pub(crate) fn head(status: u16, headers: &[(String, Vec<u8>)]) -> actix_web::HttpResponseBuilder {
    let status = StatusCode::from_u16(status).unwrap_or(StatusCode::BAD_GATEWAY);
    let mut response = HttpResponse::build(status);
    for (name, value) in headers {
        response.append_header((name.as_str(), value.as_slice()));
    }
    response
}
