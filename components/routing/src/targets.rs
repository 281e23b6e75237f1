//! The agents that serve one service.

use crate::Target;
use model::AgentId;
use utils::Map;
use wire::{BackendLoad, Heartbeat, ServiceLoad};

/// The agents that serve one service.
#[derive(Debug, Default)]
pub struct Targets {
    /// The agents, in order of names.
    list: Vec<Target>,
    /// Position of each agent in the list.
    position: Map<AgentId, usize>,
}

impl Targets {
    /// The agents, in order of names.
    pub fn list(&self) -> &[Target] {
        &self.list
    }

    /// The agent with this name.
    pub fn get(&self, agent: &AgentId) -> Option<&Target> {
        self.position.get(agent).map(|&index| &self.list[index])
    }

    /// The agent with this name.
    pub fn get_mut(&mut self, agent: &AgentId) -> Option<&mut Target> {
        self.position.get(agent).map(|&index| &mut self.list[index])
    }

    /// The agent at a position of the list.
    pub(crate) fn at_mut(&mut self, index: usize) -> &mut Target {
        &mut self.list[index]
    }

    /// Takes what a heartbeat tells of this service.
    pub fn update(&mut self, now_ms: u64, beat: &Heartbeat, service: &ServiceLoad) {
        let restarted = self
            .get(&beat.agent)
            .is_some_and(|target| target.incarnation != beat.incarnation);
        if restarted {
            self.remove(&beat.agent);
        }
        if !self.position.contains_key(&beat.agent) {
            self.list.push(Target::new(beat, now_ms));
            self.list
                .sort_by(|left, right| left.agent.cmp(&right.agent));
            self.index();
        }
        if let Some(target) = self.get_mut(&beat.agent) {
            target.slots = service.slots;
            target.told(now_ms, service.load);
        }
    }

    /// Takes free slots that came with an answer.
    pub fn told(&mut self, now_ms: u64, agent: &AgentId, load: BackendLoad) {
        if let Some(target) = self.get_mut(agent) {
            target.told(now_ms, load);
        }
    }

    /// Removes an agent.
    pub fn remove(&mut self, agent: &AgentId) {
        self.list.retain(|target| target.agent != *agent);
        self.index();
    }

    fn index(&mut self) {
        let names = self.list.iter().enumerate();
        self.position = names
            .map(|(index, target)| (target.agent.clone(), index))
            .collect();
    }
}
