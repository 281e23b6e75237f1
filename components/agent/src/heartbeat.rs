//! Heartbeats to entries.

use crate::control::Control;
use crate::messages::{AskEntries, HeartbeatAnswered, IsBehind, NewConfig, NextHeartbeat};
use actix::Addr;
use std::cell::RefCell;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::Notify;
use wire::{EntryLink, Heartbeat};

/// Time for a whole heartbeat.
const BEAT_TIMEOUT: Duration = Duration::from_millis(600);
/// Time for the answer to a pulse.
const PULSE_TIMEOUT: Duration = Duration::from_millis(300);
/// Time for fetching a configuration.
const CONFIG_TIMEOUT: Duration = Duration::from_secs(5);

/// What an entry has confirmed.
#[derive(Clone)]
struct Confirmed {
    /// The heartbeat.
    beat: Heartbeat,
    /// Tag of the set of entries.
    entries_tag: u64,
}

/// One entry as the receiver of heartbeats.
struct Receiver {
    /// Link to the entry.
    link: EntryLink,
    /// What the entry has confirmed.
    confirmed: RefCell<Option<Confirmed>>,
}

/// Sends heartbeats for ever: one each `every`, and one more whenever `soon` is notified.
pub(crate) async fn run(control: Addr<Control>, every: Duration, soon: Rc<Notify>) {
    let mut receivers: HashMap<SocketAddr, Rc<Receiver>> = HashMap::new();
    loop {
        let Ok(entries) = control.send(AskEntries).await else {
            return;
        };
        let Ok(beat) = control.send(NextHeartbeat).await else {
            return;
        };
        receivers.retain(|address, _| entries.contains(address));
        for address in entries {
            let fresh = || {
                let link = EntryLink::new(address);
                Rc::new(Receiver {
                    link,
                    confirmed: RefCell::default(),
                })
            };
            let receiver = receivers.entry(address).or_insert_with(fresh).clone();
            actix_rt::spawn(send(control.clone(), receiver, beat.clone()));
        }
        drop(actix_rt::time::timeout(every, soon.notified()).await);
    }
}

/// Sends a pulse where that tells all, and a whole heartbeat otherwise.
async fn send(control: Addr<Control>, receiver: Rc<Receiver>, beat: Heartbeat) {
    let confirmed = receiver.confirmed.borrow().clone();
    let can_pulse = confirmed.filter(|confirmed| beat.differs_by_pulse_only(&confirmed.beat));
    let sent = match can_pulse {
        Some(confirmed) => send_pulse(&control, &receiver, &beat, &confirmed).await,
        None => None,
    };
    let behind = match sent {
        Some(behind) => behind,
        None => send_whole(&control, &receiver, beat.clone()).await,
    };
    if behind {
        fetch_config(&control, &receiver.link, beat.config).await;
    }
}

/// Sends a pulse; `None` if a whole heartbeat is needed, and otherwise whether a newer
/// configuration is in force there.
async fn send_pulse(
    control: &Addr<Control>,
    receiver: &Receiver,
    beat: &Heartbeat,
    confirmed: &Confirmed,
) -> Option<bool> {
    let sent = wire::send_pulse(receiver.link.address(), &beat.pulse(), PULSE_TIMEOUT).await;
    let Ok(ack) = sent else {
        receiver.confirmed.take();
        return None;
    };
    if !ack.known || ack.entries_tag != confirmed.entries_tag {
        return None;
    }
    Some(control.send(IsBehind(ack.config)).await.unwrap_or(false))
}

async fn send_whole(control: &Addr<Control>, receiver: &Receiver, beat: Heartbeat) -> bool {
    let sent = beat.clone();
    let call = receiver
        .link
        .call(BEAT_TIMEOUT, |client, context| async move {
            client.heartbeat(context, sent).await
        });
    let Ok(ack) = call.await else {
        receiver.confirmed.take();
        return false;
    };
    let entries_tag = ack.entries_tag;
    receiver
        .confirmed
        .replace(Some(Confirmed { beat, entries_tag }));
    control
        .send(HeartbeatAnswered { ack })
        .await
        .unwrap_or(false)
}

async fn fetch_config(control: &Addr<Control>, link: &EntryLink, number: u64) {
    let fetched = link.call(CONFIG_TIMEOUT, |client, context| async move {
        client.config_after(context, number).await
    });
    if let Ok(Some(config)) = fetched.await {
        control.do_send(NewConfig(config));
    }
}
