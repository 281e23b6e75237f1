//! Bodies of requests: bounded in size, in time, and in memory together.

use crate::Reservation;
use actix_web::HttpRequest;
use actix_web::http::header::CONTENT_LENGTH;
use actix_web::web::Payload;
use bytes::{Bytes, BytesMut};
use futures::StreamExt;
use std::time::Duration;

/// Limits of one body.
#[derive(Debug, Clone, Copy)]
pub struct BodyLimits {
    /// Largest body, in bytes.
    pub bytes: usize,
    /// Time within which the whole body must arrive.
    pub timeout: Duration,
}

/// Why a body was not read to its end.
#[derive(Debug, thiserror::Error)]
pub enum BodyError {
    /// It is larger than the limit, in bytes.
    #[error("the body exceeds the limit of {0} bytes")]
    TooLarge(usize),
    /// It did not arrive within the time.
    #[error("the body did not arrive in {0:?}")]
    TooSlow(Duration),
    /// The bodies of other requests take all the memory for them.
    #[error("too many large bodies are being read")]
    NoMemory,
    /// The connection failed, or the body is malformed.
    #[error("the body did not arrive whole: {0}")]
    Broken(String),
}

/// Reads the body of a request, for which memory is reserved as it arrives.
///
/// # Errors
/// It is too large, too slow or malformed, or the memory for bodies is exhausted.
pub async fn read_body(
    request: &HttpRequest,
    payload: Payload,
    limits: BodyLimits,
    reservation: &mut Reservation,
) -> Result<Bytes, BodyError> {
    let length = request.headers().get(CONTENT_LENGTH);
    let length = length
        .and_then(|length| length.to_str().ok()?.parse().ok())
        .unwrap_or(0_usize);
    if length > limits.bytes {
        return Err(BodyError::TooLarge(limits.bytes));
    }
    let reading = collect(payload, limits.bytes, reservation);
    let read = tokio::time::timeout(limits.timeout, reading).await;
    read.unwrap_or(Err(BodyError::TooSlow(limits.timeout)))
}

/// Collects the pieces of a body.
async fn collect(
    mut payload: Payload,
    limit_bytes: usize,
    reservation: &mut Reservation,
) -> Result<Bytes, BodyError> {
    let mut body = BytesMut::new();
    while let Some(piece) = payload.next().await {
        let piece = piece.map_err(|error| BodyError::Broken(error.to_string()))?;
        let total = body.len() + piece.len();
        if total > limit_bytes {
            return Err(BodyError::TooLarge(limit_bytes));
        }
        if total > body.capacity() {
            // Growth doubles the buffer, so that this much is taken next.
            let grown = total.max(2 * body.capacity()).min(limit_bytes);
            if !reservation.try_grow_to(grown) {
                return Err(BodyError::NoMemory);
            }
            body.reserve(grown - body.len());
        }
        body.extend_from_slice(&piece);
    }
    Ok(body.freeze())
}
