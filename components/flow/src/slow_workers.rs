//! Ranks slow workers behind others, and moves tasks that are stuck on them.

use crate::candidate::MIN_PLACED_PACE;
use crate::candidate::{Candidate, FillerNeed};
use crate::view::WorkerView;
use crate::{DecisionKind, Effect, Placement, RunStage, Scheduler, StepSpec, TaskKey};
use model::{AgentId, ServiceName};
use std::cmp::Reverse;
use worker_speed::{DomainSample, SlowDomains, Standing};

/// Interval between two searches for tasks that are stuck, in milliseconds.
const SEARCH_INTERVAL_MS: u64 = 200;
/// Penalty of a worker that stands still, less for its speed. It is more than the differences by free capacity, and
/// less than what keeps tasks near their data and away from workers on which they failed.
const SLOW_PENALTY: f64 = 3.0;
/// Share of this penalty for fillers, which show whether a slow worker has recovered.
const FILLER_PENALTY_SHARE: f64 = 0.5;
/// Speed that is assumed of a worker that recovers and already has as many runs as it may.
const RECOVERING_SPEED: f64 = 0.5;
/// Greatest number of moves that one search begins, so that the workers' reports catch up.
const MAX_MOVES: usize = 8;
/// Greatest number of stuck tasks for which one search looks for a worker; each examines all workers.
const MAX_SEARCHED: usize = 32;
/// Greatest number of moves whose runs have not been stopped yet.
const MAX_MOVING: usize = 16;
/// Number of runs of a task from which it is not moved any more.
const MAX_RUNS: u32 = 6;
/// Time that a move takes, in milliseconds: the stop, the commit and the start.
const MOVE_MS: u64 = 500;
/// Share of a run's work that its checkpoint may lack, in percent.
const LOST_PERCENT: u64 = 10;
/// Least factor by which a task has to end earlier by a move.
const MIN_GAIN_FACTOR: f64 = 1.5;
/// Least time that a move has to save, in milliseconds.
const MIN_GAIN_MS: u64 = 1_000;

/// How a candidate ranks for its speed.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub(crate) struct SpeedRank {
    /// Penalty of a worker that is slow or recovers; 0 for any other.
    penalty: f64,
    /// Number of further runs to which it does not apply.
    runs_left: u32,
}

impl SpeedRank {
    /// Penalty for a task of a step.
    pub(crate) fn penalty(&self, spec: &StepSpec) -> f64 {
        match (self.runs_left, spec.filler) {
            (1.., _) => 0.0,
            (0, true) => self.penalty * FILLER_PENALTY_SHARE,
            (0, false) => self.penalty,
        }
    }

    /// Counts a run that is placed on the worker.
    pub(crate) fn count_run(&mut self) {
        self.runs_left = self.runs_left.saturating_sub(1);
    }
}

/// A task that would end earlier on another worker.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct StuckTask {
    /// Time that the move saves, in milliseconds.
    gain_ms: u64,
    key: TaskKey,
}

impl Scheduler {
    /// Speed of a worker; 1 is normal. One of which little is known is as slow as its failure domain.
    pub(crate) fn speed_of(&self, view: &WorkerView) -> f64 {
        let domains = &self.learned.slow_domains;
        let is_known = view.speed.standing() != Standing::Normal;
        if is_known || domains.is_empty() || view.speed.is_judged(self.learned.now_ms) {
            return view.speed.speed();
        }
        let domain = view.info.as_ref().map(|info| info.domain.as_str());
        domain
            .and_then(|domain| domains.speed(domain))
            .unwrap_or(1.0)
    }

    /// How a worker ranks for its speed.
    pub(crate) fn speed_rank(&self, now_ms: u64, view: &WorkerView) -> SpeedRank {
        if !self.policies.learned_run_times {
            return SpeedRank::default();
        }
        let (speed, runs_left) = match view.speed.standing() {
            Standing::Normal | Standing::Slow { .. } => (self.speed_of(view), 0),
            Standing::Recovering { since_ms } => {
                let allocations = view.allocations.values();
                let recent = allocations.filter(|allocation| allocation.since_ms >= since_ms);
                let allowance = view.speed.allowance(now_ms).unwrap_or(u32::MAX);
                (
                    RECOVERING_SPEED,
                    allowance.saturating_sub(recent.count() as u32),
                )
            }
        };
        SpeedRank {
            penalty: SLOW_PENALTY * (1.0 - speed),
            runs_left,
        }
    }

    /// Lets time pass for the speeds of workers, and finds the tasks that are stuck on slow ones, those first that
    /// gain most by a move; none if they were searched for a moment ago.
    pub(crate) fn stuck_tasks_if_due(&mut self, now_ms: u64) -> Vec<StuckTask> {
        if !self.policies.learned_run_times {
            return Vec::new();
        }
        self.learned.now_ms = self.learned.now_ms.max(now_ms);
        if now_ms < self.learned.refreshed_ms + SEARCH_INTERVAL_MS {
            return Vec::new();
        }
        self.learned.refreshed_ms = now_ms;
        self.refresh_speeds(now_ms);
        self.forget_moved_tasks();
        let mut stuck: Vec<StuckTask> = Vec::new();
        for (agent, view) in &self.fleet.workers {
            if let Standing::Slow { speed } = view.speed.standing() {
                let keys = view.allocations.keys();
                stuck.extend(keys.filter_map(|key| self.stuck_task(agent, key, speed)));
            }
        }
        stuck.sort_by_key(|task| Reverse(task.gain_ms));
        stuck.truncate(MAX_SEARCHED);
        stuck
    }

    /// Stops stuck tasks for which a worker of normal speed has room, so that they are placed there with
    /// their checkpoints.
    pub(crate) fn move_stuck_tasks(
        &mut self,
        now_ms: u64,
        stuck: Vec<StuckTask>,
        candidates: &mut [(ServiceName, Candidate)],
    ) {
        let room = MAX_MOVING.saturating_sub(self.learned.moving.len());
        let mut moves = 0;
        for task in stuck {
            if moves >= room.min(MAX_MOVES) {
                return;
            }
            moves += usize::from(self.move_stuck_task(now_ms, &task, candidates).is_some());
        }
    }

    /// Lets time pass for the speeds of workers, and determines which domains are slow.
    fn refresh_speeds(&mut self, now_ms: u64) {
        for (agent, view) in &mut self.fleet.workers {
            if let Some(change) = view.speed.refresh(now_ms) {
                self.effects
                    .push(Effect::SpeedChanged(agent.clone(), change));
            }
        }
        let workers = self.fleet.workers.values();
        let samples = workers.filter_map(|view| {
            let slow_speed = view.speed.slow_speed();
            let is_judged = slow_speed.is_some() || view.speed.is_judged(now_ms);
            let domain = view.info.as_ref().filter(|_| is_judged)?.domain.as_str();
            Some(DomainSample { domain, slow_speed })
        });
        let samples: Vec<DomainSample<'_>> = samples.collect();
        let slow = samples.iter().filter(|sample| sample.slow_speed.is_some());
        self.learned.are_most_slow = slow.count() * 2 > samples.len();
        self.learned.slow_domains = SlowDomains::of(samples.into_iter());
    }

    /// Forgets moves whose runs have been stopped.
    fn forget_moved_tasks(&mut self) {
        let mut moving = std::mem::take(&mut self.learned.moving);
        moving.retain(|key| {
            let placement = self.placement(key);
            placement.is_some_and(|placement| matches!(placement.stage, RunStage::Stopping { .. }))
        });
        self.learned.moving = moving;
    }

    /// A task on a worker of this speed, if it would end earlier elsewhere. One with a duplicate runs elsewhere
    /// already.
    fn stuck_task(&self, agent: &AgentId, key: &TaskKey, speed: f64) -> Option<StuckTask> {
        let state = self.flows.get(&key.job)?;
        let (spec, task) = (state.step_spec(key.step)?, state.task(key)?);
        let placement = task.placement.as_ref()?;
        let is_movable = matches!(placement.stage, RunStage::Running { .. })
            && spec.saves_progress
            && !spec.gang
            && !spec.long_running
            && task.run < MAX_RUNS
            && placement.agent == *agent
            && task.duplicate.is_none()
            && !self.suspects.contains_key(key);
        if !is_movable || state.is_closed() {
            return None;
        }
        let run_ms = self.run_time_ms(state, key.step);
        let left_percent = u64::from(100_u32.saturating_sub(placement.percent));
        let here_ms = (run_ms * left_percent) as f64 / 100.0 / speed;
        let elsewhere_ms = run_ms * (left_percent + LOST_PERCENT).min(100) / 100 + MOVE_MS;
        let gain_ms = (here_ms as u64).saturating_sub(elsewhere_ms);
        let is_worthwhile =
            gain_ms >= MIN_GAIN_MS && here_ms >= elsewhere_ms as f64 * MIN_GAIN_FACTOR;
        is_worthwhile.then(|| StuckTask {
            gain_ms,
            key: key.clone(),
        })
    }

    /// Stops a stuck task if a worker of normal speed has room for it, and takes up what it needs there. `None` if none
    /// has.
    fn move_stuck_task(
        &mut self,
        now_ms: u64,
        task: &StuckTask,
        candidates: &mut [(ServiceName, Candidate)],
    ) -> Option<()> {
        let key = &task.key;
        let service = self.service_of(&key.job)?.clone();
        let spec = self.step_spec(key)?.clone();
        let (run, placement) = self.placed_run(key)?;
        let filler = self.filler_need(now_ms, &spec, MIN_PLACED_PACE, candidates);
        let index =
            self.best_fast_candidate(key, &service, candidates, &filler, &placement.agent)?;
        let candidate = &mut candidates[index].1;
        candidate.choose(key, &spec, &filler);
        let detail = format!(
            "progress {}%; saves {} ms on {}",
            placement.percent, task.gain_ms, candidate.agent
        );
        self.log_decision(
            DecisionKind::MovedFromSlow,
            key,
            run,
            &placement.agent,
            detail,
        );
        self.stop_run(now_ms, key, run, &placement);
        self.learned.moving.push(key.clone());
        Some(())
    }

    /// Index of the best candidate for a task, if that is another worker and not a slow one.
    fn best_fast_candidate(
        &self,
        key: &TaskKey,
        service: &ServiceName,
        candidates: &[(ServiceName, Candidate)],
        filler: &FillerNeed,
        present: &AgentId,
    ) -> Option<usize> {
        let spec = self.step_spec(key)?;
        let index = self.best_candidate(key, service, candidates, None, filler)?;
        let candidate = &candidates[index].1;
        let is_fast = candidate.speed_rank.penalty(spec) <= 0.0;
        (is_fast && candidate.agent != *present).then_some(index)
    }

    /// Number and placement of a task's placed run.
    fn placed_run(&self, key: &TaskKey) -> Option<(u32, Placement)> {
        let placement = self.placement(key)?.clone();
        Some((placement.run, placement))
    }
}
