//! The entry's control thread: all mutable state, reached by messages.

use crate::agents::AgentLinks;
use crate::control_peers::{DIGEST_EVERY, Gossip};
use crate::driver::Driver;
use crate::metrics::Metrics;
use crate::snapshot::Snapshot;
use crate::tuning::tuning;
use actix::{Actor, AsyncContext, Context};
use arc_swap::ArcSwap;
use errors::Failure;
use membership::{Members, Peers};
use model::{Config, RequestId};
use rand::SeedableRng;
use rand::rngs::StdRng;
use routing::{Dispatch, Dispatcher};
use settings::EntrySettings;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::oneshot;
use utils::{Clock, Map};
use wire::RequestState;

/// Time between two looks at the membership.
const MEMBER_TICK: Duration = Duration::from_millis(250);
/// Time without news from table and peers after which the entry asks for no more callers.
const CUT_OFF_MS: u64 = 10_000;

/// A waiting try.
pub(crate) struct Waiting {
    /// The request that it is a try of.
    pub(crate) origin: RequestId,
    /// Told where the try goes, or why it goes nowhere.
    pub(crate) reply: oneshot::Sender<Result<Dispatch, Failure>>,
}

/// The entry's mutable state.
pub(crate) struct Control {
    /// Settings of the process.
    pub(crate) settings: EntrySettings,
    /// Monotonic clock of the process.
    pub(crate) clock: Clock,
    /// Source of random choices.
    pub(crate) rng: StdRng,
    /// Configuration in force.
    pub(crate) config: Config,
    /// What traffic threads read.
    pub(crate) snapshot: Arc<ArcSwap<Snapshot>>,
    /// Metrics of the process.
    pub(crate) metrics: Metrics,
    /// Holds and routes requests.
    pub(crate) dispatcher: Dispatcher,
    /// Agents that are alive.
    pub(crate) members: Members,
    /// The other entries.
    pub(crate) peers: Peers,
    /// What the other entries are told.
    pub(crate) gossip: Gossip,
    /// Links for control calls.
    pub(crate) links: AgentLinks,
    /// Drives the shards that this entry owns.
    pub(crate) driver: Driver,
    /// Keyed requests that this entry acted for, with the agent that each was sent to.
    pub(crate) keyed: Map<RequestId, RequestState>,
    /// Waiting requests.
    pub(crate) waiting: Map<RequestId, Waiting>,
    /// Requests in flight.
    pub(crate) in_flight: usize,
    /// Whether a look at waiting requests is due.
    pub(crate) queue_timer: bool,
    /// When the table or a peer last answered.
    pub(crate) heard_ms: u64,
    /// Whether the table answered last time.
    pub(crate) store_up: bool,
    /// Whether a configuration was read since the start.
    pub(crate) loaded: bool,
    /// Whether the process shuts down.
    pub(crate) leaving: bool,
    /// Whether new requests are refused.
    pub(crate) closed: bool,
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
            gossip: Gossip::default(),
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

    pub(crate) fn publish(&mut self) {
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
}

impl Actor for Control {
    type Context = Context<Self>;

    fn started(&mut self, context: &mut Self::Context) {
        context.set_mailbox_capacity(usize::MAX >> 4);
        context.run_interval(MEMBER_TICK, |control, context| {
            control.on_member_tick(context);
        });
        self.send_digests();
        context.run_interval(DIGEST_EVERY, |control, _| control.send_digests());
        self.start_driver(context);
    }
}
