//! Builds HTTP clients with limits.

use crate::connector::StrictConnector;
use awc::{Client, Connector};
use std::time::Duration;

/// Timeouts of an HTTP client.
#[derive(Debug, Clone, Copy)]
pub struct ClientLimits {
    /// Timeout for establishing a connection.
    pub connect: Duration,
    /// Time after which an idle connection is not reused.
    pub keep_alive: Duration,
    /// Timeout for a call up to the head of its response; `None` for no timeout.
    pub call: Option<Duration>,
}

/// Builds a client for the current thread, without a limit on the number of its connections. It
/// follows no redirects.
pub fn build(limits: ClientLimits) -> Client {
    let connector = Connector::new()
        .connector(StrictConnector::default())
        .timeout(limits.connect)
        .conn_keep_alive(limits.keep_alive)
        .limit(0);
    let builder = Client::builder().connector(connector).disable_redirects();
    match limits.call {
        Some(limit) => builder.timeout(limit).finish(),
        None => builder.disable_timeout().finish(),
    }
}
