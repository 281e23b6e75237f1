//! Moves of runs: a run is stopped so that its task is placed on another worker with its checkpoint.

use crate::candidate::Candidate;
use crate::candidate::MIN_PLACED_PACE;
use crate::{DecisionKind, Scheduler, TaskKey};
use model::ServiceName;

impl Scheduler {
    /// Stops a run if another worker has room for its task, and takes up what it needs there for the rest
    /// of the pass. Returns whether the stop was ordered.
    pub(crate) fn move_run(
        &mut self,
        now_ms: u64,
        key: &TaskKey,
        detail: String,
        candidates: &mut [(ServiceName, Candidate)],
    ) -> bool {
        let Some(service) = self.service_of(&key.job).cloned() else {
            return false;
        };
        let (Some(spec), Some(task)) = (self.step_spec(key).cloned(), self.task(key)) else {
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
        self.log_decision(DecisionKind::Moved, key, run, &placement.agent, detail);
        self.stop_run(now_ms, key, run, &placement);
        true
    }
}
