//! Placement of gangs: all members at once, or none.

use crate::suit::{Care, Room};
use crate::{Scheduler, StepSpec, TaskKey};
use model::{AgentId, JobId, Resources, ServiceName};

impl Scheduler {
    /// Places all members of a gang, or none.
    pub(crate) fn place_gang(
        &mut self,
        now_ms: u64,
        job: &JobId,
        occurrence: usize,
        step: usize,
        service: &ServiceName,
        rooms: &mut [(ServiceName, Room)],
    ) {
        let keys = self.waiting_in(now_ms, job, occurrence, step);
        let Some(state) = self.flows.get(job) else {
            return;
        };
        let Some(spec) = state.step_spec(step as u32).cloned() else {
            return;
        };
        if keys.len() < spec.tasks as usize {
            return;
        }
        let members = keys.iter().filter_map(|key| state.task(key));
        let run = members.clone().map(|task| task.run).max().unwrap_or(0) + 1;
        let checkpoint = members.filter_map(|task| task.checkpoint.clone()).next();
        let racks: Vec<Option<String>> = if spec.same_rack {
            self.racks(service, rooms).into_iter().map(Some).collect()
        } else {
            vec![None]
        };
        for rack in racks.iter().chain([&None]) {
            let before: Vec<Resources> = rooms.iter().map(|(_, room)| room.free).collect();
            let chosen = self.choose_all(&keys, &spec, service, rooms, rack.as_deref());
            for ((_, room), free) in rooms.iter_mut().zip(before) {
                room.free = free;
            }
            if let Some(chosen) = chosen {
                for (key, at) in keys.iter().zip(chosen) {
                    let given = Some(checkpoint.clone());
                    self.put(now_ms, key, &mut rooms[at].1, Some(run), given);
                }
                return;
            }
        }
    }

    fn racks(&self, service: &ServiceName, rooms: &[(ServiceName, Room)]) -> Vec<String> {
        let mut racks: Vec<String> = rooms
            .iter()
            .filter(|(pool, _)| pool == service)
            .filter_map(|(_, room)| self.rack_of(&room.agent))
            .map(str::to_owned)
            .collect();
        racks.sort();
        racks.dedup();
        racks
    }

    fn rack_of(&self, agent: &AgentId) -> Option<&str> {
        self.worker(agent)?.info.as_ref()?.rack()
    }

    fn choose_all(
        &self,
        keys: &[TaskKey],
        spec: &StepSpec,
        service: &ServiceName,
        rooms: &mut [(ServiceName, Room)],
        rack: Option<&str>,
    ) -> Option<Vec<usize>> {
        let mut chosen = Vec::new();
        for key in keys {
            let at = self.best_room(key, service, rooms, rack, Care::Full)?;
            rooms[at].1.free = rooms[at].1.free.minus(&spec.reserved());
            chosen.push(at);
        }
        Some(chosen)
    }
}
