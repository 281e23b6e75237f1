//! What a connection may read, by the request that it carries at the moment.

use actix_web::HttpRequest;
use actix_web::http::header::{CONTENT_LENGTH, TRANSFER_ENCODING};
use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::task::Waker;

/// What the bytes that arrive on a connection belong to.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Phase {
    /// To the head of the next request.
    Head,
    /// To the body of the request in progress, of which so many bytes have not been read.
    Body(usize),
    /// To requests after the one in progress: they are not read before its answer.
    Answering,
    /// To the unread body of an answered request, of which so many bytes are discarded.
    Discarding(usize),
}

/// State of a connection that its stream and its request handlers share.
#[derive(Debug)]
struct State {
    /// What the next bytes belong to.
    phase: Cell<Phase>,
    /// Bytes read in the present phase.
    phase_bytes: Cell<usize>,
    /// Task to wake when reading may go on; absent while none waits.
    reader: RefCell<Option<Waker>>,
}

/// A connection, as its request handlers see it; clones refer to the same one.
#[derive(Debug, Clone)]
pub struct Connection(Rc<State>);

impl Connection {
    pub(crate) fn new() -> Self {
        Self(Rc::new(State {
            phase: Cell::new(Phase::Head),
            phase_bytes: Cell::new(0),
            reader: RefCell::new(None),
        }))
    }

    pub(crate) fn phase(&self) -> Phase {
        self.0.phase.get()
    }

    /// Counts bytes that were read. Returns how many there are in the present phase.
    pub(crate) fn count_read(&self, bytes: usize) -> usize {
        let total = self.0.phase_bytes.get().saturating_add(bytes);
        self.0.phase_bytes.set(total);
        match self.phase() {
            Phase::Body(left) => self.0.phase.set(Phase::Body(left.saturating_sub(bytes))),
            Phase::Discarding(left) if left <= bytes => self.enter(Phase::Head),
            Phase::Discarding(left) => self.0.phase.set(Phase::Discarding(left - bytes)),
            Phase::Head | Phase::Answering => {}
        }
        total
    }

    /// Notes the task that waits until reading may go on.
    pub(crate) fn wait(&self, waker: &Waker) {
        *self.0.reader.borrow_mut() = Some(waker.clone());
    }

    /// Wakes the task that waits to read, if there is one.
    pub(crate) fn wake(&self) {
        if let Some(waker) = self.0.reader.borrow_mut().take() {
            waker.wake();
        }
    }

    fn enter(&self, phase: Phase) {
        self.0.phase.set(phase);
        self.0.phase_bytes.set(0);
        self.wake();
    }
}

/// A request in progress on a connection. Until it is dropped, no later request is read.
#[derive(Debug)]
pub struct Exchange {
    /// Connection of the request; `None` if a server of another kind accepted it.
    connection: Option<Connection>,
}

impl Exchange {
    /// Begins the exchange of a request, of which the body may be read.
    pub fn begin(request: &HttpRequest) -> Self {
        let connection = request.conn_data::<Connection>().cloned();
        if let Some(connection) = &connection {
            connection.enter(Phase::Body(body_bytes(request)));
        }
        Self { connection }
    }

    /// Ends the reading of the body, which is complete.
    pub fn end_body(&self) {
        if let Some(connection) = &self.connection {
            connection.enter(Phase::Answering);
        }
    }
}

/// Size of the body that a request announces, in bytes; unlimited if it comes in chunks.
fn body_bytes(request: &HttpRequest) -> usize {
    if request.headers().contains_key(TRANSFER_ENCODING) {
        return usize::MAX;
    }
    let length = request.headers().get(CONTENT_LENGTH);
    let length = length.and_then(|length| length.to_str().ok()?.parse().ok());
    length.unwrap_or(0)
}

impl Drop for Exchange {
    fn drop(&mut self) {
        let Some(connection) = &self.connection else {
            return;
        };
        connection.enter(match connection.phase() {
            Phase::Body(left) if left > 0 => Phase::Discarding(left),
            _ => Phase::Head,
        });
    }
}
