//! Exchanges state with the other entries.

use crate::control::Control;
use crate::messages::{HearPeer, NewConfig};
use crate::snapshot::Snapshot;
use actix::Addr;
use arc_swap::ArcSwap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use wire::EntryLink;

/// Time between two exchanges with one peer.
const EXCHANGE_EVERY: Duration = Duration::from_millis(1_000);
/// Time for one exchange.
const EXCHANGE_TIMEOUT: Duration = Duration::from_millis(800);
/// Time for fetching a configuration.
const CONFIG_TIMEOUT: Duration = Duration::from_secs(5);

/// Exchanges state with one peer for ever.
pub(crate) async fn run(
    control: Addr<Control>,
    snapshot: Arc<ArcSwap<Snapshot>>,
    peer: SocketAddr,
) {
    let link = EntryLink::new(peer);
    loop {
        if exchange(&control, &snapshot, &link).await.is_none() && !control.connected() {
            return;
        }
        actix_rt::time::sleep(EXCHANGE_EVERY).await;
    }
}

async fn exchange(
    control: &Addr<Control>,
    snapshot: &ArcSwap<Snapshot>,
    link: &EntryLink,
) -> Option<()> {
    let own = control.send(HearPeer(None)).await.ok()?;
    let number = own.config;
    let call = link.call(EXCHANGE_TIMEOUT, |client, context| async move {
        client.exchange(context, own).await
    });
    let state = call.await.ok()?;
    let is_newer = state.config > number || !snapshot.load().loaded;
    control.send(HearPeer(Some(state))).await.ok()?;
    if is_newer {
        fetch(control, link, number).await?;
    }
    Some(())
}

async fn fetch(control: &Addr<Control>, link: &EntryLink, number: u64) -> Option<()> {
    let call = link.call(CONFIG_TIMEOUT, |client, context| async move {
        client.config_after(context, number).await
    });
    let config = call.await.ok().flatten()?;
    control.do_send(NewConfig(config));
    Some(())
}
