//! Heartbeats to entries.

use crate::control::Control;
use crate::messages::{AskEntries, HeartbeatAnswered, IsBehind, NewConfig, NextHeartbeat};
use actix::Addr;
use membership::HomeSelector;
use model::AgentId;
use std::cell::RefCell;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::Notify;
use utils::Clock;
use wire::{EntryLink, Heartbeat};

/// Time for a whole heartbeat.
const BEAT_TIMEOUT: Duration = Duration::from_millis(600);
/// Time for the answer to a pulse.
const PULSE_TIMEOUT: Duration = Duration::from_millis(300);
/// One of so many pulses is answered.
const ANSWERED_PULSES: u64 = 2;
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

impl Receiver {
    fn new(entry: SocketAddr) -> Self {
        Self {
            link: EntryLink::new(entry),
            confirmed: RefCell::default(),
        }
    }
}

/// What came of a heartbeat.
enum Sent {
    /// The entry does not listen, or belongs elsewhere.
    Failed,
    /// It took the heartbeat, as far as is known.
    Taken,
    /// It took the heartbeat and has a newer configuration in force.
    Behind,
}

/// Sends heartbeats to the agent's home entries.
pub(crate) struct Sender {
    /// The control thread, or its address.
    control: Addr<Control>,
    /// The agent.
    agent: AgentId,
    /// Monotonic clock of the process.
    clock: Clock,
    /// Choice of the entries.
    homes: RefCell<HomeSelector>,
    /// Entries that heartbeats were sent to.
    receivers: RefCell<HashMap<SocketAddr, Rc<Receiver>>>,
}

impl Sender {
    pub fn new(
        control: Addr<Control>,
        agent: AgentId,
        clock: Clock,
        homes: HomeSelector,
    ) -> Rc<Self> {
        Rc::new(Self {
            control,
            agent,
            clock,
            homes: RefCell::new(homes),
            receivers: RefCell::default(),
        })
    }

    /// Sends for ever: one heartbeat each `every`, and one more whenever `soon` is notified.
    pub async fn run(self: Rc<Self>, every: Duration, soon: Rc<Notify>) {
        loop {
            let Ok(entries) = self.control.send(AskEntries).await else {
                return;
            };
            let Ok(beat) = self.control.send(NextHeartbeat).await else {
                return;
            };
            let now_ms = self.clock.now_ms();
            let homes = self.homes.borrow().choose(now_ms, &self.agent, &entries);
            for receiver in self.receivers_of(&homes) {
                actix_rt::spawn(self.clone().send(receiver, beat.clone()));
            }
            drop(actix_rt::time::timeout(every, soon.notified()).await);
        }
    }

    /// Links to the chosen entries; those to others are closed.
    fn receivers_of(&self, homes: &[SocketAddr]) -> Vec<Rc<Receiver>> {
        let mut receivers = self.receivers.borrow_mut();
        receivers.retain(|address, _| homes.contains(address));
        let of_home = |home: &SocketAddr| {
            let receiver = receivers.entry(*home);
            receiver
                .or_insert_with(|| Rc::new(Receiver::new(*home)))
                .clone()
        };
        homes.iter().map(of_home).collect()
    }

    async fn send(self: Rc<Self>, receiver: Rc<Receiver>, beat: Heartbeat) {
        let entry = receiver.link.address();
        let number = beat.config;
        match self.send_once(&receiver, beat).await {
            Sent::Failed => {
                receiver.confirmed.take();
                let now_ms = self.clock.now_ms();
                self.homes.borrow_mut().failed(now_ms, entry);
            }
            Sent::Taken => self.homes.borrow_mut().answered(entry),
            Sent::Behind => {
                self.homes.borrow_mut().answered(entry);
                fetch_config(&self.control, &receiver.link, number).await;
            }
        }
    }

    /// Sends a pulse where that tells all, and a whole heartbeat otherwise.
    async fn send_once(&self, receiver: &Receiver, beat: Heartbeat) -> Sent {
        let confirmed = receiver.confirmed.borrow().clone();
        let can_pulse = confirmed.filter(|confirmed| beat.differs_by_pulse_only(&confirmed.beat));
        let sent = match can_pulse {
            Some(_) if !beat.sequence.is_multiple_of(ANSWERED_PULSES) => {
                let sent = wire::send_quiet_pulse(receiver.link.address(), &beat.pulse()).await;
                sent.is_ok().then_some(Sent::Taken)
            }
            Some(confirmed) => self.send_pulse(receiver, &beat, &confirmed).await,
            None => None,
        };
        match sent {
            Some(sent) => sent,
            None => self.send_whole(receiver, beat).await,
        }
    }

    /// Sends a pulse; `None` if a whole heartbeat is needed.
    async fn send_pulse(
        &self,
        receiver: &Receiver,
        beat: &Heartbeat,
        confirmed: &Confirmed,
    ) -> Option<Sent> {
        let sent = wire::send_pulse(receiver.link.address(), &beat.pulse(), PULSE_TIMEOUT).await;
        let ack = sent.ok()?;
        if !ack.known || ack.entries_tag != confirmed.entries_tag {
            return None;
        }
        let is_behind = self.control.send(IsBehind(ack.config)).await;
        Some(taken(is_behind.unwrap_or(false)))
    }

    async fn send_whole(&self, receiver: &Receiver, beat: Heartbeat) -> Sent {
        let sent = beat.clone();
        let call = receiver
            .link
            .call(BEAT_TIMEOUT, |client, context| async move {
                client.heartbeat(context, sent).await
            });
        let Ok(ack) = call.await else {
            return Sent::Failed;
        };
        let (entries_tag, draining) = (ack.entries_tag, ack.draining);
        receiver
            .confirmed
            .replace(Some(Confirmed { beat, entries_tag }));
        let is_behind = self.control.send(HeartbeatAnswered { ack }).await;
        if draining {
            return Sent::Failed;
        }
        taken(is_behind.unwrap_or(false))
    }
}

fn taken(is_behind: bool) -> Sent {
    if is_behind { Sent::Behind } else { Sent::Taken }
}

async fn fetch_config(control: &Addr<Control>, link: &EntryLink, number: u64) {
    let fetched = link.call(CONFIG_TIMEOUT, |client, context| async move {
        client.config_after(context, number).await
    });
    if let Ok(Some(config)) = fetched.await {
        control.do_send(NewConfig(config));
    }
}
