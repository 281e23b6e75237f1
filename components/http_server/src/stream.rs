//! Stream of a connection that reads no further than its client takes the answers.

use crate::connection::{Connection, Phase};
use crate::counters::{ConnectionCounters, CountGuard, Counted};
use crate::server::ServerLimits;
use actix_rt::net::TcpStream;
use actix_rt::time::{Sleep, sleep};
use std::collections::VecDeque;
use std::future::Future;
use std::io;
use std::pin::Pin;
use std::task::{Context, Poll, ready};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};

/// Most bytes that are read from a socket at once.
const PIECE_BYTES: usize = 4 << 10;
/// Most bytes that are handed on at once of a body of unknown length, as requests may follow it.
const UNKNOWN_PIECE_BYTES: usize = 64;

/// Stream of an accepted connection.
pub(crate) struct BoundedStream {
    /// The connection's socket.
    io: TcpStream,
    /// State that it shares with request handlers.
    connection: Connection,
    /// Counts of all connections of the server.
    counters: ConnectionCounters,
    /// Limits of the server.
    limits: ServerLimits,
    /// Bytes that have arrived and are not handed on yet; handing on several requests at once would
    /// have all of them decoded, which takes 7 KB each.
    held: VecDeque<u8>,
    /// Finds the end of a head in what is handed on.
    head_end: HeadEnd,
    /// Whether bytes were handed on which are not handled yet.
    has_piece: bool,
    /// Set while answers wait for the client to take them.
    blocked: Option<Blocked>,
    /// Counts this connection as open.
    _open: CountGuard,
}

/// Answers that wait for the client to take them.
struct Blocked {
    /// Elapses when the connection is given up.
    timeout: Pin<Box<Sleep>>,
    /// Counts this connection as blocked.
    _count: CountGuard,
}

impl BoundedStream {
    pub fn new(
        io: TcpStream,
        limits: ServerLimits,
        counters: ConnectionCounters,
        open: CountGuard,
    ) -> Self {
        Self {
            io,
            connection: Connection::new(),
            counters,
            limits,
            held: VecDeque::new(),
            head_end: HeadEnd::default(),
            has_piece: false,
            blocked: None,
            _open: open,
        }
    }

    /// State that request handlers share.
    pub fn connection(&self) -> Connection {
        self.connection.clone()
    }

    /// Whether more may be read now; otherwise the task is woken once it may.
    fn may_read(&mut self, context: &Context<'_>) -> bool {
        let phase = self.connection.phase();
        let is_paused = matches!(phase, Phase::Answering | Phase::Body(0));
        if self.blocked.is_some() || is_paused {
            self.connection.wait(context.waker());
            return false;
        }
        if std::mem::take(&mut self.has_piece) {
            context.waker().wake_by_ref();
            return false;
        }
        true
    }

    /// Number of held bytes that may be handed on now, `limit` at most: those of one request.
    fn next_bytes(&mut self, limit: usize) -> usize {
        let limit = limit.min(self.held.len());
        match self.connection.phase() {
            Phase::Head => self.head_end.find(self.held.iter().copied().take(limit)),
            Phase::Body(left) | Phase::Discarding(left) if left > self.limits.discarded_bytes => {
                limit.min(UNKNOWN_PIECE_BYTES)
            }
            Phase::Body(left) | Phase::Discarding(left) => limit.min(left),
            Phase::Answering => 0,
        }
    }

    /// Hands on as many held bytes as may be now.
    fn hand_on(&mut self, buffer: &mut ReadBuf<'_>) -> io::Result<()> {
        let count = self.next_bytes(buffer.remaining());
        self.check_phase(count)?;
        let handed: Vec<u8> = self.held.drain(..count).collect();
        buffer.put_slice(&handed);
        self.has_piece = true;
        if self.held.is_empty() {
            self.held = VecDeque::new();
        }
        Ok(())
    }

    /// Counts bytes that are handed on, and checks the limits of heads and of discarded bodies.
    fn check_phase(&self, read_bytes: usize) -> io::Result<()> {
        let phase = self.connection.phase();
        let total = self.connection.count_read(read_bytes);
        let is_exceeded = match phase {
            Phase::Head => self.head_end.bytes > self.limits.head_bytes,
            Phase::Discarding(_) => total > self.limits.discarded_bytes,
            Phase::Body(_) | Phase::Answering => false,
        };
        if is_exceeded {
            return Err(io::Error::new(
                io::ErrorKind::InvalidData,
                "the request exceeds a limit",
            ));
        }
        Ok(())
    }

    /// Notes that the client does not take the answers. Fails once it has not for too long, or if
    /// there are too many such clients.
    fn poll_blocked(&mut self, context: &mut Context<'_>) -> io::Result<()> {
        if self.blocked.is_none() {
            let count = self
                .counters
                .count(Counted::Blocked, self.limits.blocked_connections);
            let Some(count) = count else {
                return Err(not_taken());
            };
            self.blocked = Some(Blocked {
                timeout: Box::pin(sleep(self.limits.answer_timeout)),
                _count: count,
            });
        }
        let timeout = self.blocked.as_mut().map(|blocked| &mut blocked.timeout);
        let is_over = timeout.is_some_and(|timeout| timeout.as_mut().poll(context).is_ready());
        if is_over {
            return Err(not_taken());
        }
        Ok(())
    }

    /// Notes that the client has taken all answers so far.
    fn end_blocked(&mut self) {
        if self.blocked.take().is_some() {
            self.connection.wake();
        }
    }
}

/// Error of a connection whose client does not take the answers.
fn not_taken() -> io::Error {
    io::Error::new(io::ErrorKind::TimedOut, "the client does not take answers")
}

impl AsyncRead for BoundedStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        if !self.may_read(context) {
            return Poll::Pending;
        }
        if self.held.is_empty() {
            let mut bytes = [0_u8; PIECE_BYTES];
            let mut piece = ReadBuf::new(&mut bytes);
            ready!(Pin::new(&mut self.io).poll_read(context, &mut piece))?;
            if piece.filled().is_empty() {
                return Poll::Ready(Ok(()));
            }
            self.held.extend(piece.filled());
        }
        Poll::Ready(self.hand_on(buffer))
    }
}

impl AsyncWrite for BoundedStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.io).poll_write(context, bytes);
        if written.is_pending() {
            self.poll_blocked(context)?;
        }
        written
    }

    /// Is called once everything is written.
    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        self.end_blocked();
        Pin::new(&mut self.io).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.io).poll_shutdown(context)
    }
}

/// Finds the empty line that ends the head of a request.
#[derive(Debug, Default)]
struct HeadEnd {
    /// Bytes of a head that has not ended.
    bytes: usize,
    /// Whether the last line feed was followed by nothing but carriage returns.
    is_line_empty: bool,
}

impl HeadEnd {
    /// Number of bytes up to the end of the head, or all of them if it is not among them.
    fn find(&mut self, bytes: impl ExactSizeIterator<Item = u8>) -> usize {
        let all = bytes.len();
        for (index, byte) in bytes.enumerate() {
            match byte {
                b'\n' if self.is_line_empty => {
                    *self = Self::default();
                    return index + 1;
                }
                b'\n' => self.is_line_empty = true,
                b'\r' => {}
                _ => self.is_line_empty = false,
            }
        }
        self.bytes += all;
        all
    }
}
