//! Digests to and from the other entries, and the agents that these relay.

use crate::control::Control;
use crate::messages::{AskLoads, AskView, HearDigest, HearLoads, HearView};
use crate::peers::{Wanted, fetch, fetch_loads};
use actix::{AsyncContext, Context, Handler, MessageResult};
use membership::{HeartbeatSource, MembershipChange};
use model::AgentId;
use std::net::SocketAddr;
use std::time::Duration;
use utils::{Map, hash64};
use wire::{Digest, Heartbeat, Meter, PeerState, PeerView, Pulse};

/// Time between two digests to each other entry.
pub(crate) const DIGEST_EVERY: Duration = Duration::from_millis(2_000);
/// Digests sent on a change, one each tick, so that a lost one delays the news by a tick.
const DIGESTS_ON_CHANGE: u32 = 2;
/// Shortest time between two fetches from one entry, in milliseconds.
const FETCH_EVERY_MS: u64 = 200;
/// Time between two fetches of loads while tasks wait, in milliseconds.
const LOADS_EVERY_MS: u64 = 5_000;

/// What this entry tells the others, and when.
#[derive(Default)]
pub(crate) struct Gossip {
    /// The last digest sent.
    told: Option<Digest>,
    /// Digests still to send for the last change.
    repeats: u32,
    /// When something was last fetched from each entry, in milliseconds.
    fetched_ms: Map<SocketAddr, u64>,
    /// When loads were last fetched, in milliseconds.
    loads_ms: u64,
    /// Counts what datagrams cost.
    pub(crate) meter: Meter,
}

impl Control {
    pub(crate) fn peer_state(&self) -> PeerState {
        PeerState {
            entry: self.settings.id.clone(),
            control: self.settings.control_listen,
            domain: self.settings.domain.clone(),
            config: self.config.number,
            draining: self.leaving,
        }
    }

    fn digest(&self) -> Digest {
        let state = self.peer_state();
        let of_agents = self.members.direct().map(|beat| beat.config);
        let tag = self.members.tag() ^ hash64(state.entry.as_str());
        Digest {
            control: state.control,
            tag: tag as u32,
            config: state.config,
            agents_config: of_agents.min().unwrap_or(0),
            draining: state.draining,
        }
    }

    fn view(&self) -> PeerView {
        PeerView {
            state: self.peer_state(),
            tag: self.digest().tag,
            beats: self.members.direct().cloned().collect(),
        }
    }

    /// Tells the others of a change as soon as there is one.
    pub(crate) fn tell_changes(&mut self) {
        let digest = self.digest();
        if self.gossip.told != Some(digest) {
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
        self.gossip.told = Some(digest);
        for peer in self.settings.peers.clone() {
            self.send_digest(peer, digest);
        }
    }

    fn send_digest(&self, peer: SocketAddr, digest: Digest) {
        let meter = self.gossip.meter.clone();
        actix_rt::spawn(async move { drop(wire::send_digest(peer, digest, &meter).await) });
    }

    /// Passes on what datagrams cost since the last time.
    pub(crate) fn count_datagrams(&self) {
        let meter = &self.gossip.meter;
        self.metrics.datagram_sent_bytes.inc_by(meter.take_sent());
        let received = meter.take_received();
        self.metrics.datagram_received_bytes.inc_by(received);
    }

    /// Asks the entries that relay agents for loads, if tasks wait for room.
    pub(crate) fn refresh_loads(&mut self, context: &mut Context<Self>) {
        let now_ms = self.clock.now_ms();
        let waits = self.driver.shards.values().any(|shard| shard.backlog() > 0);
        if !waits || now_ms.saturating_sub(self.gossip.loads_ms) < LOADS_EVERY_MS {
            return;
        }
        self.gossip.loads_ms = now_ms;
        for home in self.relaying() {
            actix_rt::spawn(fetch_loads(context.address(), home));
        }
    }

    /// Entries that relay agents that are not heard here.
    fn relaying(&self) -> Vec<SocketAddr> {
        let relays = |home: &SocketAddr| {
            let source = HeartbeatSource::Relayed(*home);
            self.members.iter().any(|member| member.source == source)
        };
        self.members.relaying_entries().filter(relays).collect()
    }

    fn may_fetch(&mut self, now_ms: u64, peer: SocketAddr) -> bool {
        let fetched_ms = self.gossip.fetched_ms.get(&peer);
        if fetched_ms.is_some_and(|fetched_ms| now_ms.saturating_sub(*fetched_ms) < FETCH_EVERY_MS)
        {
            return false;
        }
        self.gossip.fetched_ms.insert(peer, now_ms);
        true
    }

    /// Takes the states of relayed agents into routing and placement.
    fn take_relayed(
        &mut self,
        home: SocketAddr,
        changes: &[MembershipChange],
        context: &mut Context<Self>,
    ) {
        let now_ms = self.clock.now_ms();
        let source = HeartbeatSource::Relayed(home);
        let relayed = self.members.iter().filter(|m| m.source == source);
        let beats: Vec<Heartbeat> = relayed.map(|member| member.beat.clone()).collect();
        for beat in &beats {
            let own: Vec<MembershipChange> = changes
                .iter()
                .filter(|change| *change.agent() == beat.agent)
                .cloned()
                .collect();
            self.take_beat(now_ms, beat, &own, context);
        }
        let taken = |agent: &AgentId| beats.iter().any(|beat| beat.agent == *agent);
        for change in changes.iter().filter(|change| !taken(change.agent())) {
            self.on_change(change, context);
        }
    }
}

impl Handler<HearDigest> for Control {
    type Result = ();

    fn handle(&mut self, HearDigest(digest): HearDigest, context: &mut Self::Context) {
        let now_ms = self.clock.now_ms();
        if digest.control == self.settings.control_listen {
            return;
        }
        self.heard_ms = now_ms;
        let is_known = self.peers.on_digest(now_ms, &digest);
        let has_view = self.members.on_digest(now_ms, &digest);
        let is_behind = digest.config > self.config.number || !self.loaded;
        let wanted = Wanted {
            view: !is_known || !has_view,
            config_after: is_behind.then_some(self.config.number),
        };
        if wanted.is_nothing() || !self.may_fetch(now_ms, digest.control) {
            return;
        }
        if !is_known {
            // One that just started is told at once, and not only after the next interval.
            self.send_digest(digest.control, self.digest());
        }
        actix_rt::spawn(fetch(context.address(), digest.control, wanted));
    }
}

impl Handler<HearView> for Control {
    type Result = ();

    fn handle(&mut self, HearView(view): HearView, context: &mut Self::Context) {
        let now_ms = self.clock.now_ms();
        let home = view.state.control;
        self.peers.update(now_ms, view.state);
        let changes = self.members.on_view(now_ms, home, view.tag, view.beats);
        self.take_relayed(home, &changes, context);
    }
}

impl Handler<HearLoads> for Control {
    type Result = ();

    fn handle(&mut self, HearLoads { home, loads }: HearLoads, context: &mut Self::Context) {
        let now_ms = self.clock.now_ms();
        for beat in self.members.on_loads(home, &loads) {
            self.take_beat(now_ms, &beat, &[], context);
        }
    }
}

impl Handler<AskView> for Control {
    type Result = MessageResult<AskView>;

    fn handle(&mut self, _: AskView, _: &mut Self::Context) -> Self::Result {
        MessageResult(self.view())
    }
}

impl Handler<AskLoads> for Control {
    type Result = Vec<Pulse>;

    fn handle(&mut self, _: AskLoads, _: &mut Self::Context) -> Self::Result {
        self.members.direct().map(Heartbeat::pulse).collect()
    }
}
