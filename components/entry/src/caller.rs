//! Parsing of a caller's path and headers.

use actix_web::HttpRequest;
use actix_web::http::Method;
use errors::{Code, Failure};
use model::{ServiceName, ServiceSpec, TeamName};
use routing::Route;
use wire::{Headers, IDEMPOTENCY_KEY, TEAM};

/// Path prefix of all requests to services.
const PATH_PREFIX: &str = "/s/";
/// Maximum length of an idempotency key.
const MAX_KEY_BYTES: usize = 200;
/// Maximum deadline that a caller may request: one day.
const MAX_DEADLINE_MS: u64 = 86_400_000;

/// Service and path that a request addresses.
pub(crate) struct Destination {
    /// Name of the service; it may not exist.
    pub service: ServiceName,
    /// Path and query that the backend server receives.
    pub path: String,
}

/// Splits `/s/{service}/{rest}` into the service and the path at its backend server.
pub(crate) fn parse_destination(request: &HttpRequest) -> Result<Destination, Failure> {
    let path_and_query = request
        .uri()
        .path_and_query()
        .map_or("", |path| path.as_str());
    let rest = path_and_query.strip_prefix(PATH_PREFIX).ok_or_else(|| {
        Failure::not_run(
            Code::NotFound,
            "the path is /s/{service}/{path of the service}",
        )
    })?;
    let end = rest.find(['/', '?']).unwrap_or(rest.len());
    let (service, path) = rest.split_at(end);
    let path = if path.starts_with('/') {
        path.to_owned()
    } else {
        format!("/{path}")
    };
    Ok(Destination {
        service: service.into(),
        path,
    })
}

/// Options of a request, from its headers and the service's defaults.
pub(crate) struct RequestOptions {
    /// Time from arrival after which an answer is of no use to the caller.
    pub deadline_ms: u64,
    /// Team whose weight applies in the queue; by default the one that owns the service.
    pub team: TeamName,
    /// Idempotency key; `None` if the caller sends none.
    pub key: Option<String>,
    /// Whether the request may safely run twice. Never with a key: such a request runs at most
    /// once.
    pub idempotent: bool,
    /// Route under which run times are recorded.
    pub route: Route,
}

/// Reads parsleythread's own headers; fails if one is malformed, repeated or out of range.
pub(crate) fn parse_options(
    request: &HttpRequest,
    destination: &Destination,
    spec: &ServiceSpec,
) -> Result<RequestOptions, Failure> {
    let key = header(request, IDEMPOTENCY_KEY)?;
    if key
        .as_ref()
        .is_some_and(|key| key.is_empty() || key.len() > MAX_KEY_BYTES)
    {
        let message = format!("{IDEMPOTENCY_KEY} has 1 to {MAX_KEY_BYTES} bytes");
        return Err(Failure::not_run(Code::BadRequest, message));
    }
    let deadline_ms = match header(request, Headers::DEADLINE_MS)? {
        None => spec.deadline_ms,
        Some(text) => parse_deadline(&text)?,
    };
    let team = header(request, TEAM)?.map_or_else(|| spec.team.clone(), TeamName::from);
    let method = request.method();
    let is_safe = [
        Method::GET,
        Method::HEAD,
        Method::PUT,
        Method::DELETE,
        Method::OPTIONS,
    ];
    Ok(RequestOptions {
        deadline_ms,
        team,
        idempotent: key.is_none() && (spec.idempotent || is_safe.contains(method)),
        key,
        route: Route::of(
            destination.service.as_str(),
            method.as_str(),
            request_path(destination),
        ),
    })
}

/// The path without its query, so that one route covers all queries.
fn request_path(destination: &Destination) -> &str {
    destination.path.split('?').next().unwrap_or_default()
}

fn parse_deadline(text: &str) -> Result<u64, Failure> {
    let out_of_range = || {
        let message = format!(
            "{} is 1 to {MAX_DEADLINE_MS}, not {text:?}",
            Headers::DEADLINE_MS
        );
        Failure::not_run(Code::BadRequest, message)
    };
    let deadline_ms = text.parse().map_err(|_| out_of_range())?;
    if (1..=MAX_DEADLINE_MS).contains(&deadline_ms) {
        Ok(deadline_ms)
    } else {
        Err(out_of_range())
    }
}

/// Returns a header's text; fails if it is given more than once or is not printable ASCII.
fn header(request: &HttpRequest, name: &str) -> Result<Option<String>, Failure> {
    let mut values = request.headers().get_all(name);
    let Some(value) = values.next() else {
        return Ok(None);
    };
    if values.next().is_some() {
        return Err(Failure::not_run(
            Code::BadRequest,
            format!("{name} stands twice"),
        ));
    }
    let text = value.to_str().map_err(|_| {
        Failure::not_run(Code::BadRequest, format!("{name} is not printable ASCII"))
    })?;
    Ok(Some(text.to_owned()))
}
