//! Heartbeats of agents and news of other entries.

use crate::control::Control;
use crate::messages::{Beat, Beating};
use actix::{Context, Handler, MessageResult};
use membership::MembershipChange;
use std::net::SocketAddr;
use telemetry::{Event, log_event};
use utils::hash64;
use wire::{Heartbeat, HeartbeatAck, PulseAck};

impl Control {
    pub(crate) fn on_member_tick(&mut self, context: &mut Context<Self>) {
        for change in self.members.expire(self.clock.now_ms()) {
            self.on_change(&change, context);
        }
        self.tell_changes();
        self.refresh_loads(context);
        self.links.close_idle();
        self.metrics.agents.set(self.members.iter().count() as i64);
        let direct = self.members.direct().count() as i64;
        self.metrics.agents_direct.set(direct);
        self.count_datagrams();
        self.publish();
    }

    pub(crate) fn on_change(&mut self, change: &MembershipChange, context: &mut Context<Self>) {
        match change {
            MembershipChange::Joined(agent) => {
                log_event!(info, Event::AgentJoined, agent = %agent);
                self.adopt_on(agent, context);
                for shard in self.driver.shards.values_mut() {
                    shard.on_agent_restarted(agent);
                }
            }
            MembershipChange::Leaving(agent) => {
                log_event!(info, Event::AgentLeaving, agent = %agent);
            }
            MembershipChange::Lost(agent) => {
                log_event!(warn, Event::AgentLost, agent = %agent);
                self.dispatcher.on_lost(agent);
                self.driver.workers.on_lost(agent);
                self.links.forget(agent);
            }
        }
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
            draining: self.leaving,
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
            known: self.members.knows_full_state(&pulse),
            config: self.config.number,
            entries_tag: tag(&self.open_entries(now_ms)),
        })
    }
}

impl Control {
    pub(crate) fn take_beat(
        &mut self,
        now_ms: u64,
        beat: &Heartbeat,
        changes: &[MembershipChange],
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
