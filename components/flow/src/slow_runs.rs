//! Finds slow runs: those that would get a duplicate if there were any room.

use crate::due_order::objective_ms;
use crate::{
    CrashCount, FlowState, Placement, Queue, RunStage, Scheduler, StepSpec, StepState, TaskKey,
    TaskState, WorkerView,
};
use duplicates::{Room, RunView, Verdict, decide};
use model::{JobId, ServiceName};

/// Interval between two searches for slow runs, in milliseconds. Reports of a busy worker come every
/// 400 ms or more often.
const SEARCH_INTERVAL_MS: u64 = 100;
/// Number of the only run of a task that may get a duplicate.
pub(crate) const FIRST_RUN: u32 = 1;
/// Least number of failed runs that a queue must allow: both the run and its duplicate may fail.
const MIN_ATTEMPTS: u32 = 2;
/// Number of run times of a step's tasks from which they are preferred to the declared one.
const MIN_SAMPLES: usize = 3;
/// Most tasks that have ended, and most that run, by which a run time is estimated.
const MAX_SAMPLES: usize = 64;
/// Progress from which a task's run time is projected from it, in percent. Progress is rounded down.
const MIN_PROJECTED_PERCENT: u32 = 10;
/// What a run may take of its declared run time before it counts as usual, in percent. Declared times
/// are estimates.
const DECLARED_MARGIN_PERCENT: u64 = 125;

/// A run that would get a duplicate if there were any room.
#[derive(Debug, Clone)]
pub(crate) struct SlowRun {
    /// The task.
    pub key: TaskKey,
    /// Its pool.
    pub service: ServiceName,
    /// Priority of its queue; 0 is the most urgent.
    pub priority: u32,
    /// Time from now within which it must end for its flow to end in time, in milliseconds.
    pub slack_ms: i64,
    /// The run.
    pub view: RunView,
}

impl Scheduler {
    /// Runs that would get a duplicate if there were any room; none if they were searched for a moment
    /// ago, or if no duplicates are to start.
    pub(crate) fn slow_runs_if_due(&mut self, now_ms: u64) -> Vec<SlowRun> {
        if !self.policies.duplicates || now_ms < self.slow_searched_ms + SEARCH_INTERVAL_MS {
            return Vec::new();
        }
        self.slow_searched_ms = now_ms;
        let open = self.flows.values().filter(|state| state.end().is_none());
        let mut slow: Vec<SlowRun> = open
            .flat_map(|state| self.slow_runs(now_ms, state))
            .collect();
        slow.sort_by_key(|run| (run.priority, run.slack_ms));
        slow
    }

    /// Slow runs of a flow.
    fn slow_runs(&self, now_ms: u64, state: &FlowState) -> Vec<SlowRun> {
        let queue = self.config.queue(&state.job.queue);
        let Some(queue) = queue.filter(|queue| queue.max_attempts >= MIN_ATTEMPTS) else {
            return Vec::new();
        };
        if !state.job.spec.steps.iter().any(allows_duplicates) {
            return Vec::new();
        }
        let mut slow = Vec::new();
        for (occurrence, occurrence_state) in state.occurrences.iter().enumerate() {
            for (step, step_state) in occurrence_state.steps.iter().enumerate() {
                let at = (occurrence as u32, step as u32);
                self.add_slow_runs(now_ms, queue, state, at, step_state, &mut slow);
            }
        }
        slow
    }

    /// Adds the slow runs of a step, which is given by its occurrence and number.
    fn add_slow_runs(
        &self,
        now_ms: u64,
        queue: &Queue,
        state: &FlowState,
        at: (u32, u32),
        step_state: &StepState,
        slow: &mut Vec<SlowRun>,
    ) {
        let (occurrence, step) = at;
        if !state.step_spec(step).is_some_and(allows_duplicates) {
            return;
        }
        let numbered = step_state.tasks.iter().enumerate();
        let mut running = numbered
            .filter_map(|(index, task)| Some((index as u32, duplicable_run(task)?)))
            .peekable();
        if running.peek().is_none() {
            return;
        }
        let usual_ms = self.usual_run_ms(now_ms, state, step, step_state);
        let Some((median_ms, expected_ms)) = usual_ms else {
            return;
        };
        let slack_ms = self.slack_ms(now_ms, queue, state, step);
        // Room that no task competes for; the room that there is counts when a duplicate is placed.
        let ample = Room {
            free_milli: u64::from(u32::MAX),
            total_milli: u64::from(u32::MAX),
            ..Room::default()
        };
        for (index, placement) in running {
            let view = RunView {
                elapsed_ms: self.elapsed_ms(now_ms, placement),
                percent: placement.percent,
                expected_ms,
                median_ms,
                // Speeds of workers are not learned here; progress shows them where it is reported.
                worker_speed: 1.0,
            };
            let verdict = decide(&view, 1, slack_ms, &ample);
            if let Verdict::Start(_) = verdict {
                slow.push(SlowRun {
                    key: task_key(&state.job.id, occurrence, step, index),
                    service: queue.service.clone(),
                    priority: queue.priority,
                    slack_ms,
                    view,
                });
            }
        }
    }

    /// Median run time of a step's tasks, and the time within which 9 of 10 end, in milliseconds: by
    /// the tasks that have ended and the progress of those that run, or by the declared run time if
    /// there are few of them. `None` while reports of the others are still to come.
    fn usual_run_ms(
        &self,
        now_ms: u64,
        state: &FlowState,
        step: u32,
        step_state: &StepState,
    ) -> Option<(u64, u64)> {
        let ended = step_state.tasks.iter().filter(|task| task.run_ms > 0);
        let mut run_ms: Vec<u64> = ended
            .take(MAX_SAMPLES)
            .map(|task| u64::from(task.run_ms))
            .collect();
        let (mut unreported, mut has_progress) = (0, !run_ms.is_empty());
        let running = step_state.tasks.iter().filter_map(duplicable_run);
        // Of runs that another scheduler placed it is not known when they began.
        for run in running.filter(|run| run.revision > 0).take(MAX_SAMPLES) {
            has_progress |= run.percent > 0;
            match run.percent {
                MIN_PROJECTED_PERCENT.. => {
                    run_ms.push(self.elapsed_ms(now_ms, run) * 100 / u64::from(run.percent));
                }
                _ => unreported += 1,
            }
        }
        if run_ms.len() >= MIN_SAMPLES {
            run_ms.sort_unstable();
            return Some((run_ms[run_ms.len() / 2], run_ms[run_ms.len() * 9 / 10]));
        }
        // If none has any progress, the tasks may not report it.
        let are_awaited = has_progress && run_ms.len() + unreported >= MIN_SAMPLES;
        let declared_ms = self.run_time_ms(state, step);
        let usual_ms = declared_ms.saturating_mul(DECLARED_MARGIN_PERCENT) / 100;
        (!are_awaited).then(|| (usual_ms, usual_ms.saturating_mul(2)))
    }

    /// Time from the confirmation of a run to its worker's last report, or to now if the worker can't be
    /// reached, in milliseconds.
    fn elapsed_ms(&self, now_ms: u64, placement: &Placement) -> u64 {
        let RunStage::Running { since_ms } = placement.stage else {
            return 0;
        };
        let view = self.worker(&placement.agent);
        let reported = view.filter(|view| WorkerView::is_synced(view));
        let at_ms = reported.map_or(now_ms, |view| view.last_seen_ms);
        at_ms.saturating_sub(since_ms)
    }

    /// Time from now within which the tasks of a step must end for the flow to end in time, in
    /// milliseconds.
    fn slack_ms(&self, now_ms: u64, queue: &Queue, state: &FlowState, step: u32) -> i64 {
        let objective_ms = objective_ms(queue, state) as i64;
        let due_ms = (state.first_seen_ms as i64).saturating_add(objective_ms);
        let later_ms = self.path_after_ms(state, step) as i64;
        due_ms
            .saturating_sub(later_ms)
            .saturating_sub(now_ms as i64)
    }

    /// Longest chain of run times through the steps that depend on a step, in milliseconds.
    fn path_after_ms(&self, state: &FlowState, step: u32) -> u64 {
        let steps = &state.job.spec.steps;
        let mut after_ms = vec![0_u64; steps.len()];
        for (number, spec) in steps.iter().enumerate().rev() {
            let own_ms = self.run_time_ms(state, number as u32);
            let chain_ms = after_ms[number].saturating_add(own_ms);
            for at in &spec.after {
                if let Some(before_ms) = after_ms.get_mut(*at as usize) {
                    *before_ms = chain_ms.max(*before_ms);
                }
            }
        }
        after_ms.get(step as usize).copied().unwrap_or(0)
    }
}

/// Whether tasks of a step may get duplicates. Latency-critical tasks may not, as fillers are paced by
/// the latency of the only run.
pub(crate) fn allows_duplicates(spec: &StepSpec) -> bool {
    let is_plain = !spec.gang && !spec.filler && !spec.long_running;
    spec.duplicates_allowed && is_plain && spec.latency_target_ms.is_none()
}

/// Placement of a task's run if it is the first, in progress, and without a duplicate, and nothing
/// has failed or crashed under it.
pub(crate) fn duplicable_run(task: &TaskState) -> Option<&Placement> {
    let is_fresh = task.run == FIRST_RUN && task.failures == 0 && !task.done;
    let is_trusted = task.crashes == CrashCount::default() && task.duplicate.is_none();
    let placement = task.placement.as_ref()?;
    let is_running = matches!(placement.stage, RunStage::Running { .. });
    (is_fresh && is_trusted && is_running).then_some(placement)
}

fn task_key(job: &JobId, occurrence: u32, step: u32, index: u32) -> TaskKey {
    TaskKey {
        job: job.clone(),
        occurrence,
        step,
        index,
    }
}
