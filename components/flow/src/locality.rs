//! Lets tasks wait for a worker near their data, and gangs for a rack that takes all members, as long as
//! that is worthwhile. A task that waits reserves nothing: others may take any room meanwhile.

use crate::candidate::Candidate;
use crate::worker_rules::may_run;
use crate::{DecisionKind, Effect, FlowState, Scheduler, StepSpec, TaskKey, WorkerInfo};
use ::locality::{NearPlace, Verdict, decide, gang_place};
use model::{AgentId, ServiceName};
use std::collections::{BTreeMap, BTreeSet};

/// Wait of a step's tasks for near workers. It lasts from the first task's wait until no task of the
/// step is queued, so that a step waits for a bounded time in total.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct NearWait {
    /// When the first of them began to wait, in milliseconds.
    pub since_ms: u64,
    /// When the wait ends at the latest, in milliseconds.
    pub until_ms: u64,
    /// Indices of the tasks that wait; at most as many as one pass places.
    pub tasks: BTreeSet<u32>,
}

/// Where a task was placed that is faster near its data or its gang. The text form is the label of a
/// metric.
///
/// ```
/// assert_eq!(flow::LocalityOutcome::WaitedNear.to_string(), "waited-near");
/// ```
#[derive(Debug, Clone, Copy, PartialEq, Eq, strum::Display, strum::IntoStaticStr)]
#[strum(serialize_all = "kebab-case")]
pub enum LocalityOutcome {
    /// On a near worker, without a wait.
    Near,
    /// On a near worker, after a wait.
    WaitedNear,
    /// On another worker, with or without a wait.
    Remote,
}

/// What a step's tasks gain from near workers, during one pass.
#[derive(Debug, Clone)]
pub(crate) struct NearGroups {
    /// Candidates that are near each other and to the data, by their indices; one group per rack.
    groups: Vec<Vec<usize>>,
    /// Expected run time near, in milliseconds.
    run_ms: u64,
    /// Factor by which a remote run takes longer.
    remote_factor: f64,
    /// Time by which the flow would end before its objective, in milliseconds.
    slack_ms: u64,
}

/// A place for a task in a group: when it is expected to be free, and the index of the candidate.
pub(crate) type GroupPlace = (NearPlace, usize);

impl NearGroups {
    /// Whether all these candidates are near.
    fn include(&self, chosen: &[usize]) -> bool {
        let mut groups = self.groups.iter();
        groups.any(|group| chosen.iter().all(|index| group.contains(index)))
    }

    /// Enters tasks that wait for these places in the forecasts.
    pub(crate) fn claim(
        &self,
        now_ms: u64,
        places: &[GroupPlace],
        spec: &StepSpec,
        candidates: &mut [(ServiceName, Candidate)],
    ) {
        for (place, index) in places {
            let at_ms = now_ms.saturating_add(place.expected_free_ms.unwrap_or(0));
            candidates[*index].1.claim(at_ms, self.run_ms, spec);
        }
    }
}

impl Scheduler {
    /// What the queued tasks of a step gain from near workers; `None` if it makes no difference where
    /// they run, or the policy is off.
    pub(crate) fn near_groups(
        &self,
        now_ms: u64,
        key: &TaskKey,
        spec: &StepSpec,
        service: &ServiceName,
        candidates: &[(ServiceName, Candidate)],
    ) -> Option<NearGroups> {
        let remote_factor = self.policies.remote_factor?;
        let is_local = spec.data_rack.is_some() || (spec.gang && spec.same_rack);
        // A long-running task has no run time that a wait could be weighed against.
        if !is_local || spec.long_running {
            return None;
        }
        let state = self.flows.get(&key.job)?;
        let mut by_rack: BTreeMap<&str, Vec<usize>> = BTreeMap::new();
        for (index, (pool, candidate)) in candidates.iter().enumerate() {
            let view = self.fleet.workers.get(&candidate.agent);
            let Some(view) = view.filter(|view| pool == service && view.is_near(spec)) else {
                continue;
            };
            let rack = view.info.as_ref().and_then(WorkerInfo::rack);
            by_rack
                .entry(rack.unwrap_or_default())
                .or_default()
                .push(index);
        }
        Some(NearGroups {
            groups: by_rack.into_values().collect(),
            run_ms: self.run_time_ms(state, key.step),
            remote_factor,
            slack_ms: self.remote_slack_ms(now_ms, state, key),
        })
    }

    /// Whether tasks that could be placed on the `chosen` candidates wait for near ones instead: one
    /// task, or all members of a gang. Notes the outcome.
    pub(crate) fn waits_for_near(
        &mut self,
        now_ms: u64,
        keys: &[TaskKey],
        near: &NearGroups,
        chosen: &[usize],
        candidates: &mut [(ServiceName, Candidate)],
    ) -> bool {
        let Some(spec) = keys.first().and_then(|key| self.step_spec(key)).cloned() else {
            return false;
        };
        let (verdict, soonest) = self.near_verdict(now_ms, keys, &spec, near, chosen, candidates);
        match verdict {
            Verdict::PlaceNear => {
                self.end_wait(keys, LocalityOutcome::Near);
                false
            }
            Verdict::Wait { until_ms } => {
                near.claim(now_ms, &soonest, &spec, candidates);
                self.begin_wait(now_ms, keys, until_ms);
                true
            }
            Verdict::PlaceRemote(reason) => {
                let agents = chosen.iter().map(|index| &candidates[*index].1.agent);
                self.log_given_up(now_ms, keys, agents, reason);
                self.end_wait(keys, LocalityOutcome::Remote);
                false
            }
        }
    }

    /// What to do with tasks that could be placed on the `chosen` candidates, and the near places that are
    /// expected to be free next.
    pub(crate) fn near_verdict(
        &self,
        now_ms: u64,
        keys: &[TaskKey],
        spec: &StepSpec,
        near: &NearGroups,
        chosen: &[usize],
        candidates: &mut [(ServiceName, Candidate)],
    ) -> (Verdict, Vec<GroupPlace>) {
        if near.include(chosen) {
            return (Verdict::PlaceNear, Vec::new());
        }
        let mut groups = self.group_places(now_ms, keys, spec, near, candidates);
        groups.sort_by_key(|(place, _)| place.expected_free_ms.unwrap_or(u64::MAX));
        let places: Vec<NearPlace> = groups.iter().map(|(place, _)| *place).collect();
        let wait = keys.first().and_then(|key| self.near_wait(key));
        let verdict = decide(
            now_ms,
            wait.map(|wait| wait.since_ms),
            &places,
            near.run_ms,
            near.remote_factor,
            near.slack_ms,
        );
        let soonest = groups.into_iter().next();
        (verdict, soonest.map_or_else(Vec::new, |(_, places)| places))
    }

    /// Place of each near group that is expected to have room for all `keys`, with the places that it
    /// consists of. Groups and workers that have room but may not get the tasks are left out.
    fn group_places(
        &self,
        now_ms: u64,
        keys: &[TaskKey],
        spec: &StepSpec,
        near: &NearGroups,
        candidates: &mut [(ServiceName, Candidate)],
    ) -> Vec<(NearPlace, Vec<GroupPlace>)> {
        let mut groups = Vec::new();
        for group in &near.groups {
            let mut places: Vec<GroupPlace> = Vec::new();
            for index in group {
                let candidate = &mut candidates[*index].1;
                let worker_places = self.worker_places(now_ms, keys, spec, candidate);
                places.extend(worker_places.into_iter().map(|place| (place, *index)));
            }
            let free_ms = |place: &NearPlace| match place.free_now {
                true => 0,
                false => place.expected_free_ms.unwrap_or(u64::MAX),
            };
            places.sort_by_key(|(place, _)| free_ms(place));
            let all: Vec<NearPlace> = places.iter().map(|(place, _)| *place).collect();
            let place = gang_place(&all, keys.len());
            if !all.is_empty() && !place.free_now {
                places.truncate(keys.len());
                groups.push((place, places));
            }
        }
        groups
    }

    /// Places of a near worker for these tasks.
    fn worker_places(
        &self,
        now_ms: u64,
        keys: &[TaskKey],
        spec: &StepSpec,
        candidate: &mut Candidate,
    ) -> Vec<NearPlace> {
        let (Some(key), Some(view)) = (keys.first(), self.fleet.workers.get(&candidate.agent))
        else {
            return Vec::new();
        };
        let is_open = candidate.held_for.is_empty();
        if !is_open || !may_run(view, key, spec, None, &candidate.chosen_for) {
            return Vec::new();
        }
        let placed = view.count_step_runs(&key.job, key.occurrence, key.step);
        let most = spec.max_per_worker.unwrap_or(u32::MAX);
        let limit = most.saturating_sub(placed).min(keys.len() as u32);
        self.forecast_releases(now_ms, candidate);
        let places = candidate.places(now_ms, spec, limit);
        // A single task would have been placed where there is room, unless another rule forbids it.
        let is_excluded = keys.len() == 1 && places.iter().any(|place| place.free_now);
        if is_excluded { Vec::new() } else { places }
    }

    /// Time by which a flow would end before its objective if a ready step of it began near its data
    /// now, in milliseconds; 0 if it would end later.
    fn remote_slack_ms(&self, now_ms: u64, state: &FlowState, key: &TaskKey) -> u64 {
        self.start_slack_ms(now_ms, state, key).max(0) as u64
    }

    /// Time by which a flow would end before its objective if a ready step of it began now, in
    /// milliseconds; negative if it would end later, and 0 if its queue is not known.
    pub(crate) fn start_slack_ms(&self, now_ms: u64, state: &FlowState, key: &TaskKey) -> i64 {
        let Some(queue) = self.config.queue(&state.job.queue) else {
            return 0;
        };
        let objective_ms = crate::due_order::objective_ms(queue, state) as u64;
        let step = state.step(key);
        let queued_ms = step.and_then(|step| step.queued_since_ms).unwrap_or(now_ms);
        // An occurrence of a recurring flow begins later than the flow; its delay is that of the step.
        let (begun_ms, from) = match state.job.spec.schedule {
            Some(_) => (queued_ms, None),
            None => (state.first_seen_ms, Some(key.step)),
        };
        let due_ms = begun_ms.saturating_add(objective_ms);
        let path_ms = self.path_ms(state, from);
        let signed_ms = |ms: u64| i64::try_from(ms).unwrap_or(i64::MAX);
        signed_ms(due_ms).saturating_sub(signed_ms(now_ms.saturating_add(path_ms)))
    }

    /// Longest chain of run times that begins with a step, or with any if it is `None`, in milliseconds.
    fn path_ms(&self, state: &FlowState, from: Option<u32>) -> u64 {
        let steps = &state.job.spec.steps;
        let mut paths_ms = vec![0_u64; steps.len()];
        for (number, spec) in steps.iter().enumerate().rev() {
            let path_ms = paths_ms[number].saturating_add(self.run_time_ms(state, number as u32));
            paths_ms[number] = path_ms;
            for before in &spec.after {
                if let Some(before_ms) = paths_ms.get_mut(*before as usize) {
                    *before_ms = path_ms.max(*before_ms);
                }
            }
        }
        let of_step = from.and_then(|step| paths_ms.get(step as usize).copied());
        of_step.unwrap_or_else(|| paths_ms.into_iter().max().unwrap_or(0))
    }

    fn near_wait(&self, key: &TaskKey) -> Option<&NearWait> {
        self.flows.get(&key.job)?.step(key)?.near_wait.as_deref()
    }

    /// Whether a task waits for a near worker.
    pub(crate) fn is_waiting_for_near(&self, now_ms: u64, key: &TaskKey) -> bool {
        let wait = self.near_wait(key);
        wait.is_some_and(|wait| now_ms <= wait.until_ms && wait.tasks.contains(&key.index))
    }

    fn begin_wait(&mut self, now_ms: u64, keys: &[TaskKey], until_ms: u64) {
        for key in keys {
            let state = self.flows.get_mut(&key.job);
            let Some(step) = state.and_then(|state| state.step_mut(key)) else {
                continue;
            };
            let wait = step.near_wait.get_or_insert_with(|| {
                Box::new(NearWait {
                    since_ms: now_ms,
                    ..NearWait::default()
                })
            });
            wait.until_ms = until_ms;
            wait.tasks.insert(key.index);
        }
    }

    /// Notes that tasks no longer wait, and where they are placed.
    fn end_wait(&mut self, keys: &[TaskKey], outcome: LocalityOutcome) {
        for key in keys {
            let state = self.flows.get_mut(&key.job);
            let wait = state.and_then(|state| state.step_mut(key)?.near_wait.as_mut());
            let has_waited = wait.is_some_and(|wait| wait.tasks.remove(&key.index));
            let outcome = match outcome {
                LocalityOutcome::Near if has_waited => LocalityOutcome::WaitedNear,
                _ => outcome,
            };
            self.effects.push(Effect::LocalityChosen(outcome));
        }
    }

    /// Logs the tasks that have waited and are placed elsewhere after all.
    fn log_given_up<'a>(
        &mut self,
        now_ms: u64,
        keys: &[TaskKey],
        agents: impl Iterator<Item = &'a AgentId>,
        reason: ::locality::Reason,
    ) {
        for (key, agent) in keys.iter().zip(agents) {
            let wait = self.near_wait(key);
            let Some(wait) = wait.filter(|wait| wait.tasks.contains(&key.index)) else {
                continue;
            };
            let waited_ms = now_ms.saturating_sub(wait.since_ms);
            let run = self.task(key).map_or(0, |task| task.run) + 1;
            let detail = format!("{reason} after {waited_ms} ms");
            self.log_decision(DecisionKind::GaveUpNear, key, run, agent, detail);
        }
    }
}
