//! Control connections to agents, owned by the control thread.

use crate::control::Control;
use crate::messages::{FenceOutcome, QueryFence};
use actix::{Handler, ResponseFuture};
use model::AgentId;
use std::net::SocketAddr;
use std::time::Duration;
use utils::Map;
use wire::{AgentLink, Heartbeat};

/// Timeout of a fence call to an agent.
const FENCE_TIMEOUT: Duration = Duration::from_millis(400);

/// Idle time after which a control connection to an agent is closed.
const LINK_IDLE: Duration = Duration::from_secs(10);

/// Control connections to live agents; each connects on its first call.
#[derive(Default)]
pub(crate) struct AgentLinks {
    /// Links by agent id.
    by_agent: Map<AgentId, AgentLink>,
}

impl AgentLinks {
    /// Creates or replaces an agent's link if its heartbeat has a new control address.
    pub fn on_heartbeat(&mut self, heartbeat: &Heartbeat) {
        let known = self.by_agent.get(&heartbeat.agent).map(AgentLink::address);
        if known != Some(heartbeat.control) {
            self.by_agent
                .insert(heartbeat.agent.clone(), AgentLink::new(heartbeat.control));
        }
    }

    /// Removes the link of an agent that was lost.
    pub fn remove(&mut self, agent: &AgentId) {
        self.by_agent.remove(agent);
    }

    /// Closes idle connections, so that memory does not grow with the number of agents.
    pub fn close_idle(&self) {
        for link in self.by_agent.values() {
            link.close_if_idle(LINK_IDLE);
        }
    }

    /// Returns the link to a live agent.
    pub fn get(&self, agent: &AgentId) -> Option<AgentLink> {
        self.by_agent.get(agent).cloned()
    }

    /// Returns the link to an agent, or a new one to its last known address if it is not live.
    pub fn get_or_new(&self, agent: &AgentId, address: SocketAddr) -> AgentLink {
        self.get(agent).unwrap_or_else(|| AgentLink::new(address))
    }
}

impl Handler<QueryFence> for Control {
    type Result = ResponseFuture<FenceOutcome>;

    fn handle(&mut self, query: QueryFence, _: &mut Self::Context) -> Self::Result {
        let is_alive = self.members.get(&query.agent).is_some();
        let link = self.links.get_or_new(&query.agent, query.control);
        Box::pin(async move {
            let call = link.call(FENCE_TIMEOUT, |client, context| async move {
                client.fence(context, query.request).await
            });
            match call.await {
                Ok(answer) => FenceOutcome::Known(answer),
                Err(_) if is_alive => FenceOutcome::NoAnswer,
                Err(_) => FenceOutcome::AgentLost,
            }
        })
    }
}
