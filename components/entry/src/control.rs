//! The entry's control thread: all mutable state, reached by messages.

use crate::agents::AgentLinks;
use crate::driver::Driver;
use crate::messages::{
    Abandon, AskConfig, AskLeft, AskStatus, Beat, Beating, Close, Drain, Ended, HearPeer,
    NewConfig, RetryKind, StoreHealth, Submit,
};
use crate::metrics::Metrics;
use crate::snapshot::Snapshot;
use crate::status::{AgentStatus, ClusterStatus, EntryStatus, TeamStatus};
use actix::{Actor, AsyncContext, Context, Handler, MessageResult};
use arc_swap::ArcSwap;
use errors::Failure;
use membership::{Change, Members, Peers};
use model::{AgentId, Config, RequestId};
use rand::SeedableRng;
use rand::rngs::StdRng;
use routing::{Decision, Dispatch, Dispatcher, Policy, Tuning};
use settings::{EntrySettings, RoutingPolicy};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use telemetry::{Event, log_event};
use tokio::sync::oneshot;
use utils::{Clock, Map, hash64};
use wire::{Heartbeat, HeartbeatAck, PeerState, PulseAck, RequestState};

/// Time between two looks at the membership.
const MEMBER_TICK: Duration = Duration::from_millis(250);
/// Time between two looks at waiting requests.
const QUEUE_TICK: Duration = Duration::from_millis(5);
/// Time without news from table and peers after which the entry asks for no more callers.
const CUT_OFF_MS: u64 = 10_000;
/// Keyed requests whose state is remembered.
const MAX_KEYED: usize = 50_000;

/// A waiting try.
struct Waiting {
    /// The request that it is a try of.
    origin: RequestId,
    reply: oneshot::Sender<Result<Dispatch, Failure>>,
}

/// The entry's mutable state.
pub(crate) struct Control {
    pub(crate) settings: EntrySettings,
    pub(crate) clock: Clock,
    pub(crate) rng: StdRng,
    pub(crate) config: Config,
    pub(crate) snapshot: Arc<ArcSwap<Snapshot>>,
    pub(crate) metrics: Metrics,
    pub(crate) dispatcher: Dispatcher,
    pub(crate) members: Members,
    pub(crate) peers: Peers,
    pub(crate) links: AgentLinks,
    pub(crate) driver: Driver,
    /// Keyed requests that this entry acted for, with the agent that each was sent to.
    pub(crate) keyed: Map<RequestId, RequestState>,
    /// Waiting requests.
    waiting: Map<RequestId, Waiting>,
    in_flight: usize,
    queue_timer: bool,
    /// When the table or a peer last answered.
    heard_ms: u64,
    store_up: bool,
    loaded: bool,
    leaving: bool,
    closed: bool,
}

impl Control {
    pub fn new(
        settings: EntrySettings,
        clock: Clock,
        snapshot: Arc<ArcSwap<Snapshot>>,
        metrics: Metrics,
    ) -> Self {
        let tuning = tuning(&settings);
        Self {
            rng: StdRng::from_rng(&mut rand::rng()),
            config: Config::default(),
            snapshot,
            metrics,
            dispatcher: Dispatcher::new(tuning, settings.domain.clone()),
            members: Members::new(settings.routing.heartbeat_ttl_ms),
            peers: Peers::default(),
            links: AgentLinks::default(),
            driver: Driver::new(&settings),
            keyed: Map::default(),
            waiting: Map::default(),
            in_flight: 0,
            queue_timer: false,
            heard_ms: clock.now_ms(),
            store_up: false,
            loaded: false,
            leaving: false,
            closed: false,
            clock,
            settings,
        }
    }

    /// Whether the entry gives its shards up.
    pub(crate) fn is_leaving(&self) -> bool {
        self.leaving
    }

    fn publish(&mut self) {
        let cut_off = self.clock.now_ms().saturating_sub(self.heard_ms) >= CUT_OFF_MS;
        let now = self.snapshot.load();
        let is_same = now.config.number == self.config.number
            && now.loaded == self.loaded
            && now.cut_off == cut_off
            && now.leaving == self.leaving
            && now.closed == self.closed;
        if is_same {
            return;
        }
        self.snapshot.store(Arc::new(Snapshot {
            config: self.config.clone(),
            loaded: self.loaded,
            cut_off,
            leaving: self.leaving,
            closed: self.closed,
        }));
    }

    /// Sends or refuses waiting requests.
    fn pump(&mut self, context: &mut Context<Self>) {
        let now_ms = self.clock.now_ms();
        for decision in self.dispatcher.decide(now_ms, &mut self.rng) {
            self.carry_out(now_ms, decision);
        }
        self.metrics.waiting.set(self.waiting.len() as i64);
        if !self.waiting.is_empty() && !self.queue_timer {
            self.queue_timer = true;
            context.run_later(QUEUE_TICK, |control, context| {
                control.queue_timer = false;
                control.pump(context);
            });
        }
    }

    fn carry_out(&mut self, now_ms: u64, decision: Decision) {
        let (id, outcome) = match decision {
            Decision::Send(dispatch) => (dispatch.id, Ok(dispatch)),
            Decision::Refuse(id, failure) => (id, Err(failure)),
        };
        let Some(Waiting { origin, reply }) = self.waiting.remove(&id) else {
            return;
        };
        let sent = outcome.as_ref().ok().cloned();
        if let Some(dispatch) = &sent {
            self.in_flight += 1;
            if let Some(state) = self.keyed.get_mut(&origin) {
                state.sent_as = id;
                state.agent = Some(dispatch.agent.clone());
                state.incarnation = dispatch.incarnation;
            }
        }
        if let (Err(Ok(dispatch)), Some(_)) = (reply.send(outcome), sent) {
            // The handler went away between the queue and the dispatch: nothing was sent.
            self.in_flight -= 1;
            let outcome = routing::TargetOutcome::Neutral;
            for service in self.services_of(&dispatch.agent) {
                self.dispatcher
                    .on_end(now_ms, &service, &dispatch.agent, outcome, None);
            }
        }
    }

    fn services_of(&self, agent: &AgentId) -> Vec<model::ServiceName> {
        let services = self.members.get(agent).map(|member| &member.beat.services);
        services
            .into_iter()
            .flatten()
            .map(|load| load.service.clone())
            .collect()
    }

    fn on_member_tick(&mut self, context: &mut Context<Self>) {
        for change in self.members.expire(self.clock.now_ms()) {
            self.on_change(&change, context);
        }
        self.metrics.agents.set(self.members.iter().count() as i64);
        self.publish();
    }

    fn on_change(&mut self, change: &Change, context: &mut Context<Self>) {
        match change {
            Change::Joined(agent) => {
                log_event!(info, Event::AgentJoined, agent = %agent);
                self.adopt_on(agent, context);
                for shard in self.driver.shards.values_mut() {
                    shard.on_agent_restarted(agent);
                }
            }
            Change::Leaving(agent) => {
                log_event!(info, Event::AgentLeaving, agent = %agent);
            }
            Change::Lost(agent) => {
                log_event!(warn, Event::AgentLost, agent = %agent);
                self.dispatcher.on_lost(agent);
                self.driver.workers.on_lost(agent);
                self.links.forget(agent);
            }
        }
    }

    fn peer_state(&self) -> PeerState {
        PeerState {
            entry: self.settings.id.clone(),
            control: self.settings.control_listen,
            domain: self.settings.domain.clone(),
            config: self.config.number,
            draining: self.leaving,
        }
    }

    fn agent_statuses(&self) -> Vec<AgentStatus> {
        let now_ms = self.clock.now_ms();
        let workers = &self.driver.workers;
        let quarantined = |agent: &AgentId| {
            workers
                .get(agent)
                .is_some_and(|worker| worker.is_quarantined(now_ms))
        };
        let status = |member: &membership::Member| AgentStatus {
            agent: member.beat.agent.clone(),
            domain: member.beat.domain.clone(),
            config: member.beat.config,
            draining: member.beat.draining,
            quarantined: quarantined(&member.beat.agent),
            capacity: member.beat.capacity,
            free: member.beat.free,
            services: member.beat.services.clone(),
        };
        self.members.iter().map(status).collect()
    }

    fn team_statuses(&self) -> Vec<TeamStatus> {
        let shards = self.settings.batch.shards;
        let status = |spec: &model::TeamSpec| {
            let shard = model::JobId::from(format!("{}.", spec.name)).shard(shards);
            let is_own = self.driver.shards.contains_key(&shard);
            let used = is_own.then(|| self.driver.usage.of(&spec.name));
            TeamStatus {
                team: spec.name.clone(),
                quota: spec.quota,
                used,
            }
        };
        self.config.teams.values().map(status).collect()
    }
}

fn tuning(settings: &EntrySettings) -> Tuning {
    let routing = &settings.routing;
    Tuning {
        policy: match routing.policy {
            RoutingPolicy::LateBinding => Policy::LateBinding,
            RoutingPolicy::Random => Policy::Random,
            RoutingPolicy::RoundRobin => Policy::RoundRobin,
            RoutingPolicy::LeastOutstanding => Policy::LeastOutstanding,
            RoutingPolicy::TwoChoices => Policy::TwoChoices,
        },
        queue_limit: routing.queue_limit,
        retry_percent: routing.retry_percent,
        max_tries: routing.max_tries,
        eject_failures: routing.eject_failures,
        eject_ms: routing.eject_ms,
        slow_start_ms: routing.slow_start_ms,
        heartbeat_ttl_ms: routing.heartbeat_ttl_ms,
    }
}

impl Actor for Control {
    type Context = Context<Self>;

    fn started(&mut self, context: &mut Self::Context) {
        context.set_mailbox_capacity(usize::MAX >> 4);
        context.run_interval(MEMBER_TICK, |control, context| {
            control.on_member_tick(context);
        });
        self.start_driver(context);
    }
}

impl Handler<Submit> for Control {
    type Result = ();

    fn handle(&mut self, mut message: Submit, context: &mut Self::Context) {
        let now_ms = self.clock.now_ms();
        let pending = &mut message.pending;
        pending.class = self.dispatcher.run_times.class(pending.route);
        pending.expected_ms = self.dispatcher.run_times.expected_ms(pending.route);
        let (id, origin) = (pending.id, pending.origin);
        let taken = match message.retry {
            None => self.dispatcher.submit(now_ms, message.pending),
            Some(kind) => {
                self.metrics.retries.inc();
                self.dispatcher
                    .retry(now_ms, message.pending, kind == RetryKind::Failure)
            }
        };
        match taken {
            Ok(()) => {
                self.waiting.insert(
                    id,
                    Waiting {
                        origin,
                        reply: message.reply,
                    },
                );
                self.pump(context);
            }
            Err(failure) => drop(message.reply.send(Err(failure))),
        }
    }
}

impl Handler<Abandon> for Control {
    type Result = ();

    fn handle(&mut self, message: Abandon, _: &mut Self::Context) {
        if self.waiting.remove(&message.id).is_some() {
            self.dispatcher.abandon(&message.service, message.id);
        }
    }
}

impl Handler<Ended> for Control {
    type Result = ();

    fn handle(&mut self, end: Ended, context: &mut Self::Context) {
        let now_ms = self.clock.now_ms();
        self.in_flight = self.in_flight.saturating_sub(1);
        self.metrics.in_flight.set(self.in_flight as i64);
        if end.uncertain {
            log_event!(warn, Event::RequestUncertain, request = %end.id, agent = %end.agent);
        }
        let run_ms = end.ran.map(|(route, run_ms)| {
            let threshold_ms = self
                .config
                .services
                .get(&end.service)
                .map_or(500, |spec| spec.long_threshold_ms);
            self.dispatcher.run_times.add(route, run_ms, threshold_ms);
            run_ms
        });
        let ejected = self
            .dispatcher
            .on_end(now_ms, &end.service, &end.agent, end.outcome, run_ms);
        if ejected {
            log_event!(warn, Event::AgentEjected, agent = %end.agent, service = %end.service);
        }
        if let Some(load) = end.load {
            self.dispatcher
                .on_load(now_ms, &end.service, &end.agent, load);
        }
        self.pump(context);
    }
}

impl Handler<Beat> for Control {
    type Result = MessageResult<Beat>;

    fn handle(&mut self, Beat(beat): Beat, context: &mut Self::Context) -> Self::Result {
        let now_ms = self.clock.now_ms();
        if let Some(changes) = self.members.on_heartbeat(now_ms, &beat) {
            self.take_beat(now_ms, &beat, &changes, context);
        }
        let entries = self.open_entries(now_ms);
        MessageResult(HeartbeatAck {
            entry: self.settings.id.clone(),
            config: self.config.number,
            entries_tag: tag(&entries),
            entries,
        })
    }
}

impl Handler<Beating> for Control {
    type Result = MessageResult<Beating>;

    fn handle(&mut self, Beating(pulse): Beating, context: &mut Self::Context) -> Self::Result {
        let now_ms = self.clock.now_ms();
        let beat = self.members.on_pulse(now_ms, &pulse).cloned();
        if let Some(beat) = &beat {
            self.take_beat(now_ms, beat, &[], context);
        }
        MessageResult(PulseAck {
            known: beat.is_some(),
            config: self.config.number,
            entries_tag: tag(&self.open_entries(now_ms)),
        })
    }
}

impl Control {
    fn take_beat(
        &mut self,
        now_ms: u64,
        beat: &Heartbeat,
        changes: &[Change],
        context: &mut Context<Self>,
    ) {
        self.links.heard(beat);
        self.dispatcher.on_heartbeat(now_ms, beat);
        self.driver.workers.on_heartbeat(beat);
        for change in changes {
            self.on_change(change, context);
        }
        self.pump(context);
    }

    /// Control addresses of entries that take work, this one included.
    fn open_entries(&self, now_ms: u64) -> Vec<SocketAddr> {
        let mut entries = self.peers.addresses(now_ms);
        if !self.leaving {
            entries.push(self.settings.control_listen);
        }
        entries.sort();
        entries
    }
}

/// A number that changes with a set of addresses.
fn tag(addresses: &[SocketAddr]) -> u64 {
    let text: Vec<String> = addresses.iter().map(ToString::to_string).collect();
    hash64(&text.join(" "))
}

impl Handler<HearPeer> for Control {
    type Result = MessageResult<HearPeer>;

    fn handle(&mut self, HearPeer(state): HearPeer, _: &mut Self::Context) -> Self::Result {
        if let Some(state) = state.filter(|state| state.entry != self.settings.id) {
            self.heard_ms = self.clock.now_ms();
            self.peers.heard(self.heard_ms, state);
        }
        MessageResult(self.peer_state())
    }
}

impl Handler<AskConfig> for Control {
    type Result = MessageResult<AskConfig>;

    fn handle(&mut self, ask: AskConfig, _: &mut Self::Context) -> Self::Result {
        let is_newer = self.loaded && self.config.number > ask.after;
        MessageResult(is_newer.then(|| self.config.clone()))
    }
}

impl Handler<NewConfig> for Control {
    type Result = ();

    fn handle(&mut self, NewConfig(config): NewConfig, _: &mut Self::Context) {
        self.loaded = true;
        if self.config.advance_to(&config) {
            log_event!(info, Event::ConfigInForce, number = self.config.number);
        }
        self.metrics.config_number.set(self.config.number as i64);
        self.publish();
    }
}

impl Handler<StoreHealth> for Control {
    type Result = ();

    fn handle(&mut self, health: StoreHealth, _: &mut Self::Context) {
        if health.up {
            self.heard_ms = self.clock.now_ms();
        }
        if health.up != self.store_up {
            let event = if health.up {
                Event::StoreUp
            } else {
                Event::StoreDown
            };
            log_event!(warn, event, entry = %self.settings.id);
        }
        self.store_up = health.up;
        self.metrics.store_up.set(i64::from(health.up));
    }
}

impl Handler<AskStatus> for Control {
    type Result = MessageResult<AskStatus>;

    fn handle(&mut self, _: AskStatus, _: &mut Self::Context) -> Self::Result {
        let now_ms = self.clock.now_ms();
        let own = self.peer_state();
        let peers = self.peers.live(now_ms).map(|peer| peer.state.clone());
        let status = |state: PeerState| EntryStatus {
            entry: state.entry,
            config: state.config,
            draining: state.draining,
        };
        MessageResult(ClusterStatus {
            entry: self.settings.id.clone(),
            config: self.config.number,
            store_up: self.store_up,
            shards: self.driver.shards.keys().copied().collect(),
            waiting: self.waiting.len(),
            entries: std::iter::once(own).chain(peers).map(status).collect(),
            agents: self.agent_statuses(),
            teams: self.team_statuses(),
        })
    }
}

impl Handler<Drain> for Control {
    type Result = ();

    fn handle(&mut self, _: Drain, _: &mut Self::Context) {
        log_event!(info, Event::DrainStarted, entry = %self.settings.id);
        self.leaving = true;
        self.publish();
        for shard in self.driver.shards.values_mut() {
            shard.release();
        }
    }
}

impl Handler<Close> for Control {
    type Result = ();

    fn handle(&mut self, _: Close, _: &mut Self::Context) {
        self.closed = true;
        self.publish();
    }
}

impl Handler<AskLeft> for Control {
    type Result = usize;

    fn handle(&mut self, _: AskLeft, _: &mut Self::Context) -> usize {
        let shards = if self.store_up {
            self.driver.shards.len()
        } else {
            0
        };
        self.in_flight + self.waiting.len() + shards
    }
}

impl Control {
    /// Remembers a keyed request that this entry acts for.
    pub(crate) fn remember_keyed(&mut self, id: RequestId) {
        if self.keyed.len() >= MAX_KEYED {
            let oldest = self.keyed.keys().min().copied();
            oldest.map(|oldest| self.keyed.remove(&oldest));
        }
        let state = RequestState {
            agent: None,
            sent_as: id,
            incarnation: 0,
            active: true,
        };
        self.keyed.insert(id, state);
    }
}
