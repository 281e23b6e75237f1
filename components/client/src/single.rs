//! HTTP client over one TCP connection.

use crate::stream::StrictStream;
use actix_rt::net::TcpStream;
use actix_service::Service;
use actix_tls::connect::{ConnectError, ConnectInfo, Connection};
use awc::http::Uri;
use awc::{Client, Connector};
use std::cell::Cell;
use std::future::{Ready, ready};
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::task::{Context, Poll};
use std::time::Duration;

/// Connects to `address` and builds a client all of whose calls use this connection. Once the
/// connection has ended, or was idle for `keep_alive`, a call fails and counts as
/// [never sent](crate::is_never_sent).
///
/// So whoever answers the first call gets all later ones, or nobody does. Make one call at a time.
///
/// ```
/// # actix_rt::System::new().block_on(async {
/// # use std::time::Duration;
/// let listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
/// let address = listener.local_addr().unwrap();
/// let limit = Duration::from_secs(1);
/// client::connect(address, limit, limit).await.expect("the port is open");
/// drop(listener);
/// let error = client::connect(address, limit, limit).await.err().unwrap();
/// assert_eq!(error.kind(), std::io::ErrorKind::ConnectionRefused);
/// # });
/// ```
///
/// # Errors
/// The connection is refused, fails, or is not made within `limit`.
pub async fn connect(
    address: SocketAddr,
    limit: Duration,
    keep_alive: Duration,
) -> io::Result<Client> {
    let connecting = actix_rt::time::timeout(limit, TcpStream::connect(address));
    let stream = connecting.await.map_err(|_| io::ErrorKind::TimedOut)??;
    drop(stream.set_nodelay(true));
    let connector = Connector::new()
        .connector(SingleConnector(Rc::new(Cell::new(Some(stream)))))
        .conn_keep_alive(keep_alive);
    let builder = Client::builder().connector(connector);
    Ok(builder.disable_redirects().disable_timeout().finish())
}

/// Hands out one connection that exists already, and none after it.
#[derive(Clone)]
struct SingleConnector(Rc<Cell<Option<TcpStream>>>);

impl Service<ConnectInfo<Uri>> for SingleConnector {
    type Response = Connection<Uri, StrictStream>;
    type Error = ConnectError;
    type Future = Ready<Result<Self::Response, Self::Error>>;

    fn poll_ready(&self, _: &mut Context<'_>) -> Poll<Result<(), Self::Error>> {
        Poll::Ready(Ok(()))
    }

    fn call(&self, info: ConnectInfo<Uri>) -> Self::Future {
        let uri = info.request().clone();
        ready(match self.0.take() {
            Some(stream) => Ok(Connection::new(uri, StrictStream(stream))),
            None => Err(ConnectError::Io(io::ErrorKind::NotConnected.into())),
        })
    }
}
