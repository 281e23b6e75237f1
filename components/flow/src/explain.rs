//! Explains where a job would be placed now and why, without accepting it. The functions that place
//! tasks decide; nothing of the scheduler's state changes.

use crate::candidate::MIN_PLACED_PACE;
use crate::candidate::{Candidate, FillerNeed, Search};
use crate::crashes::Isolation;
use crate::locality::NearGroups;
use crate::{
    Exclusion, FlowJob, FlowLimits, FlowState, LimitExceeded, Scheduler, StepSpec, TaskKey,
};
use ::locality::Verdict;
use model::{AgentId, JobId, Resources, ServiceName};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// Most ready steps that are explained.
const MAX_STEPS: usize = 8;
/// Most tasks of a step that are explained, unless it is a gang.
const MAX_TASKS: usize = 64;
/// Most workers that are listed for a step.
const MAX_WORKERS: usize = 1_000;
/// Identifier of the explained job; no caller's job has it.
const EXPLAINED_ID: &str = "(explained)";

/// Where a job would be placed now, and why.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Explanation {
    /// Position in the order of the jobs with queued tasks; 1 is placed first.
    pub position: usize,
    /// Number of these jobs, this one included.
    pub queued_jobs: usize,
    /// Its ready steps.
    pub steps: Vec<ExplainedStep>,
}

/// Where the tasks of a ready step would be placed now.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ExplainedStep {
    /// Number of the step.
    pub step: u32,
    /// Tasks that are explained: all of a gang, and otherwise the first ones.
    pub tasks: usize,
    /// Agents of the workers that get tasks at once, one for each task.
    pub placed: Vec<AgentId>,
    /// Number of tasks that wait for a near worker although another one has room.
    pub waiting_for_near: usize,
    /// Whether the first task, or the gang, goes near its data or its gang, and why; `None` if that makes no
    /// difference or no worker has room.
    pub locality: Option<ExplainedLocality>,
    /// Workers of the pool for the first task, those with the lowest scores first.
    pub workers: Vec<ExplainedWorker>,
}

/// Decision between a near worker, a wait for one, and another worker.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum ExplainedLocality {
    /// It goes to a near worker.
    Near,
    /// It waits for one.
    Waits {
        /// For how long at most, in milliseconds.
        at_most_ms: u64,
    },
    /// It goes elsewhere.
    Remote {
        /// Name of the [`locality::Reason`].
        reason: String,
    },
}

/// A worker of the pool, as a candidate for a task.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ExplainedWorker {
    /// Its agent.
    pub agent: AgentId,
    /// Its failure domain.
    pub domain: String,
    /// Its rack, if it has one.
    pub rack: Option<String>,
    /// Its free capacity.
    pub free: Resources,
    /// Its score, of which the lowest wins; `None` if it is excluded.
    pub score: Option<f64>,
    /// Why it can't get the task; `None` if it can.
    pub exclusion: Option<Exclusion>,
}

/// Why a job can't be explained.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error, Serialize, Deserialize)]
pub enum ExplainFault {
    /// There is no such queue.
    #[error("no queue has this host and prefix")]
    NoQueue,
    /// The job asks for more than a limit allows.
    #[error("the job asks for more than a limit allows")]
    TooLarge,
}

impl From<LimitExceeded> for ExplainFault {
    fn from(_: LimitExceeded) -> Self {
        Self::TooLarge
    }
}

impl Scheduler {
    /// Explains where the ready steps of a job would go now, and why. Its schedule and its identifier don't count.
    /// Jobs ahead of it in the order have taken what they could in the last pass.
    ///
    /// # Errors
    /// The job has no queue, or is larger than any accepted one.
    ///
    /// ```
    /// let spec = flow::FlowSpec::default();
    /// let job = flow::FlowJob { id: "".into(), queue: Default::default(), spec, accepted_wall_ms: 0 };
    /// let fault = flow::Scheduler::default().explain(1_000, 1_000, job).unwrap_err();
    /// assert_eq!(fault, flow::ExplainFault::NoQueue);
    /// ```
    pub fn explain(
        &mut self,
        now_ms: u64,
        wall_ms: u64,
        mut job: FlowJob,
    ) -> Result<Explanation, ExplainFault> {
        let queue = self.config.queue(&job.queue);
        let service = queue.ok_or(ExplainFault::NoQueue)?.service.clone();
        FlowLimits::MAX.check_spec(&job.spec)?;
        let id = JobId::from(EXPLAINED_ID);
        job.id = id.clone();
        job.spec.schedule = None;
        job.spec.compact();
        let mut state = FlowState::new(job, now_ms);
        state.activate_within(0, 1);
        let ready = state.ready_steps();
        // The job is among the flows only during this call, so that it is neither placed nor stored.
        self.flows.insert(id.clone(), state);
        let (order, _) = self.flow_order(now_ms, wall_ms);
        let position = order.iter().position(|job| *job == id);
        let mut candidates = self.candidates(now_ms);
        let explained = ready.into_iter().take(MAX_STEPS);
        let steps = explained
            .map(|(_, step)| self.explain_step(now_ms, &id, step, &service, &mut candidates))
            .collect();
        self.flows.remove(&id);
        Ok(Explanation {
            position: position.map_or(order.len(), |position| position + 1),
            queued_jobs: order.len(),
            steps,
        })
    }

    /// Explains a ready step, and takes up what it needs.
    fn explain_step(
        &mut self,
        now_ms: u64,
        job: &JobId,
        step: usize,
        service: &ServiceName,
        candidates: &mut [(ServiceName, Candidate)],
    ) -> ExplainedStep {
        let mut keys = self.queued_tasks(now_ms, job, 0, step);
        let spec = self
            .flows
            .get(job)
            .and_then(|state| state.step_spec(step as u32));
        let spec = spec.cloned().unwrap_or_default();
        let filler = self.filler_need(now_ms, &spec, MIN_PLACED_PACE, candidates);
        let first = keys.first();
        let workers =
            first.map(|key| self.explain_workers(now_ms, key, service, candidates, &filler));
        let near = first.and_then(|key| self.near_groups(now_ms, key, &spec, service, candidates));
        if !spec.gang {
            keys.truncate(MAX_TASKS);
        }
        let mut explained = ExplainedStep {
            step: step as u32,
            tasks: keys.len(),
            placed: Vec::new(),
            waiting_for_near: 0,
            locality: None,
            workers: workers.unwrap_or_default(),
        };
        let state = self.flows.get(job);
        let run_ms = state.map_or(0, |state| self.run_time_ms(state, step as u32));
        let units = keys.chunks(if spec.gang { keys.len().max(1) } else { 1 });
        for unit in units {
            let chosen = match (spec.gang, unit.first()) {
                (false, Some(key)) => self
                    .best_candidate(key, service, candidates, None, &filler)
                    .map(|index| vec![index]),
                _ => self.choose_gang(unit, &spec, service, candidates, &filler),
            };
            let Some(chosen) = chosen else {
                break;
            };
            let (waits, locality) =
                self.explain_locality(now_ms, unit, &spec, near.as_ref(), &chosen, candidates);
            explained.locality = explained.locality.take().or(locality);
            if waits {
                explained.waiting_for_near += unit.len();
                continue;
            }
            for (key, index) in unit.iter().zip(chosen) {
                let candidate = &mut candidates[index].1;
                candidate.choose(key, &spec, &filler);
                if near.is_some() {
                    self.expect_chosen_release(now_ms, run_ms, &spec, candidate);
                }
                explained.placed.push(candidates[index].1.agent.clone());
            }
        }
        explained
    }

    /// Whether tasks wait for near workers, and why.
    fn explain_locality(
        &self,
        now_ms: u64,
        keys: &[TaskKey],
        spec: &StepSpec,
        near: Option<&NearGroups>,
        chosen: &[usize],
        candidates: &mut [(ServiceName, Candidate)],
    ) -> (bool, Option<ExplainedLocality>) {
        let Some(near) = near else {
            return (false, None);
        };
        let (verdict, soonest) = self.near_verdict(now_ms, keys, spec, near, chosen, candidates);
        match verdict {
            Verdict::PlaceNear => (false, Some(ExplainedLocality::Near)),
            Verdict::PlaceRemote(reason) => {
                let reason = reason.to_string();
                (false, Some(ExplainedLocality::Remote { reason }))
            }
            Verdict::Wait { until_ms } => {
                near.claim(now_ms, &soonest, spec, candidates);
                let at_most_ms = until_ms.saturating_sub(now_ms);
                (true, Some(ExplainedLocality::Waits { at_most_ms }))
            }
        }
    }

    /// Workers of the pool with their scores for a task, or why they can't get it.
    fn explain_workers(
        &self,
        now_ms: u64,
        key: &TaskKey,
        service: &ServiceName,
        candidates: &[(ServiceName, Candidate)],
        filler: &FillerNeed,
    ) -> Vec<ExplainedWorker> {
        let (Some(task), Some(spec)) = (self.task(key), self.step_spec(key)) else {
            return Vec::new();
        };
        let search = Search {
            key,
            spec,
            task,
            rack: None,
            filler,
        };
        let unpaused = self.unpaused_pools(now_ms);
        let by_agent: BTreeMap<&AgentId, &Candidate> = candidates
            .iter()
            .map(|(_, candidate)| (&candidate.agent, candidate))
            .collect();
        let mut workers = Vec::new();
        for (agent, view) in &self.fleet.workers {
            let Some(info) = view.info.as_ref().filter(|info| info.service == *service) else {
                continue;
            };
            let candidate = by_agent.get(agent);
            let score = match (self.worker_exclusion(now_ms, view, &unpaused), candidate) {
                (Some(excluded), _) => Err(excluded),
                (None, None) => Err(Exclusion::NotSynced),
                (None, Some(candidate)) => {
                    let admits = |candidate: &Candidate| candidate.admits(key, Isolation::None);
                    self.score(&search, candidate, f64::INFINITY, admits)
                }
            };
            let reserved = view.reserved();
            workers.push(ExplainedWorker {
                agent: agent.clone(),
                domain: info.domain.to_string(),
                rack: info.rack().map(str::to_owned),
                free: candidate.map_or(info.capacity.minus(&reserved), |own| own.free),
                score: score.ok(),
                exclusion: score.err(),
            });
        }
        let rank = |worker: &ExplainedWorker| worker.score.unwrap_or(f64::INFINITY);
        workers.sort_by(|left, right| rank(left).total_cmp(&rank(right)));
        workers.truncate(MAX_WORKERS);
        workers
    }
}
