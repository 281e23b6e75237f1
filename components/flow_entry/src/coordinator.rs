//! The control thread of an entry that takes flows: who is the scheduler, and if it is this one,
//! the scheduler's state.

use crate::config_source::ConfigSource;
use crate::config_watch;
use crate::election::Election;
use crate::lead::Lead;
use crate::messages::{AskReady, Drain, HearHello, HelloDone, LeaseSeen, NewConfig, StoreSeen};
use crate::metrics::Metrics;
use crate::reads::read_row;
use crate::rows::LEASE_KEY;
use crate::store_health::StoreHealth;
use actix::{Actor, AsyncContext, Context, Handler, MessageResult};
use arc_swap::ArcSwap;
use backing::{TableFeed, TableStore};
use flow::FlowConfig;
use settings::FlowEntrySettings;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use telemetry::{Event, log_event};
use utils::boot_ms;
use wire::{Hello, HelloReply, LinkError, SchedulerLink};

/// Time between two looks at what is due.
const TICK: Duration = Duration::from_millis(50);
/// Time between two signs of life to the scheduler, in milliseconds.
const HELLO_EVERY_MS: u64 = 250;
/// Time for an answer to a sign of life.
const HELLO_TIMEOUT: Duration = Duration::from_millis(600);
/// Time between two reads of a lease that is in doubt, in milliseconds.
const LEASE_READ_EVERY_MS: u64 = 250;
/// Time without table and scheduler after which an entry asks for no callers, in milliseconds.
const ISOLATED_MS: u64 = 2_500;

/// The entry's mutable state.
pub(crate) struct Coordinator {
    /// Settings of the process.
    pub(crate) settings: FlowEntrySettings,
    /// Which start of this entry.
    pub(crate) incarnation: u64,
    /// The table.
    pub(crate) table: Rc<dyn TableStore>,
    /// Changes of the table.
    pub(crate) feed: Rc<dyn TableFeed>,
    /// Where the configuration comes from.
    configs: Rc<dyn ConfigSource>,
    /// Configuration in force, for the servers.
    pub(crate) config: Arc<ArcSwap<FlowConfig>>,
    /// Whether the table answers.
    pub(crate) store: StoreHealth,
    /// Who is the scheduler.
    pub(crate) election: Election,
    /// Link to the scheduler.
    link: Option<SchedulerLink>,
    /// When the scheduler was last sent a sign of life.
    hello_ms: u64,
    /// Whether an answer to it is awaited.
    hello_waits: bool,
    /// When the scheduler last answered.
    scheduler_heard_ms: u64,
    /// Whether a read of the lease is on its way.
    lease_read_waits: bool,
    /// Whether taking the lease over is on its way.
    pub(crate) claim_waits: bool,
    /// Newest epoch in which this process became the scheduler.
    pub(crate) begun_epoch: u64,
    /// The scheduler's state, if this entry is the scheduler.
    pub(crate) lead: Option<Lead>,
    /// Whether the entry ends.
    pub(crate) stopping: bool,
    /// Metrics of the process.
    pub(crate) metrics: Metrics,
}

/// What an entry reaches outside its process.
pub struct Edges {
    /// The table.
    pub table: Rc<dyn TableStore>,
    /// Changes of the table.
    pub feed: Rc<dyn TableFeed>,
    /// Where the configuration comes from.
    pub configs: Rc<dyn ConfigSource>,
}

impl Coordinator {
    pub fn new(
        settings: FlowEntrySettings,
        incarnation: u64,
        edges: Edges,
        config: Arc<ArcSwap<FlowConfig>>,
        metrics: Metrics,
    ) -> Self {
        Self {
            election: Election::new(settings.processor_share),
            settings,
            incarnation,
            table: edges.table,
            feed: edges.feed,
            configs: edges.configs,
            config,
            store: StoreHealth::default(),
            link: None,
            hello_ms: 0,
            hello_waits: false,
            scheduler_heard_ms: 0,
            lease_read_waits: false,
            claim_waits: false,
            begun_epoch: 0,
            lead: None,
            stopping: false,
            metrics,
        }
    }

    /// Name of this entry.
    pub(crate) fn me(&self) -> &str {
        self.settings.id.as_str()
    }

    /// Link to the scheduler, if another entry is it.
    pub(crate) fn scheduler_link(&mut self) -> Option<SchedulerLink> {
        let row = self.election.row.as_ref()?;
        if row.owner == self.me() || row.released {
            return None;
        }
        let address: SocketAddr = row.control;
        let is_open = self
            .link
            .as_ref()
            .is_some_and(|link| link.address() == address);
        if !is_open {
            self.link = Some(SchedulerLink::new(address));
        }
        self.link.clone()
    }

    fn tick(&mut self, context: &mut Context<Self>) {
        let now_ms = boot_ms();
        if self.lead.is_some() {
            self.lead_tick(now_ms, context);
            return;
        }
        self.say_hello(now_ms, context);
        if !self.lease_read_waits && self.election.wants_read(now_ms, LEASE_READ_EVERY_MS) {
            self.read_lease(context);
        }
        let wants = self
            .election
            .wants_claim(now_ms, self.me(), self.incarnation);
        if wants && !self.claim_waits && !self.stopping {
            self.claim(now_ms, context);
        }
    }

    fn say_hello(&mut self, now_ms: u64, context: &mut Context<Self>) {
        if self.hello_waits || now_ms < self.hello_ms + HELLO_EVERY_MS {
            return;
        }
        let Some(link) = self.scheduler_link() else {
            return;
        };
        let epoch = self.election.row.as_ref().map_or(0, |row| row.epoch);
        let hello = Hello {
            config: self.config.load().version,
        };
        self.hello_ms = now_ms;
        self.hello_waits = true;
        let control = context.address();
        actix_rt::spawn(async move {
            let call = link.call(HELLO_TIMEOUT, |client, context| async move {
                client.hello(context, hello).await
            });
            let reply = call.await;
            control.do_send(HelloDone { epoch, reply });
        });
    }

    pub(crate) fn read_lease(&mut self, context: &mut Context<Self>) {
        self.lease_read_waits = true;
        let asked_ms = boot_ms();
        let (table, control) = (self.table.clone(), context.address());
        actix_rt::spawn(async move {
            let row = read_row(table.as_ref(), LEASE_KEY).await;
            control.do_send(LeaseSeen { asked_ms, row });
        });
    }
}

impl Actor for Coordinator {
    type Context = Context<Self>;

    fn started(&mut self, context: &mut Self::Context) {
        context.set_mailbox_capacity(usize::MAX >> 4);
        context.run_interval(TICK, Self::tick);
        actix_rt::spawn(config_watch::run(self.configs.clone(), context.address()));
        self.read_lease(context);
    }
}

impl Handler<LeaseSeen> for Coordinator {
    type Result = ();

    fn handle(&mut self, seen: LeaseSeen, context: &mut Self::Context) {
        let now_ms = boot_ms();
        self.lease_read_waits = false;
        self.store.observe(now_ms, &seen.row);
        let Ok(row) = seen.row else {
            return;
        };
        let before = self.election.row.as_ref().map(|row| row.epoch);
        self.election.observe(now_ms, row.as_ref());
        if let Some(row) = self
            .election
            .row
            .as_ref()
            .filter(|row| Some(row.epoch) != before)
        {
            log_event!(info, Event::SchedulerSeen, owner = %row.owner, epoch = row.epoch,
                version = self.election.version);
            self.hello_ms = 0;
        }
        let is_mine = self.election.is_mine(self.me(), self.incarnation);
        if self.lead.is_none() && is_mine && !self.stopping {
            self.adopt_claim(seen.asked_ms, context);
        }
    }
}

impl Handler<HelloDone> for Coordinator {
    type Result = ();

    fn handle(&mut self, done: HelloDone, context: &mut Self::Context) {
        let now_ms = boot_ms();
        self.hello_waits = false;
        let epoch = self.election.row.as_ref().map_or(0, |row| row.epoch);
        if epoch != done.epoch || self.lead.is_some() {
            return;
        }
        match done.reply {
            Ok(reply) => {
                if reply.epoch == Some(epoch) {
                    self.scheduler_heard_ms = now_ms;
                    self.election.on_answer(now_ms, reply.confirmation_age_ms);
                } else {
                    self.election.on_denied(now_ms);
                }
                if let Some(config) = reply.config {
                    context.notify(NewConfig(config));
                }
            }
            Err(LinkError::Refused(_)) => {
                self.election.on_refused();
                self.hello_ms = now_ms.saturating_sub(HELLO_EVERY_MS / 2);
            }
            Err(LinkError::Connect(_) | LinkError::NoAnswer(_)) => {}
        }
    }
}

impl Handler<HearHello> for Coordinator {
    type Result = MessageResult<HearHello>;

    fn handle(&mut self, HearHello(hello): HearHello, _: &mut Self::Context) -> Self::Result {
        let now_ms = boot_ms();
        let config = self.config.load();
        let newer = config.version > hello.config;
        MessageResult(HelloReply {
            epoch: self.lead.as_ref().map(|lead| lead.epoch),
            confirmation_age_ms: self
                .lead
                .as_ref()
                .map_or(u64::MAX, |lead| now_ms.saturating_sub(lead.proof_ms)),
            config: newer.then(|| FlowConfig::clone(&config)),
        })
    }
}

impl Handler<NewConfig> for Coordinator {
    type Result = ();

    fn handle(&mut self, NewConfig(config): NewConfig, context: &mut Self::Context) {
        let in_force = self.config.load().version;
        if config.version <= in_force {
            return;
        }
        log_event!(
            info,
            Event::ConfigInForce,
            version = config.version,
            before = in_force,
            queues = config.queues.len()
        );
        self.metrics.config.set(config.version as i64);
        if let Some(lead) = self.lead.as_mut() {
            lead.scheduler.set_config(config.clone());
        }
        self.config.store(Arc::new(config));
        self.pump_soon(context);
    }
}

impl Handler<StoreSeen> for Coordinator {
    type Result = ();

    fn handle(&mut self, StoreSeen(result): StoreSeen, _: &mut Self::Context) {
        self.store.observe(boot_ms(), &result);
    }
}

impl Handler<AskReady> for Coordinator {
    type Result = bool;

    fn handle(&mut self, _: AskReady, _: &mut Self::Context) -> bool {
        let now_ms = boot_ms();
        let heard_ms = self.store.answered_ms().max(self.scheduler_heard_ms);
        let is_isolated = now_ms.saturating_sub(heard_ms) >= ISOLATED_MS;
        self.config.load().version > 0 && !self.stopping && !is_isolated
    }
}

impl Handler<Drain> for Coordinator {
    type Result = ();

    fn handle(&mut self, _: Drain, context: &mut Self::Context) {
        log_event!(info, Event::DrainStarted, entry = %self.settings.id);
        self.stopping = true;
        if self.lead.is_some() {
            self.release(context);
        }
    }
}
