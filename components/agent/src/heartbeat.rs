//! Sends heartbeats to the agent's home entries.

use crate::control::Control;
use crate::messages::{ApplyConfig, BuildHeartbeat, GetEntries, HeartbeatAcked, IsConfigBehind};
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

/// Timeout of a full heartbeat.
const HEARTBEAT_TIMEOUT: Duration = Duration::from_millis(600);
/// Timeout for the answer to a pulse, after which a full heartbeat is sent.
const PULSE_TIMEOUT: Duration = Duration::from_millis(300);
/// Interval of answered pulses, in heartbeats; the pulses between them get no answer.
const ANSWERED_PULSE_INTERVAL: u64 = 2;
/// Timeout for fetching a configuration.
const CONFIG_TIMEOUT: Duration = Duration::from_secs(5);

/// The last full heartbeat that an entry has acknowledged.
#[derive(Clone)]
struct AckedHeartbeat {
    /// Content of the heartbeat.
    heartbeat: Heartbeat,
    /// Tag of the set of live entries, from the answer.
    entries_tag: u64,
}

/// An entry that heartbeats are sent to.
struct HomeEntry {
    /// Link for control calls to the entry.
    link: EntryLink,
    /// Last acknowledged heartbeat; `None` before the first one and after a failure.
    acked: RefCell<Option<AckedHeartbeat>>,
}

impl HomeEntry {
    fn new(entry: SocketAddr) -> Self {
        Self {
            link: EntryLink::new(entry),
            acked: RefCell::default(),
        }
    }
}

/// Outcome of sending a heartbeat.
enum SendOutcome {
    /// The entry could not be reached, or is draining.
    Failed,
    /// The entry acknowledged the heartbeat, or a pulse was sent that gets no answer.
    Delivered,
    /// The entry acknowledged the heartbeat and has a newer configuration in force.
    ConfigBehind,
}

/// Sends heartbeats to the entries chosen by a [`HomeSelector`].
pub(crate) struct HeartbeatSender {
    /// Address of the control actor.
    control: Addr<Control>,
    /// Id of this agent.
    agent: AgentId,
    /// Monotonic clock of the process.
    clock: Clock,
    /// Chooses the home entries.
    homes: RefCell<HomeSelector>,
    /// Current home entries, by control address.
    home_entries: RefCell<HashMap<SocketAddr, Rc<HomeEntry>>>,
}

impl HeartbeatSender {
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
            home_entries: RefCell::default(),
        })
    }

    /// Sends a heartbeat every `interval`, and early when `trigger` is notified, until the control
    /// actor stops.
    pub async fn run(self: Rc<Self>, interval: Duration, trigger: Rc<Notify>) {
        loop {
            let Ok(entries) = self.control.send(GetEntries).await else {
                return;
            };
            let Ok(heartbeat) = self.control.send(BuildHeartbeat).await else {
                return;
            };
            let now_ms = self.clock.now_ms();
            let homes = self.homes.borrow().choose(now_ms, &self.agent, &entries);
            for entry in self.select_entries(&homes) {
                actix_rt::spawn(self.clone().send(entry, heartbeat.clone()));
            }
            drop(actix_rt::time::timeout(interval, trigger.notified()).await);
        }
    }

    /// Returns the chosen entries, connecting new ones and removing those that are not chosen.
    fn select_entries(&self, homes: &[SocketAddr]) -> Vec<Rc<HomeEntry>> {
        let mut home_entries = self.home_entries.borrow_mut();
        home_entries.retain(|address, _| homes.contains(address));
        let get_or_connect = |home: &SocketAddr| {
            let slot = home_entries.entry(*home);
            slot.or_insert_with(|| Rc::new(HomeEntry::new(*home)))
                .clone()
        };
        homes.iter().map(get_or_connect).collect()
    }

    /// Sends a heartbeat, records whether the entry answered, and fetches a newer configuration.
    async fn send(self: Rc<Self>, entry: Rc<HomeEntry>, heartbeat: Heartbeat) {
        let address = entry.link.address();
        let config_number = heartbeat.config;
        match self.send_pulse_or_full(&entry, heartbeat).await {
            SendOutcome::Failed => {
                entry.acked.take();
                let now_ms = self.clock.now_ms();
                self.homes.borrow_mut().failed(now_ms, address);
            }
            SendOutcome::Delivered => self.homes.borrow_mut().answered(address),
            SendOutcome::ConfigBehind => {
                self.homes.borrow_mut().answered(address);
                fetch_config(&self.control, &entry.link, config_number).await;
            }
        }
    }

    /// Sends a pulse if it covers all changes since the acknowledged heartbeat and the entry
    /// accepts it, and a full heartbeat otherwise.
    async fn send_pulse_or_full(&self, entry: &HomeEntry, heartbeat: Heartbeat) -> SendOutcome {
        let acked = entry.acked.borrow().clone();
        let pulse_base = acked.filter(|acked| heartbeat.differs_by_pulse_only(&acked.heartbeat));
        let outcome = match pulse_base {
            Some(_) if !heartbeat.sequence.is_multiple_of(ANSWERED_PULSE_INTERVAL) => {
                let sent =
                    wire::send_unacknowledged_pulse(entry.link.address(), &heartbeat.pulse()).await;
                sent.is_ok().then_some(SendOutcome::Delivered)
            }
            Some(acked) => self.send_pulse(entry, &heartbeat, &acked).await,
            None => None,
        };
        match outcome {
            Some(outcome) => outcome,
            None => self.send_full(entry, heartbeat).await,
        }
    }

    /// Sends a pulse and waits for its answer; `None` if a full heartbeat is needed: no answer came,
    /// the entry does not know the rest, or the set of entries changed.
    async fn send_pulse(
        &self,
        entry: &HomeEntry,
        heartbeat: &Heartbeat,
        acked: &AckedHeartbeat,
    ) -> Option<SendOutcome> {
        let sent = wire::send_pulse(entry.link.address(), &heartbeat.pulse(), PULSE_TIMEOUT).await;
        let ack = sent.ok()?;
        if !ack.known || ack.entries_tag != acked.entries_tag {
            return None;
        }
        let is_behind = self.control.send(IsConfigBehind(ack.config)).await;
        Some(delivery_outcome(is_behind.unwrap_or(false)))
    }

    /// Sends a full heartbeat and records it as acknowledged once it is answered.
    async fn send_full(&self, entry: &HomeEntry, heartbeat: Heartbeat) -> SendOutcome {
        let sent = heartbeat.clone();
        let call = entry
            .link
            .call(HEARTBEAT_TIMEOUT, |client, context| async move {
                client.heartbeat(context, sent).await
            });
        let Ok(ack) = call.await else {
            return SendOutcome::Failed;
        };
        let (entries_tag, draining) = (ack.entries_tag, ack.draining);
        entry.acked.replace(Some(AckedHeartbeat {
            heartbeat,
            entries_tag,
        }));
        let is_behind = self.control.send(HeartbeatAcked { ack }).await;
        if draining {
            return SendOutcome::Failed;
        }
        delivery_outcome(is_behind.unwrap_or(false))
    }
}

fn delivery_outcome(is_behind: bool) -> SendOutcome {
    if is_behind {
        SendOutcome::ConfigBehind
    } else {
        SendOutcome::Delivered
    }
}

/// Fetches the newest configuration if it is newer than `number`, and applies it.
async fn fetch_config(control: &Addr<Control>, link: &EntryLink, number: u64) {
    let fetched = link.call(CONFIG_TIMEOUT, |client, context| async move {
        client.config_after(context, number).await
    });
    if let Ok(Some(config)) = fetched.await {
        control.do_send(ApplyConfig(config));
    }
}
