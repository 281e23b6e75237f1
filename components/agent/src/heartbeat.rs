//! Heartbeats to entries.

use crate::control::Control;
use crate::messages::{AskEntries, HeartbeatAnswered, NewConfig, NextHeartbeat};
use actix::Addr;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::Notify;
use wire::{EntryLink, Heartbeat};

/// Time for one heartbeat.
const BEAT_TIMEOUT: Duration = Duration::from_millis(900);
/// Time for fetching a configuration.
const CONFIG_TIMEOUT: Duration = Duration::from_secs(5);

/// Sends heartbeats for ever: one each `every`, and one more whenever `soon` is notified.
pub(crate) async fn run(control: Addr<Control>, every: Duration, soon: Rc<Notify>) {
    let mut links: HashMap<SocketAddr, EntryLink> = HashMap::new();
    loop {
        let Ok(entries) = control.send(AskEntries).await else {
            return;
        };
        let Ok(beat) = control.send(NextHeartbeat).await else {
            return;
        };
        links.retain(|address, _| entries.contains(address));
        for address in entries {
            let link = links
                .entry(address)
                .or_insert_with(|| EntryLink::new(address))
                .clone();
            actix_rt::spawn(send(control.clone(), link, beat.clone()));
        }
        drop(actix_rt::time::timeout(every, soon.notified()).await);
    }
}

async fn send(control: Addr<Control>, link: EntryLink, beat: Heartbeat) {
    let number = beat.config;
    let sent = link.call(BEAT_TIMEOUT, |client, context| async move {
        client.heartbeat(context, beat).await
    });
    let Ok(ack) = sent.await else { return };
    let is_behind = control
        .send(HeartbeatAnswered { ack })
        .await
        .unwrap_or(false);
    if !is_behind {
        return;
    }
    let fetched = link.call(CONFIG_TIMEOUT, |client, context| async move {
        client.config_after(context, number).await
    });
    if let Ok(Some(config)) = fetched.await {
        control.do_send(NewConfig(config));
    }
}
