//! The agent's control thread: all mutable state, reached by messages.

use crate::messages::{
    Adopt, AskEntries, AskInFlight, AskReady, ConfirmEnds, Drain, GrantReply, HeartbeatAnswered,
    IsBehind, NewConfig, NextHeartbeat, StopAdmitting,
};
use crate::metrics::Metrics;
use crate::runtime_driver::RuntimeDriver;
use crate::service_times::ServiceTimes;
use actix::{Actor, AsyncContext, Context, Handler, MessageResult};
use arc_swap::ArcSwap;
use fence::{Claims, Outcome, RequestLimits, RequestTable};
use ledger::{Controller, ControllerLimits, Ledger, ShardOwners};
use model::{Config, RequestId};
use settings::AgentSettings;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use telemetry::{Event, log_event};
use tokio::sync::Notify;
use utils::{Clock, Map};
use wire::Heartbeat;

/// Time between two looks at waiting requests and expired announcements.
const TICK: Duration = Duration::from_millis(100);
/// Most request records that an agent keeps.
const MAX_RECORDS: usize = 100_000;

/// The agent's mutable state.
pub(crate) struct Control {
    /// Settings of the process.
    pub(crate) settings: AgentSettings,
    /// Monotonic clock of the process.
    pub(crate) clock: Clock,
    /// Incarnation of the agent.
    pub(crate) incarnation: u64,
    /// Requests and backend servers.
    pub(crate) requests: RequestTable,
    /// Claims on idempotency keys.
    pub(crate) claims: Claims,
    /// What the VM has and what is taken.
    pub(crate) ledger: Ledger,
    /// Owners of shards.
    pub(crate) owners: ShardOwners,
    /// Control of batch work beside services.
    pub(crate) controller: Controller,
    /// Run times of services.
    pub(crate) times: ServiceTimes,
    /// Configuration in force.
    pub(crate) config: Config,
    /// The configuration, for traffic threads.
    pub(crate) shared_config: Arc<ArcSwap<Config>>,
    /// Metrics of the process.
    pub(crate) metrics: Metrics,
    /// The worker runtime.
    pub(crate) runtime: Rc<RuntimeDriver>,
    /// Wakes the heartbeat loop.
    pub(crate) beat_soon: Rc<Notify>,
    /// Control addresses of entries.
    pub(crate) entries: BTreeSet<SocketAddr>,
    /// Requests that were queued.
    pub(crate) waiting: Map<RequestId, GrantReply>,
    /// Number of the last heartbeat.
    pub(crate) sequence: u64,
    /// Whether the agent shuts down.
    pub(crate) draining: bool,
}

impl Control {
    pub fn new(
        settings: AgentSettings,
        clock: Clock,
        incarnation: u64,
        shared_config: Arc<ArcSwap<Config>>,
        metrics: Metrics,
    ) -> Self {
        let limits = RequestLimits {
            queue_per_backend: settings.queue_per_backend,
            record_ttl_ms: settings.record_ttl_ms,
            max_records: MAX_RECORDS,
            answer_cache_bytes: settings.answer_cache_bytes,
        };
        Self {
            clock,
            incarnation,
            requests: RequestTable::new(incarnation, limits),
            claims: Claims::new(settings.record_ttl_ms),
            ledger: Ledger::new(settings.capacity),
            owners: ShardOwners::default(),
            controller: Controller::new(ControllerLimits::default()),
            times: ServiceTimes::default(),
            config: Config::default(),
            shared_config,
            metrics,
            runtime: Rc::new(RuntimeDriver::new(&settings)),
            beat_soon: Rc::new(Notify::new()),
            entries: settings.entries.iter().copied().collect(),
            waiting: Map::default(),
            sequence: 0,
            draining: false,
            settings,
        }
    }

    /// Grants freed slots to waiting requests.
    pub(crate) fn settle_waiting(&mut self) {
        for (id, outcome) in self.requests.advance(self.clock.now_ms()) {
            let Some(reply) = self.waiting.remove(&id) else {
                continue;
            };
            let is_grant = outcome.is_ok();
            if reply.send(outcome).is_err() && is_grant {
                // The handler went away between the queue and the grant: nothing was written.
                self.requests
                    .finish(self.clock.now_ms(), id, Outcome::NotRun, None);
            }
        }
        self.metrics.in_flight.set(self.requests.in_flight() as i64);
    }

    fn on_tick(&mut self) {
        let gone = self.requests.backends.remove_expired(self.clock.now_ms());
        for address in &gone {
            log_event!(warn, Event::BackendLeft, backend = %address);
        }
        if !gone.is_empty() {
            self.update_reserved();
            self.beat_soon.notify_one();
        }
        if !self.waiting.is_empty() {
            self.settle_waiting();
        }
    }
}

impl Actor for Control {
    type Context = Context<Self>;

    fn started(&mut self, context: &mut Self::Context) {
        context.set_mailbox_capacity(usize::MAX >> 4);
        context.run_interval(TICK, |control, _| control.on_tick());
        self.runtime.clone().spawn(context.address());
    }
}

impl Handler<Adopt> for Control {
    type Result = Vec<bool>;

    fn handle(&mut self, Adopt(owners): Adopt, _: &mut Self::Context) -> Self::Result {
        owners
            .into_iter()
            .map(|owner| self.owners.adopt(owner))
            .collect()
    }
}

impl Handler<ConfirmEnds> for Control {
    type Result = ();

    fn handle(&mut self, ConfirmEnds(ends): ConfirmEnds, _: &mut Self::Context) {
        self.ledger.confirm_ends(&ends);
        self.metrics
            .unconfirmed_ends
            .set(self.ledger.unconfirmed_ends().count() as i64);
    }
}

impl Handler<NextHeartbeat> for Control {
    type Result = MessageResult<NextHeartbeat>;

    fn handle(&mut self, _: NextHeartbeat, _: &mut Self::Context) -> Self::Result {
        self.sequence += 1;
        MessageResult(Heartbeat {
            agent: self.settings.id.clone(),
            incarnation: self.incarnation,
            sequence: self.sequence,
            domain: self.settings.domain.clone(),
            traffic: self.settings.advertise.unwrap_or(self.settings.listen),
            control: self.settings.control_listen,
            draining: self.draining,
            services: self.requests.backends.loads(self.clock.now_ms()),
            capacity: self.settings.capacity,
            free: self.ledger.free(),
            config: self.config.number,
            bad_kinds: self.controller.bad_kinds(self.clock.now_ms()),
        })
    }
}

impl Handler<HeartbeatAnswered> for Control {
    type Result = bool;

    fn handle(
        &mut self,
        HeartbeatAnswered { ack }: HeartbeatAnswered,
        _: &mut Self::Context,
    ) -> bool {
        if !ack.entries.is_empty() {
            let seeds = self.settings.entries.iter().copied();
            self.entries = ack.entries.into_iter().chain(seeds).collect();
        }
        ack.config > self.config.number
    }
}

impl Handler<IsBehind> for Control {
    type Result = bool;

    fn handle(&mut self, IsBehind(number): IsBehind, _: &mut Self::Context) -> bool {
        number > self.config.number
    }
}

impl Handler<AskEntries> for Control {
    type Result = MessageResult<AskEntries>;

    fn handle(&mut self, _: AskEntries, _: &mut Self::Context) -> Self::Result {
        MessageResult(self.entries.clone())
    }
}

impl Handler<NewConfig> for Control {
    type Result = ();

    fn handle(&mut self, NewConfig(config): NewConfig, _: &mut Self::Context) {
        self.put_in_force(&config);
    }
}

impl Handler<Drain> for Control {
    type Result = ();

    fn handle(&mut self, _: Drain, context: &mut Self::Context) {
        log_event!(info, Event::DrainStarted, agent = %self.settings.id);
        self.draining = true;
        self.ledger.stop_admitting();
        if self.settings.drain.evict_batch {
            self.evict_all(&context.address());
        }
        self.beat_soon.notify_one();
    }
}

impl Handler<AskInFlight> for Control {
    type Result = usize;

    fn handle(&mut self, _: AskInFlight, _: &mut Self::Context) -> usize {
        let attempts = if self.settings.drain.evict_batch {
            self.ledger.allocations().count() + self.ledger.unconfirmed_ends().count()
        } else {
            0
        };
        self.requests.in_flight() + attempts
    }
}

impl Handler<StopAdmitting> for Control {
    type Result = ();

    fn handle(&mut self, _: StopAdmitting, _: &mut Self::Context) {
        self.requests.drain();
    }
}

impl Handler<AskReady> for Control {
    type Result = bool;

    fn handle(&mut self, _: AskReady, _: &mut Self::Context) -> bool {
        self.ledger.is_synced() && !self.draining
    }
}
