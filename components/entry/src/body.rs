//! Request bodies of callers: buffering, limits and framing checks.

use actix_web::HttpRequest;
use actix_web::http::header::{CONTENT_LENGTH, TRANSFER_ENCODING};
use actix_web::web::Payload;
use bytes::{Bytes, BytesMut};
use errors::{Code, Failure};
use futures::StreamExt;
use futures::stream::{self, LocalBoxStream};
use http_server::Reservation;
use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;

/// Maximum size of a body that is buffered before a slot is requested; only such a body can be
/// sent again on a retry.
const MAX_BUFFERED_BYTES: usize = 256 << 10;
/// Timeout for reading the part of a body that is buffered before a slot is requested.
const READ_TIMEOUT: Duration = Duration::from_secs(30);
/// `Retry-After` for a caller whose body exceeds the memory budget.
const RETRY_AFTER_MS: u64 = 1_000;
/// Maximum time between two pieces of a body.
const SENDER_IDLE_TIMEOUT: Duration = Duration::from_secs(10);

/// The body of a caller's request, buffered as far as possible.
pub(crate) struct CallerBody {
    /// The buffered part, and the rest if any.
    content: Content,
    /// Reserved memory, released with the body.
    _reservation: Reservation,
}

/// How much of a body is buffered.
enum Content {
    /// Fully buffered; can be sent any number of times.
    Complete(Bytes),
    /// Only the head is buffered; the rest is streamed, so the body can be sent once.
    Partial {
        /// The buffered head.
        head: Bytes,
        /// Unread payload; `None` once the first try has taken it.
        rest: Rc<RefCell<Option<Payload>>>,
        /// Total length; `None` if the caller sends chunks.
        length: Option<u64>,
        /// Maximum total size, from the service's `max_body_bytes`.
        limit_bytes: u64,
    },
}

impl CallerBody {
    /// Buffers a body up to [`MAX_BUFFERED_BYTES`], before a slot is requested. Fails if the body
    /// is too slow, too large or malformed, or if the memory budget is exhausted.
    pub async fn read(
        request: &HttpRequest,
        payload: Payload,
        limit_bytes: u64,
        mut reservation: Reservation,
    ) -> Result<Self, Failure> {
        let reading = Content::read(request, payload, limit_bytes, &mut reservation);
        let read = tokio::time::timeout(READ_TIMEOUT, reading).await;
        let content = read.unwrap_or_else(|_| Err(too_slow()))?;
        Ok(Self {
            content,
            _reservation: reservation,
        })
    }

    /// Whether the body can be sent (again); false once a partially buffered one was sent.
    pub fn can_send(&self) -> bool {
        self.content.can_send()
    }

    /// Returns the body as a stream. A second stream of a partially buffered body yields an error.
    pub fn stream(&self) -> LocalBoxStream<'static, Result<Bytes, std::io::Error>> {
        self.content.stream()
    }

    /// Total length; `None` if the caller sends chunks.
    pub fn length(&self) -> Option<u64> {
        match &self.content {
            Content::Complete(bytes) => Some(bytes.len() as u64),
            Content::Partial { length, .. } => *length,
        }
    }
}

impl Content {
    async fn read(
        request: &HttpRequest,
        mut payload: Payload,
        limit_bytes: u64,
        reservation: &mut Reservation,
    ) -> Result<Self, Failure> {
        let length = content_length(request)?;
        if length.is_some_and(|length| length > limit_bytes) {
            return Err(too_large(limit_bytes));
        }
        let is_chunked = request.headers().contains_key(TRANSFER_ENCODING);
        if length.is_none() && !is_chunked {
            return Ok(Self::Complete(Bytes::new()));
        }
        let mut head = BytesMut::new();
        while head.len() <= MAX_BUFFERED_BYTES {
            let piece = tokio::time::timeout(SENDER_IDLE_TIMEOUT, payload.next()).await;
            match piece {
                Err(_) => return Err(too_slow()),
                Ok(None) => return Ok(Self::Complete(head.freeze())),
                Ok(Some(Err(error))) => {
                    let message = format!("the body did not come whole: {error}");
                    return Err(Failure::not_run(Code::BadRequest, message));
                }
                Ok(Some(Ok(piece))) => {
                    if !reservation.try_grow_to(head.len() + piece.len()) {
                        return Err(over_budget());
                    }
                    head.extend_from_slice(&piece);
                }
            }
            if head.len() as u64 > limit_bytes {
                return Err(too_large(limit_bytes));
            }
        }
        let rest = Rc::new(RefCell::new(Some(payload)));
        Ok(Self::Partial {
            head: head.freeze(),
            rest,
            length,
            limit_bytes,
        })
    }

    fn can_send(&self) -> bool {
        match self {
            Self::Complete(_) => true,
            Self::Partial { rest, .. } => rest.borrow().is_some(),
        }
    }

    fn stream(&self) -> LocalBoxStream<'static, Result<Bytes, std::io::Error>> {
        match self {
            Self::Complete(bytes) => stream::iter([Ok(bytes.clone())]).boxed_local(),
            Self::Partial {
                head,
                rest,
                limit_bytes,
                ..
            } => {
                let Some(payload) = rest.borrow_mut().take() else {
                    return stream::iter([Err(std::io::Error::other("sent before"))]).boxed_local();
                };
                let first = stream::iter([Ok(head.clone())]);
                first
                    .chain(limit_stream(payload, head.len() as u64, *limit_bytes))
                    .boxed_local()
            }
        }
    }
}

/// Streams a payload; ends with an error beyond the size limit or if the sender pauses too long.
fn limit_stream(
    payload: Payload,
    passed_bytes: u64,
    limit_bytes: u64,
) -> LocalBoxStream<'static, Result<Bytes, std::io::Error>> {
    let state = (payload, passed_bytes, false);
    stream::unfold(
        state,
        move |(mut payload, passed_bytes, failed)| async move {
            if failed {
                return None;
            }
            let piece = tokio::time::timeout(SENDER_IDLE_TIMEOUT, payload.next()).await;
            let piece = match piece {
                Ok(None) => return None,
                Ok(Some(Ok(piece))) => piece,
                Ok(Some(Err(error))) => {
                    return Some((
                        Err(std::io::Error::other(error.to_string())),
                        (payload, passed_bytes, true),
                    ));
                }
                Err(_) => {
                    return Some((
                        Err(std::io::Error::other("the sender paused")),
                        (payload, passed_bytes, true),
                    ));
                }
            };
            let total_bytes = passed_bytes + piece.len() as u64;
            if total_bytes > limit_bytes {
                return Some((
                    Err(std::io::Error::other("too large")),
                    (payload, total_bytes, true),
                ));
            }
            Some((Ok(piece), (payload, total_bytes, false)))
        },
    )
    .boxed_local()
}

fn too_slow() -> Failure {
    Failure::not_run(Code::CallerTimeout, "the body came too slowly")
}

fn over_budget() -> Failure {
    let failure = Failure::not_run(Code::NoCapacity, "too many large bodies are on their way");
    failure.retry_after(RETRY_AFTER_MS)
}

fn too_large(limit_bytes: u64) -> Failure {
    Failure::not_run(
        Code::TooLarge,
        format!("a body has at most {limit_bytes} bytes"),
    )
}

/// Parses `Content-Length`. Ambiguous framing is refused, because it allows request smuggling.
fn content_length(request: &HttpRequest) -> Result<Option<u64>, Failure> {
    let mut lengths = request.headers().get_all(CONTENT_LENGTH);
    let Some(length) = lengths.next() else {
        return Ok(None);
    };
    let bad = |message: &str| Failure::not_run(Code::BadRequest, message);
    if lengths.next().is_some() {
        return Err(bad("content-length stands twice"));
    }
    if request.headers().contains_key(TRANSFER_ENCODING) {
        return Err(bad("content-length and transfer-encoding stand together"));
    }
    let text = length
        .to_str()
        .map_err(|_| bad("content-length is not a number"))?;
    text.parse()
        .map(Some)
        .map_err(|_| bad("content-length is not a number"))
}
