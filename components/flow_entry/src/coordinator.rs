//! The control thread of an entry for flows: it follows which entry is the scheduler, and owns the
//! scheduler's state while this entry is.

use crate::call_limit::CallLimit;
use crate::config_origin::ConfigOrigin;
use crate::config_source::ConfigSource;
use crate::config_view::ConfigView;
use crate::config_watch;
use crate::election::Election;
use crate::evacuations::KnownEvacuations;
use crate::former::Claim;
use crate::leadership::Leadership;
use crate::memory::MemoryShares;
use crate::messages::{
    ConfigConfirmed, Drain, GetReadiness, LeaseRead, NewConfig, PeerProbe, ProbeDone, StoreObserved,
};
use crate::metrics::Metrics;
use crate::overload::Overload;
use crate::reads::read_row;
use crate::room::Room;
use crate::rows::LEASE_KEY;
use crate::store_health::StoreHealth;
use actix::{Actor, AsyncContext, Context, Handler, MessageResult};
use backing::{TableFeed, TableStore};
use flow::FlowConfig;
use settings::FlowEntrySettings;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use telemetry::{Event, log_event};
use utils::{RecentSet, boot_ms};
use wire::{LinkError, SchedulerLink, SchedulerProbe, SchedulerProbeReply};

/// Interval at which the control thread checks for due work.
const TICK: Duration = Duration::from_millis(50);
/// Interval between two probes of the scheduler, in milliseconds.
const PROBE_INTERVAL_MS: u64 = 250;
/// Timeout of a probe.
const PROBE_TIMEOUT: Duration = Duration::from_millis(600);
/// Interval between two reads of the lease while its owner may be down, in milliseconds.
const LEASE_READ_INTERVAL_MS: u64 = 250;
/// Time without an answer from the table or the scheduler after which an entry reports that it is
/// not ready, in milliseconds.
const ISOLATED_MS: u64 = 2_500;
/// Most calls of the table that are in flight for callers.
const MAX_CALLER_CALLS: usize = 256;
/// Most rows that can't be read of which it is known that they are logged.
const MAX_UNREADABLE_LOGGED: usize = 1_000;

/// Actor that owns the mutable state of an entry.
pub(crate) struct Coordinator {
    /// Settings of the process.
    pub(crate) settings: FlowEntrySettings,
    /// Random number that identifies this start of the process.
    pub(crate) incarnation: u64,
    /// Store of all durable rows.
    pub(crate) table: Rc<dyn TableStore>,
    /// Memory of flows in the scheduler, in bytes.
    pub(crate) flow_bytes: usize,
    /// Room for the flows that this entry accepts.
    pub(crate) room: Room,
    /// What this entry knows of the scheduler's backlog, and its refusals.
    pub(crate) overload: Overload,
    /// Limits the calls of the table that are in flight for callers; each takes memory and a
    /// descriptor.
    pub(crate) caller_calls: Rc<CallLimit>,
    /// Feed of changed rows of the table.
    pub(crate) feed: Rc<dyn TableFeed>,
    /// Source from which the configuration is polled.
    configs: Rc<dyn ConfigSource>,
    /// Configuration in force, shared with the HTTP servers.
    pub(crate) config: ConfigView,
    /// Requested evacuations of failure domains.
    pub(crate) evacuations: KnownEvacuations,
    /// Availability of the table as seen by this entry.
    pub(crate) store_health: StoreHealth,
    /// Last known state of the scheduler's lease.
    pub(crate) election: Election,
    /// Cached link to the scheduler; absent until it is first needed.
    link: Option<SchedulerLink>,
    /// When the last probe was sent to the scheduler; 0 makes the next one due at once.
    probe_sent_ms: u64,
    /// Whether a probe is in flight.
    is_probe_pending: bool,
    /// When the scheduler last answered a probe as the owner of the lease.
    scheduler_seen_ms: u64,
    /// Whether a read of the lease is in flight.
    is_reading_lease: bool,
    /// Whether a claim of the lease is in flight.
    pub(crate) is_claiming: bool,
    /// The last claim of the lease; absent before the first.
    pub(crate) claim: Option<Claim>,
    /// Newest epoch in which this process became the scheduler; 0 if it never did.
    pub(crate) started_epoch: u64,
    /// State of the scheduler; absent while this entry is not the scheduler.
    pub(crate) leadership: Option<Leadership>,
    /// Rows of agents that can't be read and are logged, so that each version is logged once.
    pub(crate) unreadable_agents: RecentSet,
    /// Whether a drain has started; the entry then claims no lease and places nothing.
    pub(crate) is_draining: bool,
    /// Metrics that this entry exports.
    pub(crate) metrics: Metrics,
}

/// External services that an entry depends on.
pub struct Dependencies {
    /// Store of all durable rows.
    pub table: Rc<dyn TableStore>,
    /// Feed of changed rows of the table.
    pub feed: Rc<dyn TableFeed>,
    /// Source of the configuration.
    pub configs: Rc<dyn ConfigSource>,
}

impl Coordinator {
    pub fn new(
        settings: FlowEntrySettings,
        incarnation: u64,
        dependencies: Dependencies,
        config: ConfigView,
        metrics: Metrics,
    ) -> Self {
        Self {
            election: Election::new(settings.processor_share),
            flow_bytes: MemoryShares::new(settings.memory_mb).flow_bytes,
            settings,
            incarnation,
            table: dependencies.table,
            room: Room::default(),
            overload: Overload::default(),
            caller_calls: Rc::new(CallLimit::new(MAX_CALLER_CALLS)),
            feed: dependencies.feed,
            configs: dependencies.configs,
            config,
            evacuations: KnownEvacuations::default(),
            store_health: StoreHealth::default(),
            link: None,
            probe_sent_ms: 0,
            is_probe_pending: false,
            scheduler_seen_ms: 0,
            is_reading_lease: false,
            is_claiming: false,
            claim: None,
            started_epoch: 0,
            leadership: None,
            unreadable_agents: RecentSet::new(MAX_UNREADABLE_LOGGED),
            is_draining: false,
            metrics,
        }
    }

    /// Configured name of this entry.
    pub(crate) fn own_id(&self) -> &str {
        self.settings.id.as_str()
    }

    /// Link to the scheduler; `None` if this entry owns the lease or the lease has no owner.
    pub(crate) fn scheduler_link(&mut self) -> Option<SchedulerLink> {
        let row = self.election.row.as_ref()?;
        if row.owner == self.own_id() || row.released {
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
        self.request_room(now_ms, context);
        self.follow_backlog(now_ms, context);
        if self.leadership.is_some() {
            self.tick_as_scheduler(now_ms, context);
            return;
        }
        self.send_probe(now_ms, context);
        if !self.is_reading_lease && self.election.is_read_due(now_ms, LEASE_READ_INTERVAL_MS) {
            self.read_lease(context);
        }
        let can_claim = self
            .election
            .can_claim(now_ms, self.own_id(), self.incarnation);
        if can_claim && !self.is_claiming && !self.is_draining {
            self.claim(now_ms, context);
        }
    }

    fn send_probe(&mut self, now_ms: u64, context: &mut Context<Self>) {
        if self.is_probe_pending || now_ms < self.probe_sent_ms + PROBE_INTERVAL_MS {
            return;
        }
        let Some(link) = self.scheduler_link() else {
            return;
        };
        let epoch = self.election.row.as_ref().map_or(0, |row| row.epoch);
        let probe = SchedulerProbe {
            config: self.config.load().version,
        };
        self.probe_sent_ms = now_ms;
        self.is_probe_pending = true;
        let control = context.address();
        actix_rt::spawn(async move {
            let call = link.call(PROBE_TIMEOUT, |client, context| async move {
                client.probe(context, probe).await
            });
            let reply = call.await;
            control.do_send(ProbeDone { epoch, reply });
        });
    }

    /// Reads the row of the lease; the result arrives as [`LeaseRead`].
    pub(crate) fn read_lease(&mut self, context: &mut Context<Self>) {
        self.is_reading_lease = true;
        let (table, control) = (self.table.clone(), context.address());
        actix_rt::spawn(async move {
            let row = read_row(table.as_ref(), LEASE_KEY).await;
            control.do_send(LeaseRead { row });
        });
    }
}

impl Actor for Coordinator {
    type Context = Context<Self>;

    fn started(&mut self, context: &mut Self::Context) {
        context.set_mailbox_capacity(usize::MAX >> 4);
        context.run_interval(TICK, Self::tick);
        actix_rt::spawn(config_watch::run(
            self.configs.clone(),
            context.address(),
            self.metrics.clone(),
        ));
        self.read_lease(context);
    }
}

impl Handler<LeaseRead> for Coordinator {
    type Result = ();

    fn handle(&mut self, read: LeaseRead, context: &mut Self::Context) {
        let now_ms = boot_ms();
        self.is_reading_lease = false;
        self.store_health.observe(now_ms, &read.row);
        let Ok(row) = read.row else {
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
            self.probe_sent_ms = 0;
        }
        let is_mine = self.election.is_mine(self.own_id(), self.incarnation);
        if self.leadership.is_none() && is_mine && !self.is_draining {
            self.adopt_claim(context);
        }
    }
}

impl Handler<ProbeDone> for Coordinator {
    type Result = ();

    fn handle(&mut self, done: ProbeDone, context: &mut Self::Context) {
        let now_ms = boot_ms();
        self.is_probe_pending = false;
        let epoch = self.election.row.as_ref().map_or(0, |row| row.epoch);
        if epoch != done.epoch || self.leadership.is_some() {
            return;
        }
        match done.reply {
            Ok(reply) => {
                if reply.epoch == Some(epoch) {
                    self.scheduler_seen_ms = now_ms;
                    self.election.on_answer(now_ms, reply.confirmation_age_ms);
                } else {
                    self.election.on_not_scheduler(now_ms);
                }
                if let Some(config) = reply.config {
                    context.notify(NewConfig {
                        config,
                        origin: ConfigOrigin::Scheduler,
                        spent_ms: now_ms.saturating_sub(self.probe_sent_ms),
                    });
                }
            }
            Err(LinkError::Refused(_)) => {
                self.election.on_refused();
                self.probe_sent_ms = now_ms.saturating_sub(PROBE_INTERVAL_MS / 2);
            }
            Err(LinkError::Connect(_) | LinkError::NoAnswer(_)) => {}
        }
    }
}

impl Handler<PeerProbe> for Coordinator {
    type Result = MessageResult<PeerProbe>;

    fn handle(&mut self, PeerProbe(probe): PeerProbe, _: &mut Self::Context) -> Self::Result {
        let now_ms = boot_ms();
        let config = self.config.load();
        let newer = config.version > probe.config;
        MessageResult(SchedulerProbeReply {
            epoch: self.leadership.as_ref().map(|leadership| leadership.epoch),
            confirmation_age_ms: self.leadership.as_ref().map_or(u64::MAX, |leadership| {
                now_ms.saturating_sub(leadership.confirmed_ms)
            }),
            config: newer.then(|| FlowConfig::clone(&config)),
        })
    }
}

impl Handler<NewConfig> for Coordinator {
    type Result = ();

    fn handle(&mut self, new: NewConfig, context: &mut Self::Context) {
        let config = new.config;
        let in_force = self.config.load().version;
        if config.version <= in_force {
            return;
        }
        log_event!(
            info,
            Event::ConfigInForce,
            version = config.version,
            before = in_force,
            queues = config.queues.len(),
            origin = %new.origin,
            spent_ms = new.spent_ms
        );
        self.metrics.config.set(config.version as i64);
        if let Some(leadership) = self.leadership.as_mut() {
            leadership.scheduler.set_config(config.clone());
        }
        self.config.store(config);
        self.request_scheduling_pass(context);
    }
}

impl Handler<ConfigConfirmed> for Coordinator {
    type Result = ();

    fn handle(&mut self, ConfigConfirmed { at_ms }: ConfigConfirmed, _: &mut Self::Context) {
        self.config.confirm(at_ms);
    }
}

impl Handler<StoreObserved> for Coordinator {
    type Result = ();

    fn handle(&mut self, StoreObserved(result): StoreObserved, _: &mut Self::Context) {
        self.store_health.observe(boot_ms(), &result);
    }
}

impl Handler<GetReadiness> for Coordinator {
    type Result = bool;

    fn handle(&mut self, _: GetReadiness, _: &mut Self::Context) -> bool {
        let now_ms = boot_ms();
        let last_seen_ms = self.store_health.answered_ms().max(self.scheduler_seen_ms);
        let is_isolated = now_ms.saturating_sub(last_seen_ms) >= ISOLATED_MS;
        self.config.load().version > 0 && !self.is_draining && !is_isolated
    }
}

impl Handler<Drain> for Coordinator {
    type Result = ();

    fn handle(&mut self, _: Drain, context: &mut Self::Context) {
        log_event!(info, Event::DrainStarted, entry = %self.settings.id);
        self.is_draining = true;
        if self.leadership.is_some() {
            self.release(context);
        }
    }
}
