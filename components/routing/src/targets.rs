//! Agents that offer one service.

use crate::Target;
use model::AgentId;
use utils::Map;
use wire::{BackendLoad, Heartbeat, ServiceLoad};

/// Agents that offer one service, sorted by name.
#[derive(Debug, Default)]
pub struct Targets {
    /// Targets sorted by agent name.
    list: Vec<Target>,
    /// Index of each agent in `list`.
    position: Map<AgentId, usize>,
}

impl Targets {
    /// Returns the targets sorted by agent name.
    pub fn list(&self) -> &[Target] {
        &self.list
    }

    /// Returns the target of an agent, or `None` if the agent does not offer the service.
    pub fn get(&self, agent: &AgentId) -> Option<&Target> {
        self.position.get(agent).map(|&index| &self.list[index])
    }

    /// Mutable variant of [`Targets::get`].
    pub fn get_mut(&mut self, agent: &AgentId) -> Option<&mut Target> {
        self.position.get(agent).map(|&index| &mut self.list[index])
    }

    /// Returns the target at an index of [`Targets::list`].
    pub(crate) fn at_mut(&mut self, index: usize) -> &mut Target {
        &mut self.list[index]
    }

    /// Applies the slots and the load of this service from an agent's heartbeat. A changed
    /// incarnation replaces the target.
    pub fn update(&mut self, now_ms: u64, heartbeat: &Heartbeat, service: &ServiceLoad) {
        let restarted = self
            .get(&heartbeat.agent)
            .is_some_and(|target| target.incarnation != heartbeat.incarnation);
        if restarted {
            self.remove(&heartbeat.agent);
        }
        if !self.position.contains_key(&heartbeat.agent) {
            self.list.push(Target::new(heartbeat, now_ms));
            self.list
                .sort_by(|left, right| left.agent.cmp(&right.agent));
            self.rebuild_positions();
        }
        if let Some(target) = self.get_mut(&heartbeat.agent) {
            target.slots = service.slots;
            target.update_load(now_ms, service.load);
        }
    }

    /// Applies free slots that an agent reported along with an answer.
    pub fn update_load(&mut self, now_ms: u64, agent: &AgentId, load: BackendLoad) {
        if let Some(target) = self.get_mut(agent) {
            target.update_load(now_ms, load);
        }
    }

    /// Removes an agent, if present.
    pub fn remove(&mut self, agent: &AgentId) {
        self.list.retain(|target| target.agent != *agent);
        self.rebuild_positions();
    }

    fn rebuild_positions(&mut self) {
        let names = self.list.iter().enumerate();
        self.position = names
            .map(|(index, target)| (target.agent.clone(), index))
            .collect();
    }
}
