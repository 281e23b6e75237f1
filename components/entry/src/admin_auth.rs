//! Authentication of admin calls by bearer token.

use crate::admin::AdminState;
use actix_web::HttpRequest;
use actix_web::http::header::AUTHORIZATION;
use errors::{Code, Failure};

/// Fails with [`Code::Unauthorized`] if the call does not carry the admin token.
pub(crate) fn check(request: &HttpRequest, admin: &AdminState) -> Result<(), Failure> {
    let header = request
        .headers()
        .get(AUTHORIZATION)
        .and_then(|value| value.to_str().ok());
    let token = header
        .and_then(|header| header.strip_prefix("Bearer "))
        .unwrap_or_default();
    if is_equal_constant_time(token.as_bytes(), admin.token.as_bytes()) {
        return Ok(());
    }
    Err(Failure::not_run(
        Code::Unauthorized,
        "the call needs 'authorization: Bearer {admin token}'",
    ))
}

/// Compares in time that does not depend on where the first difference is.
fn is_equal_constant_time(left: &[u8], right: &[u8]) -> bool {
    let differences = left.iter().zip(right).fold(0, |sum, (a, b)| sum | (a ^ b));
    left.len() == right.len() && differences == 0
}
