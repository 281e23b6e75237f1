//! Digests exchanged with other entries, and agents whose state those entries relay.

use crate::control::Control;
use crate::messages::{DigestReceived, LoadsReceived, QueryLoads, QueryView, ViewReceived};
use crate::peer_calls::{PeerFetch, fetch_from_peer, fetch_loads};
use actix::{AsyncContext, Context, Handler, MessageResult};
use membership::{HeartbeatSource, MembershipChange};
use model::AgentId;
use std::net::SocketAddr;
use std::time::Duration;
use utils::{Map, hash64};
use wire::{Digest, Heartbeat, Meter, PeerState, PeerView, Pulse};

/// Interval of digests to each other entry.
pub(crate) const DIGEST_INTERVAL: Duration = Duration::from_millis(2_000);
/// Digests sent after a change, one per tick, so that a lost datagram delays the change by only a
/// tick.
const DIGESTS_ON_CHANGE: u32 = 2;
/// Minimum interval between two fetches from one entry.
const MIN_FETCH_INTERVAL_MS: u64 = 200;
/// Interval of load fetches while tasks wait for placement.
const LOADS_INTERVAL_MS: u64 = 5_000;

/// State of the exchange of digests with the other entries.
#[derive(Default)]
pub(crate) struct Gossip {
    /// Last digest sent; `None` before the first.
    last_sent: Option<Digest>,
    /// Digests that remain to be sent for the last change.
    repeats: u32,
    /// Time of the last fetch from each entry.
    fetched_ms: Map<SocketAddr, u64>,
    /// Time of the last fetch of loads.
    loads_ms: u64,
    /// Counts the bytes of datagrams sent and received.
    pub(crate) meter: Meter,
}

impl Control {
    /// This entry's own state, as other entries see it.
    pub(crate) fn peer_state(&self) -> PeerState {
        PeerState {
            entry: self.settings.id.clone(),
            control: self.settings.control_listen,
            domain: self.settings.domain.clone(),
            config: self.config.number,
            draining: self.is_draining,
        }
    }

    /// Summary of this entry's state; its tag changes with the set and state of its direct agents.
    fn digest(&self) -> Digest {
        let state = self.peer_state();
        let agent_configs = self.members.direct().map(|heartbeat| heartbeat.config);
        let tag = self.members.tag() ^ hash64(state.entry.as_str());
        Digest {
            control: state.control,
            tag: tag as u32,
            config: state.config,
            agents_config: agent_configs.min().unwrap_or(0),
            draining: state.draining,
        }
    }

    /// Full state that other entries fetch when a digest has a new tag.
    fn view(&self) -> PeerView {
        PeerView {
            state: self.peer_state(),
            tag: self.digest().tag,
            beats: self.members.direct().cloned().collect(),
        }
    }

    /// Sends digests if this entry's state has changed since the last one, or a repeat is due.
    pub(crate) fn send_changed_digests(&mut self) {
        let digest = self.digest();
        if self.gossip.last_sent != Some(digest) {
            self.gossip.repeats = DIGESTS_ON_CHANGE;
        }
        if self.gossip.repeats > 0 {
            self.gossip.repeats -= 1;
            self.send_digests();
        }
    }

    /// Sends a digest to each other entry.
    pub(crate) fn send_digests(&mut self) {
        let digest = self.digest();
        self.gossip.last_sent = Some(digest);
        for peer in self.settings.peers.clone() {
            self.send_digest(peer, digest);
        }
    }

    fn send_digest(&self, peer: SocketAddr, digest: Digest) {
        let meter = self.gossip.meter.clone();
        actix_rt::spawn(async move { drop(wire::send_digest(peer, digest, &meter).await) });
    }

    /// Adds the datagram bytes since the last call to the metrics.
    pub(crate) fn record_datagram_bytes(&self) {
        let meter = &self.gossip.meter;
        self.metrics.datagram_sent_bytes.inc_by(meter.take_sent());
        let received = meter.take_received();
        self.metrics.datagram_received_bytes.inc_by(received);
    }

    /// Fetches loads from the entries that relay agents, if tasks wait for free capacity.
    pub(crate) fn refresh_loads(&mut self, context: &mut Context<Self>) {
        let now_ms = self.clock.now_ms();
        let has_backlog = self.batch.shards.values().any(|shard| shard.backlog() > 0);
        if !has_backlog || now_ms.saturating_sub(self.gossip.loads_ms) < LOADS_INTERVAL_MS {
            return;
        }
        self.gossip.loads_ms = now_ms;
        for entry in self.relaying_entries() {
            actix_rt::spawn(fetch_loads(context.address(), entry));
        }
    }

    /// Control addresses of the entries through which this entry knows at least one agent.
    fn relaying_entries(&self) -> Vec<SocketAddr> {
        let relays = |entry: &SocketAddr| {
            let source = HeartbeatSource::Relayed(*entry);
            self.members.iter().any(|member| member.source == source)
        };
        self.members.relaying_entries().filter(relays).collect()
    }

    /// Whether a fetch from this peer is allowed now; if so, records it.
    fn try_begin_fetch(&mut self, now_ms: u64, peer: SocketAddr) -> bool {
        let fetched_ms = self.gossip.fetched_ms.get(&peer);
        if fetched_ms
            .is_some_and(|fetched_ms| now_ms.saturating_sub(*fetched_ms) < MIN_FETCH_INTERVAL_MS)
        {
            return false;
        }
        self.gossip.fetched_ms.insert(peer, now_ms);
        true
    }

    /// Applies the states of all agents that an entry relays, with the given membership changes, to
    /// routing and placement. Changes of agents that it no longer relays are applied last.
    fn apply_relayed(
        &mut self,
        entry: SocketAddr,
        changes: &[MembershipChange],
        context: &mut Context<Self>,
    ) {
        let now_ms = self.clock.now_ms();
        let source = HeartbeatSource::Relayed(entry);
        let relayed = self.members.iter().filter(|m| m.source == source);
        let heartbeats: Vec<Heartbeat> = relayed.map(|member| member.heartbeat.clone()).collect();
        for heartbeat in &heartbeats {
            let agent_changes: Vec<MembershipChange> = changes
                .iter()
                .filter(|change| *change.agent() == heartbeat.agent)
                .cloned()
                .collect();
            self.apply_heartbeat(now_ms, heartbeat, &agent_changes, context);
        }
        let is_applied =
            |agent: &AgentId| heartbeats.iter().any(|heartbeat| heartbeat.agent == *agent);
        for change in changes.iter().filter(|change| !is_applied(change.agent())) {
            self.on_change(change, context);
        }
    }
}

impl Handler<DigestReceived> for Control {
    type Result = ();

    fn handle(&mut self, DigestReceived(digest): DigestReceived, context: &mut Self::Context) {
        let now_ms = self.clock.now_ms();
        if digest.control == self.settings.control_listen {
            return;
        }
        self.last_contact_ms = now_ms;
        let is_known = self.peers.on_digest(now_ms, &digest);
        let has_view = self.members.on_digest(now_ms, &digest);
        let is_behind = digest.config > self.config.number || !self.has_config;
        let fetch = PeerFetch {
            view: !is_known || !has_view,
            config_after: is_behind.then_some(self.config.number),
        };
        if fetch.is_empty() || !self.try_begin_fetch(now_ms, digest.control) {
            return;
        }
        if !is_known {
            // Lets an entry that just started know of this one before the next interval.
            self.send_digest(digest.control, self.digest());
        }
        actix_rt::spawn(fetch_from_peer(context.address(), digest.control, fetch));
    }
}

impl Handler<ViewReceived> for Control {
    type Result = ();

    fn handle(&mut self, ViewReceived(view): ViewReceived, context: &mut Self::Context) {
        let now_ms = self.clock.now_ms();
        let entry = view.state.control;
        self.peers.update(now_ms, view.state);
        let changes = self.members.on_view(now_ms, entry, view.tag, view.beats);
        self.apply_relayed(entry, &changes, context);
    }
}

impl Handler<LoadsReceived> for Control {
    type Result = ();

    fn handle(
        &mut self,
        LoadsReceived { entry, loads }: LoadsReceived,
        context: &mut Self::Context,
    ) {
        let now_ms = self.clock.now_ms();
        for heartbeat in self.members.on_loads(entry, &loads) {
            self.apply_heartbeat(now_ms, &heartbeat, &[], context);
        }
    }
}

impl Handler<QueryView> for Control {
    type Result = MessageResult<QueryView>;

    fn handle(&mut self, _: QueryView, _: &mut Self::Context) -> Self::Result {
        MessageResult(self.view())
    }
}

impl Handler<QueryLoads> for Control {
    type Result = Vec<Pulse>;

    fn handle(&mut self, _: QueryLoads, _: &mut Self::Context) -> Self::Result {
        self.members.direct().map(Heartbeat::pulse).collect()
    }
}
