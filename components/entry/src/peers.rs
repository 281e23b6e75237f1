//! Calls to the other entries for what their digests do not tell.

use crate::control::Control;
use crate::messages::{HearLoads, HearView, NewConfig};
use actix::Addr;
use std::net::SocketAddr;
use std::time::Duration;
use wire::EntryLink;

/// Time for fetching a view or loads.
const VIEW_TIMEOUT: Duration = Duration::from_millis(800);
/// Time for fetching a configuration.
const CONFIG_TIMEOUT: Duration = Duration::from_secs(5);

/// What is wanted of another entry.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct Wanted {
    /// Its view.
    pub view: bool,
    /// A configuration newer than this number.
    pub config_after: Option<u64>,
}

impl Wanted {
    /// Whether nothing is wanted.
    pub fn is_nothing(&self) -> bool {
        !self.view && self.config_after.is_none()
    }
}

/// Fetches what is wanted of a peer, over a connection for just this.
pub(crate) async fn fetch(control: Addr<Control>, peer: SocketAddr, wanted: Wanted) {
    let link = EntryLink::new(peer);
    if wanted.view {
        let call = link.call(VIEW_TIMEOUT, |client, context| async move {
            client.view(context).await
        });
        if let Ok(view) = call.await {
            control.do_send(HearView(view));
        }
    }
    if let Some(number) = wanted.config_after {
        let call = link.call(CONFIG_TIMEOUT, |client, context| async move {
            client.config_after(context, number).await
        });
        if let Ok(Some(config)) = call.await {
            control.do_send(NewConfig(config));
        }
    }
}

/// Fetches the loads of the agents that a peer hears.
pub(crate) async fn fetch_loads(control: Addr<Control>, peer: SocketAddr) {
    let link = EntryLink::new(peer);
    let call = link.call(VIEW_TIMEOUT, |client, context| async move {
        client.loads(context).await
    });
    if let Ok(loads) = call.await {
        control.do_send(HearLoads { home: peer, loads });
    }
}
