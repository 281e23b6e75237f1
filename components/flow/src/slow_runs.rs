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

/// Greatest number of slow runs that one search examines, most urgent first.
const MAX_EXAMINED: usize = 256;

/// A run that would get a duplicate if there were any room.
#[derive(Debug, Clone)]
pub(crate) struct SlowRun {
    /// The task.
    pub key: TaskKey,
    /// Its pool.
    pub service: ServiceName,
    /// Priority of its queue; 0 is the most urgent.
    pub priority: u32,
    /// Processors that a duplicate needs, in thousandths.
    pub need_milli: u32,
    /// Time by which it must end for its flow to end in time, in milliseconds.
    pub due_ms: i64,
    /// The run.
    pub view: RunView,
}

/// Place of a slow run in the order in which they are examined.
pub(crate) type SlowRank = (u32, i64, TaskKey);

/// Searches for slow runs so far.
#[derive(Debug, Default)]
pub(crate) struct SlowSearch {
    /// When the last one began, in milliseconds.
    searched_ms: u64,
    /// The run after which the next one begins; `None` if it begins with the most urgent run.
    after: Option<SlowRank>,
}

/// Slow runs that one search examines.
#[derive(Debug, Default)]
pub(crate) struct SlowRuns {
    /// The runs, in the order in which they are examined.
    pub runs: Vec<SlowRun>,
    /// Whether there are more.
    pub has_more: bool,
}

/// A slow run of a flow of the scheduler.
struct FoundRun<'a> {
    queue: &'a Queue,
    job: &'a JobId,
    occurrence: u32,
    step: u32,
    index: u32,
    need_milli: u32,
    due_ms: i64,
    view: RunView,
}

/// A run in progress that may get a duplicate.
struct DuplicableRun<'a> {
    index: u32,
    placement: &'a Placement,
    /// Time from its confirmation to its worker's last report, or to now if the worker can't be reached, in
    /// milliseconds.
    elapsed_ms: u64,
    /// Learned speed of its worker; 1 is normal.
    speed: f64,
}

impl SlowRun {
    /// Its place in the order in which slow runs are examined.
    pub(crate) fn rank(&self) -> SlowRank {
        (self.priority, self.due_ms, self.key.clone())
    }
}

impl FoundRun<'_> {
    fn rank(&self) -> (u32, i64, &JobId, u32, u32, u32) {
        let place = (self.occurrence, self.step, self.index);
        let (occurrence, step, index) = place;
        let (priority, due_ms) = (self.queue.priority, self.due_ms);
        (priority, due_ms, self.job, occurrence, step, index)
    }

    fn is_after(&self, (priority, due_ms, key): &SlowRank) -> bool {
        let place = (key.occurrence, key.step, key.index);
        let (occurrence, step, index) = place;
        self.rank() > (*priority, *due_ms, &key.job, occurrence, step, index)
    }

    fn to_slow_run(&self) -> SlowRun {
        SlowRun {
            key: TaskKey {
                job: self.job.clone(),
                occurrence: self.occurrence,
                step: self.step,
                index: self.index,
            },
            service: self.queue.service.clone(),
            priority: self.queue.priority,
            need_milli: self.need_milli,
            due_ms: self.due_ms,
            view: self.view,
        }
    }
}

impl Scheduler {
    /// Runs that would get a duplicate if there were any room, as many as one search examines; none if they
    /// were searched for a moment ago, or if no duplicates are to start.
    pub(crate) fn slow_runs_if_due(&mut self, now_ms: u64) -> SlowRuns {
        let is_due = now_ms >= self.slow_search.searched_ms + SEARCH_INTERVAL_MS;
        if !self.policies.duplicates || !is_due {
            return SlowRuns::default();
        }
        self.slow_search.searched_ms = now_ms;
        let after = self.slow_search.after.take();
        let open = self.flows.values().filter(|state| state.end().is_none());
        let mut found: Vec<FoundRun<'_>> = open
            .flat_map(|state| self.slow_runs(now_ms, state))
            .collect();
        // They are in the order of their keys, which a stable sort keeps.
        found.sort_by_key(|run| (run.queue.priority, run.due_ms));
        let begin = after.map_or(0, |after| {
            found.partition_point(|run| !run.is_after(&after))
        });
        let in_turn = found[begin..].iter().chain(&found[..begin]);
        SlowRuns {
            runs: in_turn
                .take(MAX_EXAMINED)
                .map(FoundRun::to_slow_run)
                .collect(),
            has_more: found.len() > MAX_EXAMINED,
        }
    }

    /// Lets the next search begin after a run, as this one ended there and others are left.
    pub(crate) fn continue_slow_search_after(&mut self, run: SlowRank) {
        self.slow_search.after = Some(run);
    }

    /// Slow runs of a flow.
    fn slow_runs<'a>(&'a self, now_ms: u64, state: &'a FlowState) -> Vec<FoundRun<'a>> {
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
    fn add_slow_runs<'a>(
        &self,
        now_ms: u64,
        queue: &'a Queue,
        state: &'a FlowState,
        at: (u32, u32),
        step_state: &StepState,
        slow: &mut Vec<FoundRun<'a>>,
    ) {
        let (occurrence, step) = at;
        let spec = state.step_spec(step);
        let Some(spec) = spec.filter(|spec| allows_duplicates(spec)) else {
            return;
        };
        let numbered = step_state.tasks.iter().enumerate();
        let running: Vec<DuplicableRun<'_>> = numbered
            .filter_map(|(index, task)| {
                Some(self.duplicable(now_ms, index as u32, duplicable_run(task)?))
            })
            .collect();
        if running.is_empty() {
            return;
        }
        let usual_ms = self.usual_run_ms(state, step, step_state, &running);
        let Some((median_ms, expected_ms)) = usual_ms else {
            return;
        };
        let due_ms = self.step_due_ms(queue, state, step);
        let slack_ms = due_ms.saturating_sub(now_ms as i64);
        // Room that no task competes for; the room that there is counts when a duplicate is placed.
        let ample = Room {
            free_milli: u64::from(u32::MAX),
            total_milli: u64::from(u32::MAX),
            ..Room::default()
        };
        for run in running {
            let view = RunView {
                elapsed_ms: run.elapsed_ms,
                percent: run.placement.percent,
                expected_ms,
                median_ms,
                worker_speed: run.speed,
            };
            let verdict = decide(&view, 1, slack_ms, &ample);
            if let Verdict::Start(_) = verdict {
                slow.push(FoundRun {
                    queue,
                    job: &state.job.id,
                    occurrence,
                    step,
                    index: run.index,
                    need_milli: spec.need.processors_milli,
                    due_ms,
                    view,
                });
            }
        }
    }

    /// Median run time of a step's tasks, and the time within which 9 of 10 end, in milliseconds, on workers
    /// of normal speed: by the tasks that have ended and the progress of those that run, or by the declared
    /// run time if there are few of them. `None` while reports of the others are still to come.
    fn usual_run_ms(
        &self,
        state: &FlowState,
        step: u32,
        step_state: &StepState,
        running: &[DuplicableRun<'_>],
    ) -> Option<(u64, u64)> {
        let ended = step_state.tasks.iter().filter(|task| task.run_ms > 0);
        let mut run_ms: Vec<u64> = ended
            .take(MAX_SAMPLES)
            .map(|task| u64::from(task.run_ms))
            .collect();
        let (mut unreported, mut has_progress) = (0, !run_ms.is_empty());
        // Of runs that another scheduler placed it is not known when they began.
        let running = running.iter().filter(|run| run.placement.revision > 0);
        for run in running.take(MAX_SAMPLES) {
            let percent = run.placement.percent;
            has_progress |= percent > 0;
            match percent {
                MIN_PROJECTED_PERCENT.. => {
                    let whole_ms = run.elapsed_ms * 100 / u64::from(percent);
                    run_ms.push(at_normal_speed(whole_ms, run.speed));
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

    /// A run that may get a duplicate, as of its worker's last report.
    fn duplicable<'a>(
        &self,
        now_ms: u64,
        index: u32,
        placement: &'a Placement,
    ) -> DuplicableRun<'a> {
        let view = self.worker(&placement.agent);
        let reported = view.filter(|view| WorkerView::is_synced(view));
        let at_ms = reported.map_or(now_ms, |view| view.last_seen_ms);
        let elapsed_ms = match placement.stage {
            RunStage::Running { since_ms } => at_ms.saturating_sub(since_ms),
            _ => 0,
        };
        DuplicableRun {
            index,
            placement,
            elapsed_ms,
            speed: view.map_or(1.0, |view| self.learned_speed(view)),
        }
    }

    /// Learned speed of a worker; 1 is normal. It is 1 if speeds are not learned, and if most workers are slow,
    /// as a second run would be so, too.
    pub(crate) fn learned_speed(&self, view: &WorkerView) -> f64 {
        match self.policies.learned_run_times && !self.learned.are_most_slow {
            true => self.speed_of(view),
            false => 1.0,
        }
    }

    /// Time by which the tasks of a step must end for the flow to end in time, in milliseconds.
    fn step_due_ms(&self, queue: &Queue, state: &FlowState, step: u32) -> i64 {
        let objective_ms = objective_ms(queue, state) as i64;
        let due_ms = (state.first_seen_ms as i64).saturating_add(objective_ms);
        due_ms.saturating_sub(self.path_after_ms(state, step) as i64)
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

/// Time that a run of `run_ms` on a worker of this speed takes on one of normal speed, in milliseconds.
pub(crate) fn at_normal_speed(run_ms: u64, speed: f64) -> u64 {
    match speed < 1.0 {
        true => (run_ms as f64 * speed) as u64,
        false => run_ms,
    }
}
