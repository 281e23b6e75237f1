//! The agent's control thread: all mutable state, reached by messages.

use crate::attempts::RuntimeDriver;
use crate::messages::{
    Abandon, Adopt, Announce, AskAnswer, AskEntries, AskInFlight, AskLoad, AskReady, AskSlot,
    ConfirmEnds, Drain, Fence, Finish, GrantReply, HeartbeatAnswered, IsBehind, MakeClaim,
    NewConfig, NextHeartbeat, Progress, ReleaseClaim, StopAdmitting,
};
use crate::metrics::Metrics;
use crate::service_times::ServiceTimes;
use actix::{Actor, AsyncContext, Context, Handler, MessageResult};
use arc_swap::ArcSwap;
use fence::{Admitted, Claims, Grant, KeptAnswer, Outcome, RequestLimits, Requests};
use ledger::{Controller, ControllerLimits, Ledger, Owners};
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
use wire::{BackendLoad, FenceAnswer, Heartbeat};

/// Time between two looks at waiting requests and expired announcements.
const TICK: Duration = Duration::from_millis(100);
/// Most request records that an agent keeps.
const MAX_RECORDS: usize = 100_000;

/// The agent's mutable state.
pub(crate) struct Control {
    pub(crate) settings: AgentSettings,
    pub(crate) clock: Clock,
    pub(crate) incarnation: u64,
    pub(crate) requests: Requests,
    pub(crate) claims: Claims,
    pub(crate) ledger: Ledger,
    pub(crate) owners: Owners,
    pub(crate) controller: Controller,
    pub(crate) times: ServiceTimes,
    pub(crate) config: Config,
    pub(crate) shared_config: Arc<ArcSwap<Config>>,
    pub(crate) metrics: Metrics,
    pub(crate) runtime: Rc<RuntimeDriver>,
    /// Wakes the heartbeat loop.
    pub(crate) beat_soon: Rc<Notify>,
    /// Control addresses of entries.
    entries: BTreeSet<SocketAddr>,
    /// Requests that were queued.
    waiting: Map<RequestId, GrantReply>,
    sequence: u64,
    draining: bool,
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
            answer_bytes: settings.answer_cache_bytes,
        };
        Self {
            clock,
            incarnation,
            requests: Requests::new(incarnation, limits),
            claims: Claims::new(settings.record_ttl_ms),
            ledger: Ledger::new(settings.capacity),
            owners: Owners::default(),
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

    /// Whether the agent shuts down.
    pub(crate) fn is_draining(&self) -> bool {
        self.draining
    }

    /// Grants freed slots to waiting requests.
    fn settle_waiting(&mut self) {
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
        let gone = self.requests.backends.forget_gone(self.clock.now_ms());
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

impl Handler<AskSlot> for Control {
    type Result = MessageResult<AskSlot>;

    fn handle(&mut self, ask: AskSlot, _: &mut Self::Context) -> Self::Result {
        let id = ask.admit.id;
        let admitted = self.requests.admit(self.clock.now_ms(), ask.admit);
        match &admitted {
            Admitted::Granted(Grant { .. }) => {
                self.metrics.admitted.inc();
            }
            Admitted::Queued => {
                self.waiting.insert(id, ask.reply);
            }
            Admitted::Refused(_) => {
                self.metrics.refused.inc();
            }
        }
        self.metrics.in_flight.set(self.requests.in_flight() as i64);
        MessageResult(admitted)
    }
}

impl Handler<Abandon> for Control {
    type Result = ();

    fn handle(&mut self, Abandon(id): Abandon, _: &mut Self::Context) {
        if self.waiting.remove(&id).is_some() {
            self.requests.abandon(id);
        }
    }
}

impl Handler<Progress> for Control {
    type Result = ();

    fn handle(&mut self, progress: Progress, _: &mut Self::Context) {
        self.requests.progress(progress.id, progress.total_bytes);
    }
}

impl Handler<Finish> for Control {
    type Result = MessageResult<Finish>;

    fn handle(&mut self, end: Finish, _: &mut Self::Context) -> Self::Result {
        let now_ms = self.clock.now_ms();
        match end.outcome {
            Outcome::Whole => self.times.add(&end.service, end.run_ms),
            Outcome::Broken => {
                self.metrics.broken.inc();
            }
            Outcome::NotRun => {}
        }
        self.requests
            .finish(now_ms, end.id, end.outcome, end.answer);
        self.settle_waiting();
        MessageResult(self.requests.backends.load(now_ms, &end.service))
    }
}

impl Handler<AskLoad> for Control {
    type Result = MessageResult<AskLoad>;

    fn handle(&mut self, AskLoad(service): AskLoad, _: &mut Self::Context) -> Self::Result {
        let load: BackendLoad = self.requests.backends.load(self.clock.now_ms(), &service);
        MessageResult(load)
    }
}

impl Handler<AskAnswer> for Control {
    type Result = MessageResult<AskAnswer>;

    fn handle(&mut self, AskAnswer(id): AskAnswer, _: &mut Self::Context) -> Self::Result {
        let answer: Option<KeptAnswer> = self.requests.answers.get(id).cloned();
        if answer.is_some() {
            self.metrics.replayed.inc();
        }
        MessageResult(answer)
    }
}

impl Handler<Announce> for Control {
    type Result = ();

    fn handle(&mut self, Announce(announcement): Announce, _: &mut Self::Context) {
        let expires_ms = self.clock.now_ms() + self.settings.announce_ttl_ms;
        let open_before = self
            .requests
            .backends
            .open_count(self.clock.now_ms(), &announcement.service);
        let is_new = self.requests.backends.announce(&announcement, expires_ms);
        let open_after = self
            .requests
            .backends
            .open_count(self.clock.now_ms(), &announcement.service);
        if is_new {
            log_event!(info, Event::BackendAnnounced, service = %announcement.service, backend = %announcement.address);
        }
        if open_before != open_after {
            self.update_reserved();
            self.beat_soon.notify_one();
        }
    }
}

impl Handler<Fence> for Control {
    type Result = MessageResult<Fence>;

    fn handle(&mut self, Fence(request): Fence, _: &mut Self::Context) -> Self::Result {
        let answer: FenceAnswer = self.requests.fence(self.clock.now_ms(), &request);
        if answer == FenceAnswer::NeverSeen {
            self.waiting.remove(&request.id);
        }
        MessageResult(answer)
    }
}

impl Handler<MakeClaim> for Control {
    type Result = MessageResult<MakeClaim>;

    fn handle(&mut self, MakeClaim(claim): MakeClaim, _: &mut Self::Context) -> Self::Result {
        MessageResult(self.claims.claim(self.clock.now_ms(), &claim))
    }
}

impl Handler<ReleaseClaim> for Control {
    type Result = ();

    fn handle(&mut self, ReleaseClaim(claim): ReleaseClaim, _: &mut Self::Context) {
        self.claims.release(&claim);
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
        self.ledger.confirm(&ends);
        self.metrics
            .unconfirmed_ends
            .set(self.ledger.unconfirmed().count() as i64);
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
        MessageResult(self.entries.iter().copied().collect())
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
            self.ledger.held().count() + self.ledger.unconfirmed().count()
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
