//! The control thread's actor, which owns all mutable state of the entry.

use crate::agent_links::AgentLinks;
use crate::batch_state::BatchState;
use crate::control_peers::{DIGEST_INTERVAL, Gossip};
use crate::metrics::Metrics;
use crate::routing_options::routing_options;
use crate::snapshot::Snapshot;
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

/// Interval of membership expiry and of the tasks that go with it.
const MEMBER_INTERVAL: Duration = Duration::from_millis(250);
/// Time without contact to the table or any peer after which the entry counts as isolated, and
/// reports that it is not ready.
const ISOLATION_TIMEOUT_MS: u64 = 10_000;

/// A try that is queued for a slot.
pub(crate) struct QueuedTry {
    /// Id of the request, which is also the id of its first try.
    pub(crate) request_id: RequestId,
    /// Receives the agent to send to, or the reason for a refusal.
    pub(crate) reply: oneshot::Sender<Result<Dispatch, Failure>>,
}

/// The entry's mutable state, changed only by messages and timers on one thread.
pub(crate) struct Control {
    /// Settings, fixed for the life of the process.
    pub(crate) settings: EntrySettings,
    /// Monotonic clock of the process.
    pub(crate) clock: Clock,
    /// Random source for routing, placement and backoff.
    pub(crate) rng: StdRng,
    /// Configuration in force: the result of all tickets seen.
    pub(crate) config: Config,
    /// State published to the traffic and admin threads.
    pub(crate) snapshot: Arc<ArcSwap<Snapshot>>,
    /// Metrics, shared with the other threads.
    pub(crate) metrics: Metrics,
    /// Request queues and routing.
    pub(crate) dispatcher: Dispatcher,
    /// Live agents, by their own heartbeats or relayed by other entries.
    pub(crate) members: Members,
    /// The other entries, by their digests.
    pub(crate) peers: Peers,
    /// State of the digests that this entry sends.
    pub(crate) gossip: Gossip,
    /// Connections for control calls to agents.
    pub(crate) links: AgentLinks,
    /// Batch work: shards that this entry owns, workers and usage.
    pub(crate) batch: BatchState,
    /// Requests with an idempotency key received here, with the agent to which each was sent.
    pub(crate) keyed: Map<RequestId, RequestState>,
    /// Queued tries by try id.
    pub(crate) queued_tries: Map<RequestId, QueuedTry>,
    /// Number of tries sent to agents and not yet ended.
    pub(crate) in_flight: usize,
    /// Whether a timer for the next dispatch pass is set.
    pub(crate) has_queue_timer: bool,
    /// Time of the last contact to the table or a peer.
    pub(crate) last_contact_ms: u64,
    /// Whether the last call to the table succeeded.
    pub(crate) store_up: bool,
    /// Whether a configuration was received since the start.
    pub(crate) has_config: bool,
    /// Whether shutdown has started; the entry then releases its shards and claims no others.
    pub(crate) is_draining: bool,
    /// Whether new requests are refused; set after the drain notice.
    pub(crate) refuses_requests: bool,
}

impl Control {
    pub fn new(
        settings: EntrySettings,
        clock: Clock,
        snapshot: Arc<ArcSwap<Snapshot>>,
        metrics: Metrics,
    ) -> Self {
        let routing_options = routing_options(&settings);
        Self {
            rng: StdRng::from_rng(&mut rand::rng()),
            config: Config::default(),
            snapshot,
            metrics,
            dispatcher: Dispatcher::new(routing_options, settings.domain.clone()),
            members: Members::new(settings.routing.heartbeat_ttl_ms),
            peers: Peers::default(),
            gossip: Gossip::default(),
            links: AgentLinks::default(),
            batch: BatchState::new(&settings),
            keyed: Map::default(),
            queued_tries: Map::default(),
            in_flight: 0,
            has_queue_timer: false,
            last_contact_ms: clock.now_ms(),
            store_up: false,
            has_config: false,
            is_draining: false,
            refuses_requests: false,
            clock,
            settings,
        }
    }

    /// Publishes a new snapshot to the other threads if it differs from the current one.
    pub(crate) fn publish_snapshot(&mut self) {
        let is_isolated =
            self.clock.now_ms().saturating_sub(self.last_contact_ms) >= ISOLATION_TIMEOUT_MS;
        let now = self.snapshot.load();
        let is_same = now.config.number == self.config.number
            && now.has_config == self.has_config
            && now.is_isolated == is_isolated
            && now.is_draining == self.is_draining
            && now.refuses_requests == self.refuses_requests;
        if is_same {
            return;
        }
        self.snapshot.store(Arc::new(Snapshot {
            config: self.config.clone(),
            has_config: self.has_config,
            is_isolated,
            is_draining: self.is_draining,
            refuses_requests: self.refuses_requests,
        }));
    }
}

impl Actor for Control {
    type Context = Context<Self>;

    fn started(&mut self, context: &mut Self::Context) {
        context.set_mailbox_capacity(usize::MAX >> 4);
        context.run_interval(MEMBER_INTERVAL, |control, context| {
            control.on_member_tick(context);
        });
        self.send_digests();
        context.run_interval(DIGEST_INTERVAL, |control, _| control.send_digests());
        self.start_batch_timers(context);
    }
}
