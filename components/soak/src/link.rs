//! The way of one process to the store.

use standin::{Relay, RelayMode};
use std::io;
use std::net::SocketAddr;

/// The way of one process to the store.
pub(crate) struct Link {
    /// The relay in between.
    relay: Relay,
}

impl Link {
    /// Starts a relay to the store.
    pub async fn start(store: SocketAddr) -> io::Result<Self> {
        let listen = cluster::free_ports(1)?;
        let relay = Relay::start(listen[0], store).await?;
        Ok(Self { relay })
    }

    /// Where the process finds the store.
    pub fn address(&self) -> SocketAddr {
        self.relay.address
    }

    /// Changes what becomes of connections.
    pub fn set_mode(&self, mode: RelayMode) {
        self.relay.set_mode(mode);
    }
}
