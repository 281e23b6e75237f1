//! The body of a caller's request.

use crate::hold::Hold;
use actix_web::HttpRequest;
use actix_web::http::header::{CONTENT_LENGTH, TRANSFER_ENCODING};
use actix_web::web::Payload;
use bytes::{Bytes, BytesMut};
use errors::{Code, Failure};
use futures::StreamExt;
use futures::stream::{self, LocalBoxStream};
use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;

/// Largest body that is read whole before a slot is asked for, and that can be sent again.
const WHOLE_BODY_BYTES: usize = 256 << 10;
/// Longest time for what is read before a slot is asked for.
const READ_LIMIT: Duration = Duration::from_secs(30);
/// Delay that a caller is told when there is no room for its body, in milliseconds.
const RETRY_AFTER_MS: u64 = 1_000;
/// Longest pause of a sender.
const SENDER_IDLE: Duration = Duration::from_secs(10);

/// The body of a caller's request.
pub(crate) struct CallerBody {
    /// What was read of it.
    content: Content,
    /// Its memory.
    _hold: Hold,
}

/// What was read of a body.
enum Content {
    /// Read whole; can be sent any number of times.
    Whole(Bytes),
    /// The head of a large body; the rest is still coming and can be sent once.
    Rest {
        /// What was read already.
        head: Bytes,
        /// What is still coming; taken by the first try.
        rest: Rc<RefCell<Option<Payload>>>,
        /// Whole length, if the caller told it.
        length: Option<u64>,
        /// Most bytes that are passed on.
        limit_bytes: u64,
    },
}

impl CallerBody {
    /// Reads as much of a body as is read before a slot is asked for.
    pub async fn read(
        request: &HttpRequest,
        payload: Payload,
        limit_bytes: u64,
        mut hold: Hold,
    ) -> Result<Self, Failure> {
        let reading = Content::read(request, payload, limit_bytes, &mut hold);
        let read = tokio::time::timeout(READ_LIMIT, reading).await;
        let content = read.unwrap_or_else(|_| Err(too_slow()))?;
        Ok(Self {
            content,
            _hold: hold,
        })
    }

    /// Whether the body can still be sent.
    pub fn can_be_sent(&self) -> bool {
        self.content.can_be_sent()
    }

    /// The body as a stream; of a large body, the only one.
    pub fn stream(&self) -> LocalBoxStream<'static, Result<Bytes, std::io::Error>> {
        self.content.stream()
    }

    /// Whole length, if known.
    pub fn length(&self) -> Option<u64> {
        match &self.content {
            Content::Whole(bytes) => Some(bytes.len() as u64),
            Content::Rest { length, .. } => *length,
        }
    }
}

impl Content {
    async fn read(
        request: &HttpRequest,
        mut payload: Payload,
        limit_bytes: u64,
        hold: &mut Hold,
    ) -> Result<Self, Failure> {
        let length = content_length(request)?;
        if length.is_some_and(|length| length > limit_bytes) {
            return Err(too_large(limit_bytes));
        }
        let is_chunked = request.headers().contains_key(TRANSFER_ENCODING);
        if length.is_none() && !is_chunked {
            return Ok(Self::Whole(Bytes::new()));
        }
        let mut head = BytesMut::new();
        while head.len() <= WHOLE_BODY_BYTES {
            let piece = tokio::time::timeout(SENDER_IDLE, payload.next()).await;
            match piece {
                Err(_) => return Err(too_slow()),
                Ok(None) => return Ok(Self::Whole(head.freeze())),
                Ok(Some(Err(error))) => {
                    let message = format!("the body did not come whole: {error}");
                    return Err(Failure::not_run(Code::BadRequest, message));
                }
                Ok(Some(Ok(piece))) => {
                    if !hold.grow_to(head.len() + piece.len()) {
                        return Err(too_many());
                    }
                    head.extend_from_slice(&piece);
                }
            }
            if head.len() as u64 > limit_bytes {
                return Err(too_large(limit_bytes));
            }
        }
        let rest = Rc::new(RefCell::new(Some(payload)));
        Ok(Self::Rest {
            head: head.freeze(),
            rest,
            length,
            limit_bytes,
        })
    }

    fn can_be_sent(&self) -> bool {
        match self {
            Self::Whole(_) => true,
            Self::Rest { rest, .. } => rest.borrow().is_some(),
        }
    }

    fn stream(&self) -> LocalBoxStream<'static, Result<Bytes, std::io::Error>> {
        match self {
            Self::Whole(bytes) => stream::iter([Ok(bytes.clone())]).boxed_local(),
            Self::Rest {
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
                    .chain(limited(payload, head.len() as u64, *limit_bytes))
                    .boxed_local()
            }
        }
    }
}

/// Passes a payload on, up to a limit and as long as the sender does not pause too long.
fn limited(
    payload: Payload,
    passed_bytes: u64,
    limit_bytes: u64,
) -> LocalBoxStream<'static, Result<Bytes, std::io::Error>> {
    let state = (payload, passed_bytes, false);
    stream::unfold(state, move |(mut payload, passed_bytes, over)| async move {
        if over {
            return None;
        }
        let piece = tokio::time::timeout(SENDER_IDLE, payload.next()).await;
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
    })
    .boxed_local()
}

fn too_slow() -> Failure {
    Failure::not_run(Code::CallerTimeout, "the body came too slowly")
}

fn too_many() -> Failure {
    let failure = Failure::not_run(Code::NoCapacity, "too many large bodies are on their way");
    failure.retry_after(RETRY_AFTER_MS)
}

fn too_large(limit_bytes: u64) -> Failure {
    Failure::not_run(
        Code::TooLarge,
        format!("a body has at most {limit_bytes} bytes"),
    )
}

/// The announced length; two different framings are refused, because they hide requests.
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
