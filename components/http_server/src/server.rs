//! Binds the addresses of a server and limits its connections.

use crate::counters::{ConnectionCounters, Counted};
use crate::refusal::refuse;
use crate::stream::BoundedStream;
use actix_http::error::DispatchError;
use actix_http::{HttpService, KeepAlive, Request, Response};
use actix_rt::net::TcpStream;
use actix_server::{Server, ServerBuilder};
use actix_service::{IntoServiceFactory, Service, ServiceFactory, ServiceFactoryExt};
use actix_service::{fn_service, map_config};
use actix_web::Error;
use actix_web::body::MessageBody;
use actix_web::dev::AppConfig;
use std::fmt::Debug;
use std::io;
use std::net::SocketAddr;
use std::time::Duration;

/// Time for which an unread body is discarded after an early answer, before the connection is closed.
const DISCONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// Most connections beyond the limit that get an answer at once; further ones are closed.
const MAX_REFUSALS: usize = 64;

/// Limits of a server.
#[derive(Debug, Clone, Copy)]
pub struct ServerLimits {
    /// Most connections that are served at once; further ones are answered 503 and closed.
    pub connections: usize,
    /// Most connections of which answers wait for their clients; further ones are closed.
    pub blocked_connections: usize,
    /// Largest head of a request, in bytes, with what the client sends at once after it.
    pub head_bytes: usize,
    /// Most bytes of an unread body that are discarded after an early answer.
    pub discarded_bytes: usize,
    /// Time within which a client must have sent the head of its first request.
    pub head_timeout: Duration,
    /// Time within which a client must take its answers.
    pub answer_timeout: Duration,
    /// Idle time after which a connection is closed.
    pub keep_alive: Duration,
    /// Time that the server gives to its connections when it stops, in seconds.
    pub shutdown_timeout_s: u64,
}

/// Binds a server of one thread to `addresses`. It runs once it is awaited, and handles no signals.
///
/// Handlers begin an [`Exchange`](crate::Exchange) for each request.
///
/// # Errors
/// An address can't be bound.
pub fn bind<F, I, S, B>(
    addresses: &[SocketAddr],
    limits: ServerLimits,
    counters: &ConnectionCounters,
    app: F,
) -> io::Result<Server>
where
    F: Fn() -> I + Send + Clone + 'static,
    I: IntoServiceFactory<S, Request>,
    S: ServiceFactory<Request, Config = AppConfig> + 'static,
    S::Error: Into<Error> + 'static,
    S::InitError: Debug,
    S::Response: Into<Response<B>> + 'static,
    <S::Service as Service<Request>>::Future: 'static,
    S::Service: 'static,
    B: MessageBody + 'static,
{
    let mut builder = ServerBuilder::default()
        .workers(1)
        // Connections are counted and refused below; the server itself would leave them unanswered.
        .max_concurrent_connections(usize::MAX >> 1)
        .disable_signals()
        .shutdown_timeout(limits.shutdown_timeout_s);
    for address in addresses {
        let (app, counters) = (app.clone(), counters.clone());
        let stopping = builder.graceful_shutdown_signal();
        builder = builder.bind("http", address, move || {
            let stopping = stopping.clone();
            let app = app()
                .into_factory()
                .map_err(|error| error.into().error_response());
            let http = HttpService::build()
                .graceful_shutdown_signal(move || {
                    let stopping = stopping.clone();
                    async move { stopping.notified().await }
                })
                .keep_alive(KeepAlive::Timeout(limits.keep_alive))
                .client_request_timeout(limits.head_timeout)
                .client_disconnect_timeout(DISCONNECT_TIMEOUT)
                .on_connect_ext(|io: &BoundedStream, data| {
                    data.insert(io.connection());
                })
                .h1(map_config(app, |_| AppConfig::default()));
            let counters = counters.clone();
            fn_service(move |io| {
                let accepted = accept(io, limits, &counters);
                async move { accepted }
            })
            .and_then(http)
        })?;
    }
    Ok(builder.run())
}

/// Accepts a connection, or refuses it if there are too many.
fn accept(
    io: TcpStream,
    limits: ServerLimits,
    counters: &ConnectionCounters,
) -> Result<(BoundedStream, Option<SocketAddr>), DispatchError> {
    let peer = io.peer_addr().ok();
    if let Some(open) = counters.count(Counted::Open, limits.connections) {
        return Ok((BoundedStream::new(io, limits, counters.clone(), open), peer));
    }
    if let Some(count) = counters.count(Counted::Refused, MAX_REFUSALS) {
        actix_rt::spawn(refuse(io, count));
    }
    Err(DispatchError::Io(io::Error::other("too many connections")))
}
