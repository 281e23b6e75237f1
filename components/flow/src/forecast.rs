//! When runs on a worker are expected to end, and so when it has room for further tasks. A forecast
//! reserves nothing.

use crate::candidate::{Candidate, MIN_FILLER_SPARE_SHARE};
use crate::placed_runs::allocation_for;
use crate::view::Allocation;
use crate::{FlowState, Placement, RunStage, Scheduler, StepSpec, TaskKey};
use locality::NearPlace;
use model::Resources;

/// Progress from which the time that a run took so far tells its rate, in percent.
const MIN_RATED_PERCENT: u32 = 20;
/// Time by which the reported progress may lag behind the placement, in milliseconds: commit, start and
/// report.
const PROGRESS_LAG_MS: u64 = 500;

/// Expected changes of the free capacity of a worker, ordered by time.
#[derive(Debug, Clone, Default)]
pub(crate) struct Forecast(Vec<Change>);

/// An expected change of the free capacity of a worker.
#[derive(Debug, Clone, Copy)]
struct Change {
    /// When it is expected, in milliseconds.
    at_ms: u64,
    /// Resources that become free.
    freed: Resources,
    /// Resources that a waiting task takes.
    taken: Resources,
    /// Change of the processors that no run is expected to use, in thousandths.
    spare_milli: i64,
}

impl Forecast {
    /// Expects the end of a run.
    fn release(&mut self, at_ms: u64, allocation: &Allocation) {
        self.insert(Change {
            at_ms,
            freed: allocation.reserved,
            taken: Resources::default(),
            spare_milli: allocation.expected_milli(),
        });
    }

    /// Expects that a task which waits for this worker runs here from `at_ms` for `run_ms`, so that tasks
    /// behind it in the order don't count on the same room.
    pub(crate) fn claim(&mut self, at_ms: u64, run_ms: u64, spec: &StepSpec) {
        let allocation = allocation_for(at_ms, spec, 0);
        self.insert(Change {
            at_ms,
            freed: Resources::default(),
            taken: allocation.reserved,
            spare_milli: -allocation.expected_milli(),
        });
        self.release(at_ms.saturating_add(run_ms), &allocation);
    }

    /// No longer expects the end of a run at this time.
    fn withdraw(&mut self, at_ms: u64, allocation: &Allocation) {
        let is_end = |change: &Change| change.at_ms == at_ms && change.freed == allocation.reserved;
        if let Some(at) = self.0.iter().position(is_end) {
            self.0.remove(at);
        }
    }

    fn insert(&mut self, change: Change) {
        // Claims come before releases at the same time, so that each release counts for one claim.
        let order = |change: &Change| (change.at_ms, change.taken == Resources::default());
        let at = self.0.partition_point(|own| order(own) <= order(&change));
        self.0.insert(at, change);
    }
}

/// Room of a worker at some time.
struct Room {
    free: Resources,
    taken: Resources,
    spare_milli: i64,
}

impl Room {
    fn apply(&mut self, change: &Change) {
        self.free = self.free.plus(&change.freed);
        self.taken = self.taken.plus(&change.taken);
        self.spare_milli += change.spare_milli;
    }

    /// Number of tasks of the step that fit, at most `limit`.
    fn count(&self, spec: &StepSpec, limit: u32) -> u32 {
        let mut free = self.free.minus(&self.taken);
        let reserved = spec.reserved();
        let mut spare = self.spare_milli as f64;
        let processors = f64::from(spec.need.processors_milli);
        let mut count = 0;
        while count < limit && reserved.fits_in(&free) {
            if spec.filler && spare < processors * MIN_FILLER_SPARE_SHARE {
                break;
            }
            free = free.minus(&reserved);
            spare -= processors;
            count += 1;
        }
        count
    }
}

impl Candidate {
    /// Places for tasks of a step, at most `limit`, each with the time at which it is expected to be free.
    pub(crate) fn places(&self, now_ms: u64, spec: &StepSpec, limit: u32) -> Vec<NearPlace> {
        let mut room = Room {
            free: self.free,
            taken: Resources::default(),
            spare_milli: self.spare_milli,
        };
        let free = room.count(spec, limit);
        let free_now = NearPlace {
            free_now: true,
            expected_free_ms: None,
        };
        let mut places = vec![free_now; free as usize];
        let changes = self.forecast.iter().flat_map(|forecast| &forecast.0);
        for change in changes {
            if places.len() >= limit as usize {
                break;
            }
            room.apply(change);
            let later = NearPlace {
                free_now: false,
                expected_free_ms: Some(change.at_ms.saturating_sub(now_ms)),
            };
            let count = room.count(spec, limit) as usize;
            places.resize(places.len().max(count), later);
        }
        places
    }
}

impl Candidate {
    /// Capacity that is expected to be free at a time, without what waiting tasks take by then.
    pub(crate) fn free_at(&self, at_ms: u64) -> Resources {
        let mut room = Room {
            free: self.free,
            taken: Resources::default(),
            spare_milli: self.spare_milli,
        };
        let changes = self.forecast.iter().flat_map(|forecast| &forecast.0);
        for change in changes.take_while(|change| change.at_ms <= at_ms) {
            room.apply(change);
        }
        room.free.minus(&room.taken)
    }

    /// Expects that a waiting task runs here from `at_ms` for `run_ms`; see [`Forecast::claim`].
    pub(crate) fn claim(&mut self, at_ms: u64, run_ms: u64, spec: &StepSpec) {
        if let Some(forecast) = self.forecast.as_mut() {
            forecast.claim(at_ms, run_ms, spec);
        }
    }
}

impl Scheduler {
    /// Expects that a run on a candidate, which is about to be stopped, ends now.
    pub(crate) fn expect_stop(&self, now_ms: u64, key: &TaskKey, candidate: &mut Candidate) {
        let view = self.fleet.workers.get(&candidate.agent);
        let allocation = view.and_then(|view| view.allocations.get(key));
        let (Some(allocation), Some(forecast)) = (allocation, candidate.forecast.as_mut()) else {
            return;
        };
        if let Some(left_ms) = self.remaining_run_ms(now_ms, key, allocation) {
            forecast.withdraw(now_ms.saturating_add(left_ms), allocation);
        }
        forecast.release(now_ms, allocation);
    }

    /// Determines when the runs on a candidate are expected to end, unless that is known.
    pub(crate) fn forecast_releases(&self, now_ms: u64, candidate: &mut Candidate) {
        if candidate.forecast.is_some() {
            return;
        }
        let view = self.fleet.workers.get(&candidate.agent);
        let allocations = view.into_iter().flat_map(|view| &view.allocations);
        let mut forecast = Forecast::default();
        for (key, allocation) in allocations {
            if let Some(left_ms) = self.remaining_run_ms(now_ms, key, allocation) {
                forecast.release(now_ms.saturating_add(left_ms), allocation);
            }
        }
        candidate.forecast = Some(forecast);
    }

    /// As [`Scheduler::expect_release`], for a task that a candidate was only chosen for.
    pub(crate) fn expect_chosen_release(
        &self,
        now_ms: u64,
        run_ms: u64,
        spec: &StepSpec,
        candidate: &mut Candidate,
    ) {
        self.forecast_releases(now_ms, candidate);
        if let Some(forecast) = candidate.forecast.as_mut() {
            forecast.release(
                now_ms.saturating_add(run_ms),
                &allocation_for(now_ms, spec, 0),
            );
        }
    }

    /// Adds the run that was just placed on a candidate to its forecast, if there is one.
    pub(crate) fn expect_release(
        &self,
        now_ms: u64,
        key: &TaskKey,
        allocation: &Allocation,
        candidate: &mut Candidate,
    ) {
        let Some(forecast) = candidate.forecast.as_mut() else {
            return;
        };
        if let Some(left_ms) = self.remaining_run_ms(now_ms, key, allocation) {
            forecast.release(now_ms.saturating_add(left_ms), allocation);
        }
    }

    /// Time until a placed run is expected to end, in milliseconds; `None` if that is not known, as of
    /// long-running tasks.
    pub(crate) fn remaining_run_ms(
        &self,
        now_ms: u64,
        key: &TaskKey,
        allocation: &Allocation,
    ) -> Option<u64> {
        let state = self.flows.get(&key.job)?;
        let task = state.task(key)?;
        let placement = task.placement_of(allocation.run)?;
        if matches!(placement.stage, RunStage::Stopping { .. }) {
            return Some(0);
        }
        if state.step_spec(key.step)?.long_running || placement.pace == 0 {
            return None;
        }
        let is_first_run = allocation.run <= 1;
        let declared_ms = self.expected_run_ms(state, key, placement);
        let total_ms = observed_run_ms(now_ms, allocation, placement, is_first_run, declared_ms);
        let left_percent = u64::from(100 - placement.percent.min(100));
        let left_ms = total_ms.saturating_mul(left_percent) / 100;
        let at_full_pace_ms = left_ms.saturating_mul(100) / u64::from(placement.pace);
        Some(until_end_ms(
            at_full_pace_ms,
            now_ms.saturating_sub(placement.progress_ms),
        ))
    }

    /// Expected time of the whole run at full pace, in milliseconds.
    fn expected_run_ms(&self, state: &FlowState, key: &TaskKey, placement: &Placement) -> u64 {
        let run_ms = self.run_time_ms(state, key.step);
        let view = self.fleet.workers.get(&placement.agent);
        let factor = self.policies.remote_factor.unwrap_or(1.0);
        let is_near = view
            .zip(state.step_spec(key.step))
            .is_none_or(|(view, spec)| view.is_near(spec));
        match is_near {
            true => run_ms,
            false => run_ms.saturating_add(locality::extra_ms(run_ms, factor)),
        }
    }
}

/// Time of a whole run by its progress so far, in milliseconds, if its begin and its progress at that time
/// are known. It is at least `declared_ms` before the progress tells the rate, and longer if the time so far shows
/// that. Only the first run of a task is sure to begin without a checkpoint.
fn observed_run_ms(
    now_ms: u64,
    allocation: &Allocation,
    placement: &Placement,
    is_first_run: bool,
    declared_ms: u64,
) -> u64 {
    let is_known = is_first_run && allocation.since_ms > 0 && placement.pace == 100;
    if !is_known {
        return declared_ms;
    }
    let percent = u64::from(placement.percent);
    if placement.percent >= MIN_RATED_PERCENT {
        let took_ms = placement.progress_ms.saturating_sub(allocation.since_ms);
        return took_ms.saturating_mul(100) / percent;
    }
    let took_ms = now_ms.saturating_sub(allocation.since_ms + PROGRESS_LAG_MS);
    let least_ms = took_ms.saturating_mul(100) / (percent + 1);
    declared_ms.max(least_ms)
}

/// Time until a run ends that was expected to take `left_ms` more, `since_ms` ago. A run that takes longer
/// than expected is expected to take as long again as it is late.
fn until_end_ms(left_ms: u64, since_ms: u64) -> u64 {
    left_ms.abs_diff(since_ms)
}
