//! Calls to other entries for state that their digests only announce.

use crate::control::Control;
use crate::messages::{ConfigReceived, LoadsReceived, ViewReceived};
use actix::Addr;
use std::net::SocketAddr;
use std::time::Duration;
use wire::EntryLink;

/// Timeout for fetching a view or loads.
const VIEW_TIMEOUT: Duration = Duration::from_millis(800);
/// Timeout for fetching a configuration.
const CONFIG_TIMEOUT: Duration = Duration::from_secs(5);

/// State to fetch from another entry.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct PeerFetch {
    /// Whether to fetch its view.
    pub view: bool,
    /// Fetch a configuration newer than this number; `None` to fetch none.
    pub config_after: Option<u64>,
}

impl PeerFetch {
    /// Whether there is nothing to fetch.
    pub fn is_empty(&self) -> bool {
        !self.view && self.config_after.is_none()
    }
}

/// Fetches state from a peer over a new connection and sends it to the control thread. Failed
/// calls are ignored; the next digest triggers another fetch.
pub(crate) async fn fetch_from_peer(control: Addr<Control>, peer: SocketAddr, fetch: PeerFetch) {
    let link = EntryLink::new(peer);
    if fetch.view {
        let call = link.call(VIEW_TIMEOUT, |client, context| async move {
            client.view(context).await
        });
        if let Ok(view) = call.await {
            control.do_send(ViewReceived(view));
        }
    }
    if let Some(number) = fetch.config_after {
        let call = link.call(CONFIG_TIMEOUT, |client, context| async move {
            client.config_after(context, number).await
        });
        if let Ok(Some(config)) = call.await {
            control.do_send(ConfigReceived(config));
        }
    }
}

/// Fetches the loads of the agents that send heartbeats to a peer.
pub(crate) async fn fetch_loads(control: Addr<Control>, peer: SocketAddr) {
    let link = EntryLink::new(peer);
    let call = link.call(VIEW_TIMEOUT, |client, context| async move {
        client.loads(context).await
    });
    if let Ok(loads) = call.await {
        control.do_send(LoadsReceived { entry: peer, loads });
    }
}
