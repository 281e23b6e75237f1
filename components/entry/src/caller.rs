//! What a caller asks for.

use actix_web::HttpRequest;
use actix_web::http::Method;
use errors::{Code, Failure};
use model::{ServiceName, ServiceSpec, TeamName};
use routing::Route;
use wire::{Headers, IDEMPOTENCY_KEY, TEAM};

/// Prefix of the path of every request to a service.
const PATH_PREFIX: &str = "/s/";
/// Longest idempotency key, in bytes.
const MAX_KEY_BYTES: usize = 200;
/// Longest deadline that a caller may ask for, in milliseconds.
const MAX_DEADLINE_MS: u64 = 86_400_000;

/// Where a request goes.
pub(crate) struct Destination {
    /// The service.
    pub service: ServiceName,
    /// Path and query towards the backend server.
    pub path: String,
}

/// Splits `/s/{service}/{rest}`.
pub(crate) fn destination(request: &HttpRequest) -> Result<Destination, Failure> {
    let whole = request
        .uri()
        .path_and_query()
        .map_or("", |path| path.as_str());
    let rest = whole.strip_prefix(PATH_PREFIX).ok_or_else(|| {
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

/// What a caller asks for, beyond the path.
pub(crate) struct Wishes {
    /// Time until the request is of no use any more.
    pub deadline_ms: u64,
    /// Team that pays.
    pub team: TeamName,
    /// Key that marks repetitions.
    pub key: Option<String>,
    /// Whether the request may run twice without harm.
    pub idempotent: bool,
    /// Route, by which run times are learnt.
    pub route: Route,
}

/// Reads the headers that concern parsleythread.
pub(crate) fn wishes(
    request: &HttpRequest,
    destination: &Destination,
    spec: &ServiceSpec,
) -> Result<Wishes, Failure> {
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
    Ok(Wishes {
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

fn request_path(destination: &Destination) -> &str {
    destination.path.split('?').next().unwrap_or_default()
}

fn parse_deadline(text: &str) -> Result<u64, Failure> {
    let wrong = || {
        let message = format!(
            "{} is 1 to {MAX_DEADLINE_MS}, not {text:?}",
            Headers::DEADLINE_MS
        );
        Failure::not_run(Code::BadRequest, message)
    };
    let deadline_ms = text.parse().map_err(|_| wrong())?;
    if (1..=MAX_DEADLINE_MS).contains(&deadline_ms) {
        Ok(deadline_ms)
    } else {
        Err(wrong())
    }
}

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
