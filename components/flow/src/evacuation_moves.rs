//! Moves of runs out of evacuated failure domains, and why other runs stay there.

use crate::candidate::Candidate;
use crate::view::WorkerView;
use crate::{RunStage, Scheduler, StepSpec, TaskKey, TaskState};
use model::{AgentId, DomainName, ServiceName};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// Age of an evacuation from which runs are moved, in milliseconds. A request that is taken back at once
/// moves nothing.
const MOVE_AFTER_MS: u64 = 5_000;
/// Remaining run time from which a run that saves its progress is moved, in milliseconds; others end
/// soon.
const MIN_MOVED_MS: u64 = 10_000;
/// Interval between two searches for runs to move, in milliseconds.
const SEARCH_INTERVAL_MS: u64 = 200;
/// Greatest number of moves in one search, so that the other workers' reports catch up.
const MAX_MOVES: usize = 8;
/// Greatest number of runs for which a worker is searched at once.
const MAX_SEARCHES: usize = 32;
/// Progress that a long-running task reports once it does its work, in percent.
const READY_PERCENT: u32 = 100;
/// Full pace of a run, in percent.
const FULL_PACE_PERCENT: u64 = 100;

/// Why a run in an evacuated domain can't be moved.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StayCause {
    /// It is expected to end soon.
    EndsSoon,
    /// It would lose its work.
    SavesNoProgress,
    /// It is a member of a gang, which would have to be moved as a whole.
    Gang,
    /// The disruption budget of its long-running step allows no interruption now.
    DisruptionBudget,
    /// Its task has a second run, so that the first end counts.
    Duplicated,
    /// No other worker has room for it.
    NoRoom,
}

/// Numbers of runs in an evacuated domain that can't be moved now, by cause. A cause that an earlier version
/// does not state counts as 0.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct StayingRuns {
    /// Runs that are expected to end soon.
    pub ends_soon: usize,
    /// Runs that would lose their work.
    pub saves_no_progress: usize,
    /// Members of gangs.
    pub gang: usize,
    /// Long-running tasks whose disruption budget allows no interruption now.
    pub disruption_budget: usize,
    /// Runs of tasks that have a second run.
    pub duplicated: usize,
    /// Runs for which no other worker has room.
    pub no_room: usize,
}

impl StayingRuns {
    /// Counts a run.
    ///
    /// ```
    /// let mut runs = flow::StayingRuns::default();
    /// runs.count(flow::StayCause::Gang);
    /// assert_eq!((runs.gang, runs.total()), (1, 1));
    /// ```
    pub fn count(&mut self, cause: StayCause) {
        let counter = match cause {
            StayCause::EndsSoon => &mut self.ends_soon,
            StayCause::SavesNoProgress => &mut self.saves_no_progress,
            StayCause::Gang => &mut self.gang,
            StayCause::DisruptionBudget => &mut self.disruption_budget,
            StayCause::Duplicated => &mut self.duplicated,
            StayCause::NoRoom => &mut self.no_room,
        };
        *counter += 1;
    }

    /// Number of all these runs.
    pub fn total(&self) -> usize {
        let once = self.ends_soon + self.saves_no_progress + self.gang;
        once + self.disruption_budget + self.duplicated + self.no_room
    }
}

impl Scheduler {
    /// Moves runs out of evacuated domains for which other workers have room; none if they were
    /// searched for a moment ago. What does not fit elsewhere stays.
    pub(crate) fn move_evacuated(
        &mut self,
        now_ms: u64,
        candidates: &mut [(ServiceName, Candidate)],
    ) {
        let is_due = now_ms >= self.evacuations.searched_ms + SEARCH_INTERVAL_MS;
        if !is_due || !self.has_evacuations() {
            return;
        }
        self.evacuations.searched_ms = now_ms;
        let (mut moves, mut searches) = (0, 0);
        let due = self.due_evacuation_moves(now_ms);
        let is_due = |run: &(AgentId, TaskKey)| due.binary_search(run).is_ok();
        self.evacuations.without_room.retain(is_due);
        // The searches go on where the last ones ended, as the first runs may fit nowhere.
        let after = self.evacuations.searched_run.take();
        let begin = due.partition_point(|run| after.as_ref().is_some_and(|after| run <= after));
        for (agent, key) in due[begin..].iter().chain(&due[..begin]) {
            if moves == MAX_MOVES || searches == MAX_SEARCHES {
                return;
            }
            // An earlier move of this search may have used up the disruption budget of the step.
            if !self.is_evacuation_move_due(now_ms, agent, key) {
                continue;
            }
            searches += 1;
            self.evacuations.searched_run = Some((agent.clone(), key.clone()));
            let percent = self.placement(key).map_or(0, |placement| placement.percent);
            let detail = format!("its failure domain is evacuated; progress {percent}%");
            let run = (agent.clone(), key.clone());
            if self.move_run(now_ms, key, detail, candidates) {
                moves += 1;
            } else {
                self.evacuations.without_room.insert(run);
            }
        }
    }

    /// Runs in evacuated domains that should go on elsewhere, ordered by worker.
    fn due_evacuation_moves(&self, now_ms: u64) -> Vec<(AgentId, TaskKey)> {
        let mut due = self.runs_in_evacuated();
        due.retain(|(agent, key)| self.is_evacuation_move_due(now_ms, agent, key));
        due
    }

    /// Whether a run in an evacuated domain should go on elsewhere.
    fn is_evacuation_move_due(&self, now_ms: u64, agent: &AgentId, key: &TaskKey) -> bool {
        let view = self.fleet.workers.get(agent);
        let info = view.and_then(|view| view.info.as_ref());
        let since_ms = info.and_then(|info| self.evacuations.since_ms.get(&info.domain));
        let is_old = since_ms.is_some_and(|since_ms| now_ms >= since_ms + MOVE_AFTER_MS);
        is_old && self.is_running_on(agent, key) && self.stay_cause(agent, key).is_none()
    }

    /// Whether a run of a task is confirmed on a worker and not about to be stopped.
    fn is_running_on(&self, agent: &AgentId, key: &TaskKey) -> bool {
        let placement = self.task(key).and_then(|task| task.placement_on(agent));
        placement.is_some_and(|placement| matches!(placement.stage, RunStage::Running { .. }))
    }

    /// Why a run must not be moved now, whether or not there is room elsewhere; `None` if it may be moved.
    fn stay_cause(&self, agent: &AgentId, key: &TaskKey) -> Option<StayCause> {
        let (Some(state), Some(spec)) = (self.flows.get(&key.job), self.step_spec(key)) else {
            return Some(StayCause::EndsSoon);
        };
        let task = state.task(key);
        let Some(placement) = task.and_then(|task| task.placement_on(agent)) else {
            return Some(StayCause::EndsSoon);
        };
        let left_percent = u64::from(100 - placement.percent.min(100));
        let pace = u64::from(placement.pace.max(1));
        let run_ms = self.run_time_ms(state, key.step);
        let left_ms = run_ms * left_percent / 100 * FULL_PACE_PERCENT / pace;
        if !spec.long_running && left_ms < MIN_MOVED_MS {
            Some(StayCause::EndsSoon)
        } else if spec.gang {
            Some(StayCause::Gang)
        } else if task.is_some_and(|task| task.duplicate.is_some()) {
            Some(StayCause::Duplicated)
        } else if spec.long_running {
            (!self.may_interrupt(key, spec)).then_some(StayCause::DisruptionBudget)
        } else {
            (!spec.saves_progress).then_some(StayCause::SavesNoProgress)
        }
    }

    /// Runs in each evacuated domain that can't be moved now, by cause. Runs whose start is not confirmed and
    /// those that are being stopped are not among them, nor are those for which no worker was searched yet.
    ///
    /// ```
    /// let mut scheduler = flow::Scheduler::default();
    /// scheduler.set_evacuations(1_000, &["d1".into()].into());
    /// assert_eq!(scheduler.staying_runs()[&"d1".into()].total(), 0);
    /// ```
    pub fn staying_runs(&self) -> BTreeMap<DomainName, StayingRuns> {
        let domains = self.evacuations.since_ms.keys().cloned();
        let mut staying: BTreeMap<_, _> = domains
            .map(|domain| (domain, StayingRuns::default()))
            .collect();
        for run in self.runs_in_evacuated() {
            let (agent, key) = &run;
            let view = self.fleet.workers.get(agent);
            let info = view.and_then(|view| view.info.as_ref());
            let Some(counts) = info.and_then(|info| staying.get_mut(&info.domain)) else {
                continue;
            };
            if !self.is_running_on(agent, key) {
                continue;
            }
            let has_no_room = self.evacuations.without_room.contains(&run);
            let cause = self.stay_cause(agent, key);
            if let Some(cause) = cause.or(has_no_room.then_some(StayCause::NoRoom)) {
                counts.count(cause);
            }
        }
        staying
    }

    /// Whether the disruption budget of a step allows to interrupt one of its long-running tasks; tasks
    /// that are not at work for any reason count against it.
    fn may_interrupt(&self, key: &TaskKey, spec: &StepSpec) -> bool {
        let Some(budget) = spec.disruption_budget else {
            return false;
        };
        let step = self.flows.get(&key.job).and_then(|state| state.step(key));
        let is_at_work = |task: &TaskState| {
            let placement = task.placement.as_ref();
            placement.is_some_and(|placement| {
                let view = self.fleet.workers.get(&placement.agent);
                matches!(placement.stage, RunStage::Running { .. })
                    && placement.percent >= READY_PERCENT
                    && view.is_some_and(WorkerView::is_synced)
            })
        };
        let at_work = step.map_or(0, |step| {
            let tasks = step.all_tasks();
            tasks.filter(|(_, task)| is_at_work(task)).count() as u32
        });
        spec.tasks.saturating_sub(at_work) < budget
    }
}
