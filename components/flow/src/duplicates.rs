//! Duplicates: second runs of slow tasks, where the tasks' steps allow them.
//!
//! Only the first run of a task gets a duplicate. So a task has at most one in its life, and no earlier
//! run of it can be left anywhere. A duplicate is a placement like any other: it is started once it is
//! in a durable record, and its resources stay allocated until its end is known.

use crate::candidate::{Candidate, FillerNeed};
use crate::crashes::Isolation;
use crate::slow_runs::{
    FIRST_RUN, SlowRun, SlowRuns, allows_duplicates, at_normal_speed, duplicable_run,
};
use crate::task_runs::Removed;
use crate::{
    DecisionKind, DuplicateOutcome, Effect, EndedRun, FlowState, Placement, RunEnd, RunStage,
    Scheduler, TaskKey,
};
use duplicates::{Reason, Room, RunView, Verdict, decide};
use model::ServiceName;
use std::collections::BTreeMap;

/// Most duplicates that one search starts, so that the workers' reports catch up.
const MAX_STARTS: usize = 8;
/// Greatest number of runs for which one search looks for a worker; each examines all workers.
const MAX_SEARCHES: usize = 32;

/// What duplicates compete for, during one scheduling pass.
#[derive(Debug, Default)]
struct Demand {
    /// Processors that queued tasks need, by pool and priority, in thousandths.
    queued_milli: BTreeMap<(ServiceName, u32), u64>,
    /// Number of duplicates in progress, by pool.
    duplicates: BTreeMap<ServiceName, u32>,
    /// Free and all processors of the candidates, by pool, in thousandths.
    processors: BTreeMap<ServiceName, (u64, u64)>,
}

impl Scheduler {
    /// Starts duplicates of slow runs as far as their budgets and the pools' workers allow. If there are too many
    /// for one search, the next one goes on where this one ended, as the first runs may fit nowhere.
    pub(crate) fn place_duplicates(
        &mut self,
        now_ms: u64,
        slow: SlowRuns,
        candidates: &mut [(ServiceName, Candidate)],
    ) {
        if slow.runs.is_empty() {
            return;
        }
        let mut demand = self.demand(candidates);
        let (mut starts, mut searches) = (0, 0);
        let examined = slow.runs.len();
        for (number, run) in slow.runs.into_iter().enumerate() {
            let running: u32 = demand.duplicates.values().sum();
            if starts == MAX_STARTS || running >= self.duplicate_history.limit() {
                return;
            }
            let room = demand.room(&run);
            let slack_ms = run.due_ms.saturating_sub(now_ms as i64);
            let verdict = decide(&run.view, run.need_milli, slack_ms, &room);
            if let Verdict::Start(reason) = verdict {
                searches += 1;
                if self.place_duplicate(now_ms, &run, candidates) {
                    self.log_duplicate(&run, slack_ms, reason);
                    *demand.duplicates.entry(run.service.clone()).or_default() += 1;
                    demand.processors = processors(candidates);
                    starts += 1;
                }
            }
            let is_last = number + 1 == examined;
            if (searches == MAX_SEARCHES && !is_last) || (is_last && slow.has_more) {
                self.continue_slow_search_after(run.rank());
                return;
            }
        }
    }

    /// Starts a duplicate of a slow run. Returns whether a worker had room for it.
    fn place_duplicate(
        &mut self,
        now_ms: u64,
        run: &SlowRun,
        candidates: &mut [(ServiceName, Candidate)],
    ) -> bool {
        let key = &run.key;
        let spec = self.step_spec(key);
        let (Some(spec), Some(first)) = (spec, self.first_run(key)) else {
            return false;
        };
        // A run away from its data, or on a slow worker, would hardly end first.
        let rack = spec.data_rack.as_deref();
        let admits = |candidate: &Candidate| {
            let is_fast = candidate.speed_rank.penalty(spec) <= 0.0;
            is_fast && candidate.agent != first.agent && candidate.admits(key, Isolation::None)
        };
        let need = FillerNeed::default();
        let found = self.best_admitting(key, &run.service, candidates, rack, &need, admits);
        let Some(index) = found else {
            return false;
        };
        self.assign(now_ms, key, &mut candidates[index].1, None, None);
        true
    }

    /// Logs and counts a duplicate that was placed.
    fn log_duplicate(&mut self, run: &SlowRun, slack_ms: i64, reason: Reason) {
        let task = self.task(&run.key);
        let placed = task.and_then(|task| task.duplicate.as_deref());
        let Some((number, agent)) = placed.map(|placed| (placed.run, placed.agent.clone())) else {
            return;
        };
        let RunView {
            percent,
            elapsed_ms,
            median_ms,
            worker_speed,
            ..
        } = run.view;
        let at_speed = match worker_speed < 1.0 {
            true => format!(" at {:.0}% of the normal speed", worker_speed * 100.0),
            false => String::new(),
        };
        let detail = format!(
            "{reason}: {percent}% after {elapsed_ms} ms{at_speed}; usual run time {median_ms} ms, slack {slack_ms} ms"
        );
        self.log_decision(DecisionKind::Duplicated, &run.key, number, &agent, detail);
        self.effects
            .push(Effect::Duplicate(DuplicateOutcome::Started));
    }

    /// Placement of a task's first run if it may get a duplicate.
    fn first_run(&self, key: &TaskKey) -> Option<&Placement> {
        let state = self.flows.get(&key.job)?;
        let spec = state.step_spec(key.step)?;
        let first = state.task(key).and_then(duplicable_run)?;
        let may_start = allows_duplicates(spec)
            && state.end().is_none()
            && !self.suspects.contains_key(key)
            && !self.fleet.has_orphan(key);
        may_start.then_some(first)
    }

    /// What duplicates compete for.
    fn demand(&self, candidates: &[(ServiceName, Candidate)]) -> Demand {
        let mut demand = Demand {
            processors: processors(candidates),
            ..Demand::default()
        };
        for state in self.flows.values().filter(|state| !state.is_closed()) {
            let Some(queue) = self.config.queue(&state.job.queue) else {
                continue;
            };
            let tasks = state.steps().flat_map(|step| &step.tasks);
            let duplicates = tasks.filter(|task| task.duplicate.is_some()).count() as u32;
            *demand.duplicates.entry(queue.service.clone()).or_default() += duplicates;
            let pool = (queue.service.clone(), queue.priority);
            *demand.queued_milli.entry(pool).or_default() += queued_milli(state);
        }
        demand
    }

    /// Counts what became of a duplicate when a run of its task was removed that did not succeed.
    pub(crate) fn count_removed(&mut self, key: &TaskKey, removed: &Removed) {
        let state = self.flows.get(&key.job);
        let is_over = state
            .is_none_or(|state| state.is_closed() || state.task(key).is_none_or(|task| task.done));
        let outcome = match removed {
            Removed::Only(_) => return,
            Removed::First(_) if !is_over => DuplicateOutcome::Won,
            Removed::First(_) | Removed::Duplicate(_) => DuplicateOutcome::Stopped,
        };
        self.effects.push(Effect::Duplicate(outcome));
    }

    /// Counts what became of a duplicate when a run of its task ended, and takes note of the run time.
    /// `was_done` states whether the task had succeeded before.
    pub(crate) fn count_ended(
        &mut self,
        now_ms: u64,
        key: &TaskKey,
        end: &EndedRun,
        was_done: bool,
        removed: &Removed,
    ) {
        if end.outcome != RunEnd::Done || was_done {
            self.count_removed(key, removed);
            return;
        }
        match removed {
            Removed::Only(_) => {}
            Removed::First(_) => self.on_duplicate_result(DuplicateOutcome::Lost),
            Removed::Duplicate(_) => self.on_duplicate_result(DuplicateOutcome::Won),
        }
        self.observe_run_ms(now_ms, key, removed.placement());
    }

    /// Counts a duplicate of a task that succeeded in either run.
    fn on_duplicate_result(&mut self, outcome: DuplicateOutcome) {
        let won = outcome == DuplicateOutcome::Won;
        self.duplicate_history.observe(won);
        self.effects.push(Effect::Duplicate(outcome));
    }

    /// Takes note of the run time of a task that succeeded, for the duplicates of its step.
    fn observe_run_ms(&mut self, now_ms: u64, key: &TaskKey, placement: &Placement) {
        let is_needed =
            self.policies.duplicates && self.step_spec(key).is_some_and(allows_duplicates);
        // Later runs may have resumed from a checkpoint.
        let is_whole = placement.run == FIRST_RUN && placement.revision > 0;
        let RunStage::Running { since_ms } = placement.stage else {
            return;
        };
        let view = self.worker(&placement.agent);
        let speed = view.map_or(1.0, |view| self.learned_speed(view));
        let run_ms = at_normal_speed(now_ms.saturating_sub(since_ms), speed);
        if let Some(task) = self.task_mut(key).filter(|_| is_needed && is_whole) {
            task.run_ms = u32::try_from(run_ms).unwrap_or(u32::MAX);
        }
    }
}

impl Demand {
    /// Room in the pool of a slow run, as the present pass leaves it.
    fn room(&self, run: &SlowRun) -> Room {
        let processors = self.processors.get(&run.service).copied();
        let (free_milli, total_milli) = processors.unwrap_or_default();
        let mut room = Room {
            free_milli,
            total_milli,
            ..Room::default()
        };
        let most_urgent = (run.service.clone(), 0);
        let own = (run.service.clone(), run.priority);
        room.queued_milli = self
            .queued_milli
            .range(most_urgent..=own)
            .map(|(_, milli)| milli)
            .sum();
        room.duplicates = self.duplicates.get(&run.service).copied().unwrap_or(0);
        room
    }
}

/// Free and all processors of the candidates, by pool, in thousandths.
fn processors(candidates: &[(ServiceName, Candidate)]) -> BTreeMap<ServiceName, (u64, u64)> {
    let mut processors: BTreeMap<ServiceName, (u64, u64)> = BTreeMap::new();
    for (service, candidate) in candidates {
        let of_pool = match processors.get_mut(service) {
            Some(of_pool) => of_pool,
            None => processors.entry(service.clone()).or_default(),
        };
        of_pool.0 += u64::from(candidate.free.processors_milli);
        of_pool.1 += u64::from(candidate.capacity.processors_milli);
    }
    processors
}

/// Processors that the queued tasks of a flow need whose turn has come, in thousandths.
fn queued_milli(state: &FlowState) -> u64 {
    let steps = state.ready_steps().into_iter();
    let needs = steps.filter_map(|(occurrence, step)| {
        let spec = state.step_spec(step as u32)?;
        let step = state.occurrences.get(occurrence)?.steps.get(step)?;
        let never_placed = u64::from(step.count).saturating_sub(step.tasks.len() as u64);
        let queued = step.tasks.iter().filter(|task| task.is_queued()).count() as u64;
        let queued = if step.is_released {
            0
        } else {
            queued + never_placed
        };
        Some(queued * u64::from(spec.need.processors_milli.max(1)))
    });
    needs.sum()
}
