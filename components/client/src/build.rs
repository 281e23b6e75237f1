//! Builds clients.

use crate::connector::StrictConnector;
use awc::{Client, Connector};
use std::time::Duration;

/// Limits of a client.
#[derive(Debug, Clone, Copy)]
pub struct ClientLimits {
    /// Time for connecting.
    pub connect: Duration,
    /// Time after which an idle connection is not used again.
    pub keep_alive: Duration,
    /// Time for a whole call up to the head of its answer; none if absent.
    pub call: Option<Duration>,
}

/// A client without connections, for this thread.
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
