//! Moves fillers that are slowed down for long to workers on which they can work.

use crate::candidate::Candidate;
use crate::placement::MIN_PLACED_PACE;
use crate::{DecisionKind, RunStage, Scheduler, TaskKey};
use model::ServiceName;

/// Interval between two searches for starved fillers, in milliseconds.
const SEARCH_INTERVAL_MS: u64 = 200;
/// Pace up to which a filler counts as starved, in percent of the full pace.
const STARVED_PACE_PERCENT: u32 = 30;
/// Time at such a pace from which a filler counts as starved, in milliseconds.
const STARVED_AFTER_MS: u64 = 500;
/// Progress up to which a filler without checkpoints may be moved, in percent; the move loses it.
const MAX_LOST_PROGRESS_PERCENT: u32 = 30;
/// Progress from which a filler is left where it is, in percent.
const NEARLY_DONE_PERCENT: u32 = 90;
/// Greatest number of moves in one search, so that the workers' reports catch up.
const MAX_MOVES: usize = 8;

impl Scheduler {
    /// Starved fillers; none if they were searched for a moment ago.
    pub(crate) fn starved_fillers_if_due(&mut self, now_ms: u64) -> Vec<TaskKey> {
        if now_ms < self.starved_searched_ms + SEARCH_INTERVAL_MS {
            return Vec::new();
        }
        self.starved_searched_ms = now_ms;
        self.starved_fillers(now_ms)
    }

    /// Stops fillers for which another worker has slack, so that they are placed there with their
    /// checkpoints.
    pub(crate) fn move_fillers(
        &mut self,
        now_ms: u64,
        fillers: Vec<TaskKey>,
        candidates: &mut [(ServiceName, Candidate)],
    ) {
        let mut moves = 0;
        for key in fillers {
            if moves == MAX_MOVES {
                return;
            }
            if self.move_filler(now_ms, &key, candidates) {
                moves += 1;
            }
        }
    }

    /// Fillers that have been slowed down for long and that lose little by a move.
    fn starved_fillers(&self, now_ms: u64) -> Vec<TaskKey> {
        let views = self.fleet.workers.values();
        let allocations = views.flat_map(|view| &view.allocations);
        let fillers = allocations.filter(|(_, allocation)| allocation.filler);
        fillers
            .filter(|(key, _)| self.is_starved(now_ms, key))
            .map(|(key, _)| key.clone())
            .collect()
    }

    fn is_starved(&self, now_ms: u64, key: &TaskKey) -> bool {
        let (Some(spec), Some(placement)) = (self.step_spec(key), self.placement(key)) else {
            return false;
        };
        let is_cheap = spec.saves_progress || placement.percent <= MAX_LOST_PROGRESS_PERCENT;
        matches!(placement.stage, RunStage::Running { .. })
            && placement.pace <= STARVED_PACE_PERCENT
            && now_ms >= placement.pace_changed_ms + STARVED_AFTER_MS
            && placement.percent < NEARLY_DONE_PERCENT
            && is_cheap
    }

    /// Stops a filler if another worker has slack for it, and takes up what it needs there. Returns whether the
    /// stop was ordered.
    fn move_filler(
        &mut self,
        now_ms: u64,
        key: &TaskKey,
        candidates: &mut [(ServiceName, Candidate)],
    ) -> bool {
        let Some(state) = self.flows.get(&key.job) else {
            return false;
        };
        let Some(service) = self
            .config
            .queue(&state.job.queue)
            .map(|queue| queue.service.clone())
        else {
            return false;
        };
        let (Some(spec), Some(task)) = (state.step_spec(key.step).cloned(), state.task(key)) else {
            return false;
        };
        let Some(placement) = task.placement.clone() else {
            return false;
        };
        let run = placement.run;
        let filler = self.filler_need(now_ms, &spec, MIN_PLACED_PACE, candidates);
        let found = self.best_candidate(key, &service, candidates, None, &filler);
        let Some(candidate) = found.map(|index| &mut candidates[index].1) else {
            return false;
        };
        if candidate.agent == placement.agent {
            return false;
        }
        candidate.choose(key, &spec, &filler);
        let detail = format!(
            "pace {}% beside latency-critical tasks; progress {}%",
            placement.pace, placement.percent
        );
        self.log_decision(DecisionKind::Moved, key, run, &placement.agent, detail);
        self.stop_run(now_ms, key, run, &placement);
        true
    }
}
