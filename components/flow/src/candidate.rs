//! Scoring of candidate workers for a task by free capacity, placement rules, locality and
//! interference between fillers and latency-critical tasks. The lowest score wins.

use crate::cold::Warmth;
use crate::crashes::Isolation;
use crate::forecast::Forecast;
use crate::placed_runs::allocation_for;
use crate::scoring::{capacity_score, interference_penalty, locality_penalty};
use crate::slack::CriticalSlack;
use crate::slow_workers::SpeedRank;
use crate::view::{Allocation, WorkerView};
use crate::worker_rules::rule_exclusion;
use crate::{Exclusion, Scheduler, StepSpec, TaskKey, TaskState};
use model::{AgentId, Resources, ServiceName};

/// Penalty of the worker on which the task failed or stalled last.
const FAILED_BEFORE_PENALTY: f64 = 50.0;
/// Time for which a new filler should be able to work at its pace, in milliseconds.
const PLACEMENT_HORIZON_MS: u64 = 2_500;
/// Least share of a filler's declared processors that must be spare on a worker to place it there.
pub(crate) const MIN_FILLER_SPARE_SHARE: f64 = 0.5;

/// Share of its full pace that a filler must be able to keep on the worker where it is placed. It is above 1
/// because loads grow while the filler runs.
pub(crate) const MIN_PLACED_PACE: f64 = 1.5;

/// What a filler needs of the worker that it is placed on.
#[derive(Debug, Clone, Default, PartialEq)]
pub(crate) struct FillerNeed {
    /// Cautious pressures of the filler on each latency-critical image, by its number; empty for any
    /// other task.
    pub pressures: Vec<f64>,
    /// Least share of its full pace that it must be able to keep; above 1 to leave room for loads that
    /// grow while it runs.
    pub min_pace: f64,
}

/// A task for which a worker is searched.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Search<'a> {
    /// The task.
    pub key: &'a TaskKey,
    /// Its step.
    pub spec: &'a StepSpec,
    /// Its state.
    pub task: &'a TaskState,
    /// Only rack that is searched, if there is one.
    pub rack: Option<&'a str>,
    /// What it needs if it is a filler.
    pub filler: &'a FillerNeed,
}

/// A worker that accepts new runs, with its free capacity during one scheduling pass.
#[derive(Debug, Clone)]
pub(crate) struct Candidate {
    /// Agent of the worker.
    pub agent: AgentId,
    /// How many new runs the worker accepts if it is slow after its start.
    pub warmth: Warmth,
    /// Capacity that is not reserved.
    pub free: Resources,
    /// Total capacity.
    pub capacity: Resources,
    /// Processors that no run, filler or not, is expected to use, in thousandths. Negative when
    /// fillers compete with each other.
    pub spare_milli: i64,
    /// Whether a latency-critical task is placed on the worker.
    pub has_latency_critical: bool,
    /// Tasks that are to be placed on it, and count as if they were.
    pub chosen_for: Vec<TaskKey>,
    /// Suspects for which it is kept free of other new runs.
    pub held_for: Vec<TaskKey>,
    /// How many more suspects may start on it together in this pass.
    pub open_places: usize,
    /// Whether a run on it is so new that a crash might be due to it; only determined while there are
    /// suspects.
    pub has_new_runs: bool,
    /// Whether other tasks had their turn since it was last kept free, and its new runs will be so no
    /// longer soon; only determined while there are suspects.
    pub is_holdable: bool,
    /// Whether it may be kept free for the suspect that is being placed.
    pub accepts_hold: bool,
    /// What its latency-critical tasks can bear of fillers; `None` until a filler is to be placed.
    pub slacks: Option<Vec<CriticalSlack>>,
    /// When its runs are expected to end; `None` until a task might wait for it.
    pub forecast: Option<Forecast>,
    /// How it ranks for its speed.
    pub speed_rank: SpeedRank,
}

impl Scheduler {
    /// Workers that accept new runs now, each with its pool: synced, neither paused nor draining, and in
    /// no failure domain that is or may be evacuated. In a pool of which all are paused, these accept some
    /// runs too.
    pub(crate) fn candidates(&self, now_ms: u64) -> Vec<(ServiceName, Candidate)> {
        if !self.is_evacuation_known(now_ms) {
            return Vec::new();
        }
        let unpaused = self.unpaused_pools(now_ms);
        let workers = self.fleet.workers.iter();
        workers
            .filter(|(_, view)| self.worker_exclusion(now_ms, view, &unpaused).is_none())
            .filter_map(|(agent, view)| {
                let info = view.info.as_ref()?;
                let mut candidate = candidate(agent, view, info.capacity);
                candidate.spare_milli += self.unused_by_pace_milli(view);
                candidate.held_for = self.held_for(now_ms, agent);
                candidate.warmth = self.warmth(now_ms, view, &info.capacity);
                candidate.speed_rank = self.speed_rank(now_ms, view);
                Some((info.service.clone(), candidate))
            })
            .collect()
    }

    /// Determines what the latency-critical tasks of each candidate can bear, unless that is known.
    fn find_slacks(&mut self, now_ms: u64, candidates: &mut [(ServiceName, Candidate)]) {
        for (_, candidate) in candidates {
            if candidate.slacks.is_none() {
                let slacks = self.critical_slacks(now_ms, PLACEMENT_HORIZON_MS, &candidate.agent);
                candidate.slacks = Some(slacks);
            }
        }
    }

    /// Index of the candidate with the lowest score for a task, or `None` if no candidate of the
    /// pool has enough free capacity and passes the placement rules. `rack` restricts the search
    /// to one rack.
    pub(crate) fn best_candidate(
        &self,
        key: &TaskKey,
        service: &ServiceName,
        candidates: &[(ServiceName, Candidate)],
        rack: Option<&str>,
        filler: &FillerNeed,
    ) -> Option<usize> {
        let isolation = match self.step_spec(key)?.gang {
            true => Isolation::None,
            false => self.task(key)?.crashes.isolation(),
        };
        let admits = |candidate: &Candidate| candidate.admits(key, isolation);
        self.best_admitting(key, service, candidates, rack, filler, admits)
    }

    /// Index of the candidate to keep free for a suspect: by the same rules, regardless of the new runs
    /// there.
    pub(crate) fn best_hold(
        &self,
        key: &TaskKey,
        service: &ServiceName,
        candidates: &[(ServiceName, Candidate)],
        filler: &FillerNeed,
    ) -> Option<usize> {
        let admits = |candidate: &Candidate| candidate.accepts_hold;
        self.best_admitting(key, service, candidates, None, filler, admits)
    }

    /// Index of the candidate with the lowest score among those that `admits` accepts; `None` as for
    /// [`Scheduler::best_candidate`].
    pub(crate) fn best_admitting(
        &self,
        key: &TaskKey,
        service: &ServiceName,
        candidates: &[(ServiceName, Candidate)],
        rack: Option<&str>,
        filler: &FillerNeed,
        admits: impl Fn(&Candidate) -> bool,
    ) -> Option<usize> {
        let state = self.flows.get(&key.job)?;
        let spec = state.step_spec(key.step)?;
        let task = state.task(key)?;
        let search = Search {
            key,
            spec,
            task,
            rack,
            filler,
        };
        let mut best: Option<(f64, usize)> = None;
        for (index, (pool, candidate)) in candidates.iter().enumerate() {
            if pool != service {
                continue;
            }
            let least = best.map_or(f64::INFINITY, |(least, _)| least);
            if let Ok(score) = self.score(&search, candidate, least, &admits) {
                best = Some((score, index));
            }
        }
        best.map(|(_, index)| index)
    }

    /// Score of a candidate for a task, or why it does not get the task; only scores below `least` are
    /// determined.
    pub(crate) fn score(
        &self,
        search: &Search<'_>,
        candidate: &Candidate,
        least: f64,
        admits: impl Fn(&Candidate) -> bool,
    ) -> Result<f64, Exclusion> {
        let Search { key, spec, .. } = *search;
        if !spec.reserved().fits_in(&candidate.free) {
            return Err(Exclusion::NoRoom);
        }
        if !candidate.warmth.admits(spec) {
            return Err(Exclusion::Cold);
        }
        if !admits(candidate) {
            return Err(Exclusion::KeptFree);
        }
        // Every later term is a penalty >= 0, so a candidate can be rejected early.
        let bounded = |score: f64| Some(score).filter(|score| *score < least);
        let score = capacity_score(candidate, spec) + candidate.speed_rank.penalty(spec);
        let score = bounded(score).ok_or(Exclusion::HigherScore)?;
        let view = self.fleet.workers.get(&candidate.agent);
        let view = view.ok_or(Exclusion::NotSynced)?;
        let has_failed_here = search.task.avoided_agent.as_ref() == Some(&candidate.agent);
        let failed_penalty = f64::from(u8::from(has_failed_here)) * FAILED_BEFORE_PENALTY;
        let score = score + locality_penalty(view, spec) + failed_penalty;
        let score = bounded(score).ok_or(Exclusion::HigherScore)?;
        if let Some(excluded) = rule_exclusion(view, key, spec, search.rack, &candidate.chosen_for)
        {
            return Err(excluded);
        }
        let penalty = interference_penalty(view, candidate, spec, search.filler)?;
        bounded(score + penalty).ok_or(Exclusion::HigherScore)
    }

    /// What a step's tasks need of a worker if they are fillers; determines the slacks of the
    /// candidates for them.
    pub(crate) fn filler_need(
        &mut self,
        now_ms: u64,
        spec: &StepSpec,
        min_pace: f64,
        candidates: &mut [(ServiceName, Candidate)],
    ) -> FillerNeed {
        if !spec.filler {
            return FillerNeed::default();
        }
        self.find_slacks(now_ms, candidates);
        let image = spec.image.as_deref().unwrap_or_default();
        FillerNeed {
            pressures: self.pressures.cautious_row(now_ms, image),
            min_pace,
        }
    }
}

impl Candidate {
    /// Whether a task may start here as far as suspects are concerned.
    pub(crate) fn admits(&self, key: &TaskKey, isolation: Isolation) -> bool {
        let is_held_for_it =
            !self.held_for.is_empty() && self.held_for.iter().all(|task| task == key);
        let isolates = !self.has_new_runs && (is_held_for_it || self.accepts_hold);
        match isolation {
            Isolation::None => self.held_for.is_empty(),
            Isolation::Alone => isolates,
            Isolation::Group => self.open_places > 0 || isolates,
        }
    }

    /// Whether there is room for a task of a step, regardless of the rules of placement.
    pub(crate) fn has_room_for(&self, spec: &StepSpec) -> bool {
        let has_spare = !spec.filler || has_spare_for(self, spec);
        has_spare && spec.reserved().fits_in(&self.free) && self.warmth.admits(spec)
    }

    /// Takes up what a task needs that is to be placed here later.
    pub(crate) fn choose(&mut self, key: &TaskKey, spec: &StepSpec, filler: &FillerNeed) {
        self.take_up(&allocation_for(0, spec, 0));
        self.use_slack(&filler.pressures, spec);
        self.chosen_for.push(key.clone());
    }

    /// Takes up the capacity of a run.
    pub(crate) fn take_up(&mut self, allocation: &Allocation) {
        self.free = match self.warmth {
            Warmth::OneRun => Resources::default(),
            Warmth::Warm | Warmth::Share(_) => self.free.minus(&allocation.reserved),
        };
        self.warmth.take_up(allocation);
        self.spare_milli -= allocation.expected_milli();
        self.has_latency_critical |= allocation.latency_target_ms.is_some();
        self.speed_rank.count_run();
    }

    /// Adds a filler that is placed here to those that use up slack.
    pub(crate) fn use_slack(&mut self, pressures: &[f64], spec: &StepSpec) {
        let share = self.processor_share(spec);
        for critical in self.slacks.iter_mut().flatten() {
            critical.losses.push(critical.image.of(pressures) * share);
        }
    }

    pub(crate) fn processor_share(&self, spec: &StepSpec) -> f64 {
        let total = f64::from(self.capacity.processors_milli.max(1));
        f64::from(spec.need.processors_milli) / total
    }
}

fn candidate(agent: &AgentId, view: &WorkerView, capacity: Resources) -> Candidate {
    let free = capacity.minus(&view.reserved());
    let spare_milli = view.spare_milli(capacity.processors_milli);
    Candidate {
        agent: agent.clone(),
        warmth: Warmth::default(),
        free,
        capacity,
        spare_milli,
        has_latency_critical: view.has_latency_critical(),
        chosen_for: Vec::new(),
        held_for: Vec::new(),
        open_places: 0,
        has_new_runs: false,
        is_holdable: true,
        accepts_hold: true,
        slacks: None,
        forecast: None,
        speed_rank: SpeedRank::default(),
    }
}

/// Whether enough processors are spare for a filler.
pub(crate) fn has_spare_for(candidate: &Candidate, spec: &StepSpec) -> bool {
    candidate.spare_milli as f64 >= f64::from(spec.need.processors_milli) * MIN_FILLER_SPARE_SHARE
}
