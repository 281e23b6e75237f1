//! Answers of an agent to an entry.

use actix_web::HttpResponse;
use actix_web::http::StatusCode;
use errors::Failure;
use fence::CachedAnswer;
use wire::{BackendLoad, Headers, VERDICT};

/// A refusal or failure, with the slots that are free now.
pub(crate) fn failure(failure: &Failure, load: BackendLoad) -> HttpResponse {
    let status = StatusCode::from_u16(failure.code.http_status()).unwrap_or_default();
    HttpResponse::build(status)
        .insert_header((VERDICT, failure.verdict.to_string()))
        .insert_header((Headers::AGENT_CODE, failure.code.to_string()))
        .insert_header((Headers::FREE, load.free))
        .insert_header((Headers::FREE_LONG, load.free_long))
        .json(failure)
}

/// A whole answer.
pub(crate) fn whole(answer: CachedAnswer, load: Option<BackendLoad>) -> HttpResponse {
    let mut response = head(answer.status, &answer.headers);
    if let Some(load) = load {
        response.insert_header((Headers::FREE, load.free));
        response.insert_header((Headers::FREE_LONG, load.free_long));
    }
    response.body(answer.body)
}

/// The head of an answer.
pub(crate) fn head(status: u16, headers: &[(String, Vec<u8>)]) -> actix_web::HttpResponseBuilder {
    let status = StatusCode::from_u16(status).unwrap_or(StatusCode::BAD_GATEWAY);
    let mut response = HttpResponse::build(status);
    for (name, value) in headers {
        response.append_header((name.as_str(), value.as_slice()));
    }
    response
}
