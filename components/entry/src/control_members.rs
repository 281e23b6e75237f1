//! Heartbeats of agents and the membership changes that follow from them.

use crate::control::Control;
use crate::messages::{HeartbeatReceived, PulseReceived};
use actix::{Context, Handler, MessageResult};
use membership::MembershipChange;
use std::net::SocketAddr;
use telemetry::{Event, log_event};
use utils::hash64;
use wire::{Heartbeat, HeartbeatAck, PulseAck};

impl Control {
    /// Expires silent agents and does the periodic work that depends on membership.
    pub(crate) fn on_member_tick(&mut self, context: &mut Context<Self>) {
        for change in self.members.expire(self.clock.now_ms()) {
            self.on_change(&change, context);
        }
        self.send_changed_digests();
        self.refresh_loads(context);
        self.links.close_idle();
        self.metrics.agents.set(self.members.iter().count() as i64);
        let direct = self.members.direct().count() as i64;
        self.metrics.agents_direct.set(direct);
        self.record_datagram_bytes();
        self.publish_snapshot();
    }

    /// Logs a membership change and applies it to links, routing and batch work.
    pub(crate) fn on_change(&mut self, change: &MembershipChange, context: &mut Context<Self>) {
        match change {
            MembershipChange::Joined(agent) => {
                log_event!(info, Event::AgentJoined, agent = %agent);
                self.send_adoptions(agent, context);
                for shard in self.batch.shards.values_mut() {
                    shard.on_agent_restarted(agent);
                }
            }
            MembershipChange::Leaving(agent) => {
                log_event!(info, Event::AgentLeaving, agent = %agent);
            }
            MembershipChange::Lost(agent) => {
                log_event!(warn, Event::AgentLost, agent = %agent);
                self.dispatcher.on_lost(agent);
                self.batch.workers.on_lost(agent);
                self.links.remove(agent);
            }
        }
    }
}

impl Handler<HeartbeatReceived> for Control {
    type Result = MessageResult<HeartbeatReceived>;

    fn handle(
        &mut self,
        HeartbeatReceived(heartbeat): HeartbeatReceived,
        context: &mut Self::Context,
    ) -> Self::Result {
        let now_ms = self.clock.now_ms();
        if let Some(changes) = self.members.on_heartbeat(now_ms, &heartbeat) {
            self.apply_heartbeat(now_ms, &heartbeat, &changes, context);
        }
        let entries = self.open_entries(now_ms);
        MessageResult(HeartbeatAck {
            entry: self.settings.id.clone(),
            config: self.config.number,
            entries_tag: addresses_tag(&entries),
            entries,
            draining: self.is_draining,
        })
    }
}

impl Handler<PulseReceived> for Control {
    type Result = MessageResult<PulseReceived>;

    fn handle(
        &mut self,
        PulseReceived(pulse): PulseReceived,
        context: &mut Self::Context,
    ) -> Self::Result {
        let now_ms = self.clock.now_ms();
        let heartbeat = self.members.on_pulse(now_ms, &pulse).cloned();
        if let Some(heartbeat) = &heartbeat {
            self.apply_heartbeat(now_ms, heartbeat, &[], context);
        }
        MessageResult(PulseAck {
            known: self.members.knows_full_state(&pulse),
            config: self.config.number,
            entries_tag: addresses_tag(&self.open_entries(now_ms)),
        })
    }
}

impl Control {
    /// Applies a heartbeat and its changes, then dispatches queued requests to slots that it freed.
    pub(crate) fn apply_heartbeat(
        &mut self,
        now_ms: u64,
        heartbeat: &Heartbeat,
        changes: &[MembershipChange],
        context: &mut Context<Self>,
    ) {
        self.links.on_heartbeat(heartbeat);
        self.dispatcher.on_heartbeat(now_ms, heartbeat);
        self.batch.workers.on_heartbeat(heartbeat);
        for change in changes {
            self.on_change(change, context);
        }
        self.dispatch_queued(context);
    }

    /// Control addresses of entries that are not draining, this one included, in sorted order.
    fn open_entries(&self, now_ms: u64) -> Vec<SocketAddr> {
        let mut entries = self.peers.addresses(now_ms);
        if !self.is_draining {
            entries.push(self.settings.control_listen);
        }
        entries.sort();
        entries
    }
}

/// Hashes a sorted list of addresses. An agent that knows another tag sends a full heartbeat, whose
/// answer has the list.
fn addresses_tag(addresses: &[SocketAddr]) -> u64 {
    let text: Vec<String> = addresses.iter().map(ToString::to_string).collect();
    hash64(&text.join(" "))
}
