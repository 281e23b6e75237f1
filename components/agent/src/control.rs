//! The agent's control actor, which owns all mutable state and is reached only by messages.

use crate::messages::{
    AdoptShards, ApplyConfig, BuildHeartbeat, ConfirmEnds, CountInFlight, GetEntries, GrantSender,
    HeartbeatAcked, IsConfigBehind, IsReady, StartDrain, StopAdmitting,
};
use crate::metrics::Metrics;
use crate::runtime_client::RuntimeClient;
use crate::service_times::ServiceTimes;
use actix::{Actor, AsyncContext, Context, Handler, MessageResult};
use arc_swap::ArcSwap;
use fence::{Claims, Outcome, RequestLimits, RequestTable};
use ledger::{InterferenceController, InterferenceLimits, Ledger, ShardOwners};
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

/// Interval at which queued requests and expired backend servers are checked.
const TICK_INTERVAL: Duration = Duration::from_millis(100);
/// Largest number of request records that an agent retains; at this number it admits no more.
const MAX_REQUEST_RECORDS: usize = 100_000;

/// The agent's mutable state, owned by one actor.
pub(crate) struct Control {
    /// Settings of the process.
    pub(crate) settings: AgentSettings,
    /// Monotonic clock of the process.
    pub(crate) clock: Clock,
    /// Incarnation of the agent, drawn anew at each start.
    pub(crate) incarnation: u64,
    /// Requests, and the backend servers that they run on.
    pub(crate) requests: RequestTable,
    /// Claims on idempotency keys, held for entries.
    pub(crate) claims: Claims,
    /// Resource accounting of the VM: its capacity, and what services and attempts use.
    pub(crate) ledger: Ledger,
    /// Current owner of each shard, to which ends of attempts are reported.
    pub(crate) owners: ShardOwners,
    /// Throttles and evicts batch work that slows services down.
    pub(crate) interference_controller: InterferenceController,
    /// Mean run times of the services on this VM.
    pub(crate) service_times: ServiceTimes,
    /// Configuration in force.
    pub(crate) config: Config,
    /// Copy of the configuration in force, read by the traffic threads.
    pub(crate) shared_config: Arc<ArcSwap<Config>>,
    /// Metrics of the process, shared with the `/metrics` endpoint.
    pub(crate) metrics: Metrics,
    /// Calls to the worker runtime and to shard owners.
    pub(crate) runtime: Rc<RuntimeClient>,
    /// Makes the heartbeat loop send before its interval ends.
    pub(crate) heartbeat_trigger: Rc<Notify>,
    /// Control addresses of the entries; those from the settings are always included.
    pub(crate) entries: BTreeSet<SocketAddr>,
    /// Where to send the outcome of each queued request.
    pub(crate) queued_requests: Map<RequestId, GrantSender>,
    /// Sequence number of the last heartbeat.
    pub(crate) sequence: u64,
    /// Whether a graceful shutdown has started.
    pub(crate) is_draining: bool,
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
            max_records: MAX_REQUEST_RECORDS,
            answer_cache_bytes: settings.answer_cache_bytes,
        };
        Self {
            clock,
            incarnation,
            requests: RequestTable::new(incarnation, limits),
            claims: Claims::new(settings.record_ttl_ms),
            ledger: Ledger::new(settings.capacity),
            owners: ShardOwners::default(),
            interference_controller: InterferenceController::new(InterferenceLimits::default()),
            service_times: ServiceTimes::default(),
            config: Config::default(),
            shared_config,
            metrics,
            runtime: Rc::new(RuntimeClient::new(&settings)),
            heartbeat_trigger: Rc::new(Notify::new()),
            entries: settings.entries.iter().copied().collect(),
            queued_requests: Map::default(),
            sequence: 0,
            is_draining: false,
            settings,
        }
    }

    /// Sends the outcome to queued requests that got a slot or whose deadline has passed.
    pub(crate) fn resolve_queued(&mut self) {
        for (id, outcome) in self.requests.advance(self.clock.now_ms()) {
            let Some(reply) = self.queued_requests.remove(&id) else {
                continue;
            };
            let is_grant = outcome.is_ok();
            if reply.send(outcome).is_err() && is_grant {
                // The handler was dropped while its request was queued, so nothing was sent to the
                // backend server.
                self.requests
                    .finish(self.clock.now_ms(), id, Outcome::NotRun, None);
            }
        }
        self.metrics.in_flight.set(self.requests.in_flight() as i64);
    }

    /// Removes expired backend servers and resolves queued requests.
    fn on_tick(&mut self) {
        let expired = self.requests.backends.remove_expired(self.clock.now_ms());
        for address in &expired {
            log_event!(warn, Event::BackendLeft, backend = %address);
        }
        if !expired.is_empty() {
            self.update_reserved();
            self.heartbeat_trigger.notify_one();
        }
        if !self.queued_requests.is_empty() {
            self.resolve_queued();
        }
    }
}

impl Actor for Control {
    type Context = Context<Self>;

    fn started(&mut self, context: &mut Self::Context) {
        context.set_mailbox_capacity(usize::MAX >> 4);
        context.run_interval(TICK_INTERVAL, |control, _| control.on_tick());
        self.runtime.clone().spawn_lease_renewal(context.address());
    }
}

impl Handler<AdoptShards> for Control {
    type Result = Vec<bool>;

    fn handle(&mut self, AdoptShards(owners): AdoptShards, _: &mut Self::Context) -> Self::Result {
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

impl Handler<BuildHeartbeat> for Control {
    type Result = MessageResult<BuildHeartbeat>;

    fn handle(&mut self, _: BuildHeartbeat, _: &mut Self::Context) -> Self::Result {
        self.sequence += 1;
        MessageResult(Heartbeat {
            agent: self.settings.id.clone(),
            incarnation: self.incarnation,
            sequence: self.sequence,
            domain: self.settings.domain.clone(),
            traffic: self.settings.advertise.unwrap_or(self.settings.listen),
            control: self.settings.control_listen,
            draining: self.is_draining,
            services: self.requests.backends.loads(self.clock.now_ms()),
            capacity: self.settings.capacity,
            free: self.ledger.free(),
            config: self.config.number,
            bad_kinds: self.interference_controller.bad_kinds(self.clock.now_ms()),
        })
    }
}

impl Handler<HeartbeatAcked> for Control {
    type Result = bool;

    fn handle(&mut self, HeartbeatAcked { ack }: HeartbeatAcked, _: &mut Self::Context) -> bool {
        if !ack.entries.is_empty() {
            let seeds = self.settings.entries.iter().copied();
            self.entries = ack.entries.into_iter().chain(seeds).collect();
        }
        ack.config > self.config.number
    }
}

impl Handler<IsConfigBehind> for Control {
    type Result = bool;

    fn handle(&mut self, IsConfigBehind(number): IsConfigBehind, _: &mut Self::Context) -> bool {
        number > self.config.number
    }
}

impl Handler<GetEntries> for Control {
    type Result = MessageResult<GetEntries>;

    fn handle(&mut self, _: GetEntries, _: &mut Self::Context) -> Self::Result {
        MessageResult(self.entries.clone())
    }
}

impl Handler<ApplyConfig> for Control {
    type Result = ();

    fn handle(&mut self, ApplyConfig(config): ApplyConfig, _: &mut Self::Context) {
        self.apply_config(&config);
    }
}

impl Handler<StartDrain> for Control {
    type Result = ();

    fn handle(&mut self, _: StartDrain, context: &mut Self::Context) {
        log_event!(info, Event::DrainStarted, agent = %self.settings.id);
        self.is_draining = true;
        self.ledger.stop_admitting();
        if self.settings.drain.evict_batch {
            self.evict_all(&context.address());
        }
        self.heartbeat_trigger.notify_one();
    }
}

impl Handler<CountInFlight> for Control {
    type Result = usize;

    fn handle(&mut self, _: CountInFlight, _: &mut Self::Context) -> usize {
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

impl Handler<IsReady> for Control {
    type Result = bool;

    fn handle(&mut self, _: IsReady, _: &mut Self::Context) -> bool {
        self.ledger.is_synced() && !self.is_draining
    }
}
