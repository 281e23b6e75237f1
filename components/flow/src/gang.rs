//! Placement of gangs: all tasks of a step at once, or none.

use crate::candidate::{Candidate, FillerNeed, MIN_PLACED_PACE};
use crate::{Scheduler, StepSpec, TaskKey, has_form};
use model::{AgentId, JobId, ServiceName};

impl Scheduler {
    /// Places all members of a gang with one common run number and checkpoint, or none of them.
    /// Does nothing while a member is placed or must not be placed yet.
    pub(crate) fn place_gang(
        &mut self,
        now_ms: u64,
        job: &JobId,
        occurrence: usize,
        step: usize,
        service: &ServiceName,
        candidates: &mut [(ServiceName, Candidate)],
    ) {
        let keys = self.queued_tasks(now_ms, job, occurrence, step);
        let Some(state) = self.flows.get(job) else {
            return;
        };
        let Some(spec) = state.step_spec(step as u32).cloned() else {
            return;
        };
        let has_orphan = keys.iter().any(|key| self.fleet.has_orphan(key));
        if keys.len() < spec.tasks as usize || has_orphan {
            return;
        }
        let members = keys.iter().filter_map(|key| state.task(key));
        let run = members.clone().map(|task| task.run).max().unwrap_or(0) + 1;
        let checkpoint = members.filter_map(|task| task.checkpoint.clone()).next();
        let Some(first) = keys.first() else {
            return;
        };
        let near = self.near_groups(now_ms, first, &spec, service, candidates);
        let filler = self.filler_need(now_ms, &spec, MIN_PLACED_PACE, candidates);
        let Some(chosen) = self.choose_gang(&keys, &spec, service, candidates, &filler) else {
            return;
        };
        if near
            .as_ref()
            .is_some_and(|near| self.waits_for_near(now_ms, &keys, near, &chosen, candidates))
        {
            return;
        }
        for (key, index) in keys.iter().zip(chosen) {
            let checkpoint = Some(checkpoint.clone());
            let candidate = &mut candidates[index].1;
            candidate.use_slack(&filler.pressures, &spec);
            self.assign(now_ms, key, candidate, Some(run), checkpoint);
        }
    }

    /// Index of a candidate for each member, or `None` if one member fits nowhere. With `same_rack` each
    /// rack is tried first, the one of the data before the others if tasks wait for near workers, and then
    /// any mix of racks.
    pub(crate) fn choose_gang(
        &self,
        keys: &[TaskKey],
        spec: &StepSpec,
        service: &ServiceName,
        candidates: &[(ServiceName, Candidate)],
        filler: &FillerNeed,
    ) -> Option<Vec<usize>> {
        let mut racks = Vec::new();
        if spec.same_rack {
            racks = self.racks(service, candidates);
        }
        if self.policies.remote_factor.is_some() {
            let own = spec.data_rack.as_deref();
            racks.sort_by_key(|rack| !own.is_none_or(|own| has_form(rack, own)));
        }
        let racks = racks.iter().map(|rack| Some(rack.as_str()));
        racks
            .chain([None])
            .find_map(|rack| self.choose_candidates(keys, spec, service, candidates, rack, filler))
    }

    /// Distinct racks of the candidates in a pool, sorted.
    fn racks(&self, service: &ServiceName, candidates: &[(ServiceName, Candidate)]) -> Vec<String> {
        let mut racks: Vec<String> = candidates
            .iter()
            .filter(|(pool, _)| pool == service)
            .filter_map(|(_, candidate)| self.rack_of(&candidate.agent))
            .map(str::to_owned)
            .collect();
        racks.sort();
        racks.dedup();
        racks
    }

    fn rack_of(&self, agent: &AgentId) -> Option<&str> {
        self.worker(agent)?.info.as_ref()?.rack()
    }

    /// Index of a candidate for each member, or `None` if one member fits nowhere. Each counts as placed
    /// when the next one's is chosen.
    fn choose_candidates(
        &self,
        keys: &[TaskKey],
        spec: &StepSpec,
        service: &ServiceName,
        candidates: &[(ServiceName, Candidate)],
        rack: Option<&str>,
        filler: &FillerNeed,
    ) -> Option<Vec<usize>> {
        let mut candidates = candidates.to_vec();
        let mut chosen = Vec::new();
        for key in keys {
            let index = self.best_candidate(key, service, &candidates, rack, filler)?;
            candidates[index].1.choose(key, spec, filler);
            chosen.push(index);
        }
        Some(chosen)
    }
}
