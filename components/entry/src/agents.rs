//! Links to agents, kept on the control thread.

use crate::control::Control;
use crate::messages::{AskFence, FenceOutcome};
use actix::{Handler, ResponseFuture};
use model::AgentId;
use std::net::SocketAddr;
use std::time::Duration;
use utils::Map;
use wire::{AgentLink, Heartbeat};

/// Time for asking an agent about a request.
const FENCE_TIMEOUT: Duration = Duration::from_millis(400);

/// Time without a call after which a connection to an agent is closed.
const LINK_IDLE: Duration = Duration::from_secs(10);

/// Links to agents.
#[derive(Default)]
pub(crate) struct AgentLinks {
    /// Links by agent.
    by_agent: Map<AgentId, AgentLink>,
}

impl AgentLinks {
    /// Takes an agent's address from its heartbeat.
    pub fn heard(&mut self, beat: &Heartbeat) {
        let known = self.by_agent.get(&beat.agent).map(AgentLink::address);
        if known != Some(beat.control) {
            self.by_agent
                .insert(beat.agent.clone(), AgentLink::new(beat.control));
        }
    }

    /// Forgets an agent.
    pub fn forget(&mut self, agent: &AgentId) {
        self.by_agent.remove(agent);
    }

    /// Closes connections that no call has used of late, so that memory does not grow with agents.
    pub fn close_idle(&self) {
        for link in self.by_agent.values() {
            link.close_if_idle(LINK_IDLE);
        }
    }

    /// The link to an agent, if it is alive.
    pub fn get(&self, agent: &AgentId) -> Option<AgentLink> {
        self.by_agent.get(agent).cloned()
    }

    /// The link to an agent, or a new one to the address where it was.
    pub fn get_or_new(&self, agent: &AgentId, address: SocketAddr) -> AgentLink {
        self.get(agent).unwrap_or_else(|| AgentLink::new(address))
    }
}

impl Handler<AskFence> for Control {
    type Result = ResponseFuture<FenceOutcome>;

    fn handle(&mut self, ask: AskFence, _: &mut Self::Context) -> Self::Result {
        let is_alive = self.members.get(&ask.agent).is_some();
        let link = self.links.get_or_new(&ask.agent, ask.control);
        Box::pin(async move {
            let call = link.call(FENCE_TIMEOUT, |client, context| async move {
                client.fence(context, ask.request).await
            });
            match call.await {
                Ok(answer) => FenceOutcome::Known(answer),
                Err(_) if is_alive => FenceOutcome::NoAnswer,
                Err(_) => FenceOutcome::Gone,
            }
        })
    }
}
