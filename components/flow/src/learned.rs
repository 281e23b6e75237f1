//! Learns run times of tasks and speeds of workers from ends and progress of runs.

use crate::view::WorkerView;
use crate::{
    Effect, EndedRun, FlowState, Placement, RunEnd, RunStage, RunningTask, Scheduler, StepSpec,
    TaskKey,
};
use estimates::{Estimate, EstimateErrors, RunTimes, Siblings, TaskClass};
use model::AgentId;
use utils::{Map, hash64};
use worker_speed::{RunSample, SlowDomains};

/// Least time of a part of a run from which a speed is computed, in milliseconds. A report states whole
/// percents, and shorter parts would be told apart by chance.
const MIN_PART_MS: u64 = 300;
/// Least progress in such a part, in percent, unless it took longer than the whole run was declared to.
const MIN_PART_PERCENT: u32 = 5;
/// Time after which a new part begins, in milliseconds, so that a change of the speed shows.
const MAX_PART_MS: u64 = 2_000;
/// Delay of a report from which nothing is learned from it, in milliseconds. A worker may hold a poll for
/// some 400 ms.
const MAX_REPORT_DELAY_MS: u64 = 2_000;
/// Time until an order of a pace is in force, in milliseconds.
const PACE_SETTLE_MS: u64 = 500;
/// Pace at which the progress of a run is a measure of its worker's speed, in percent.
const FULL_PACE_PERCENT: u32 = 100;
/// Newest occurrences of a recurring flow among which ended tasks of a step are searched for.
const MAX_OCCURRENCES: usize = 8;
/// Weight of the evidence on a class at which a run says half as much about its worker as at best.
const HALF_TRUST_SAMPLES: f64 = 2.0;

/// What the scheduler learned from runs.
#[derive(Debug, Default)]
pub(crate) struct Learned {
    /// Run times by class.
    pub run_times: RunTimes,
    /// Failure domains in which most workers are slow.
    pub slow_domains: SlowDomains,
    /// Whether most workers are slow. Then it is the tasks that take longer than before.
    pub are_most_slow: bool,
    /// Newest time that was passed to the scheduler, in milliseconds.
    pub now_ms: u64,
    /// When speeds were last refreshed and slow workers searched for tasks to move, in milliseconds.
    pub refreshed_ms: u64,
    /// Tasks that are being moved away from slow workers.
    pub moving: Vec<TaskKey>,
}

/// What was learned, as numbers for metrics.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct LearnedView {
    /// Number of classes of tasks with evidence on their run times.
    pub classes: usize,
    /// Mean errors of estimated and of declared run times.
    pub errors: EstimateErrors,
    /// Number of workers that are slow.
    pub slow_workers: usize,
}

/// Begin of the part of a run whose progress is measured.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ProgressPart {
    /// Number of the run.
    pub run: u32,
    /// Clock of the worker at the begin, in milliseconds.
    pub from_clock_ms: u64,
    /// When the report that showed the begin arrived, in milliseconds.
    pub from_ms: u64,
    /// Progress at the begin, in percent.
    pub from_percent: u32,
}

impl Scheduler {
    /// Learned run times as JSON of at most `max_bytes`, or `None` if they have not changed since the last
    /// call.
    pub fn take_run_times(&mut self, wall_ms: u64, max_bytes: usize) -> Option<String> {
        let times = &mut self.learned.run_times;
        times
            .take_changed()
            .then(|| times.to_json(wall_ms, max_bytes))
    }

    /// Sets the run times that a former scheduler learned.
    pub fn set_run_times(&mut self, run_times: RunTimes) {
        self.learned.run_times = run_times;
    }

    /// What was learned, for metrics.
    ///
    /// ```
    /// assert_eq!(flow::Scheduler::default().learned().classes, 0);
    /// ```
    pub fn learned(&self) -> LearnedView {
        let times = &self.learned.run_times;
        let workers = self.fleet.workers.values();
        let slow = workers.filter(|view| view.speed.slow_speed().is_some());
        LearnedView {
            classes: times.count_classes(),
            errors: times.errors(),
            slow_workers: slow.count(),
        }
    }

    /// Estimated run time of a task of a step on a worker of normal speed.
    pub(crate) fn estimate(&self, state: &FlowState, step: u32, spec: &StepSpec) -> Estimate {
        let steps = state.occurrences.iter().rev().take(MAX_OCCURRENCES);
        let mut steps = steps.filter_map(|occurrence| occurrence.steps.get(step as usize));
        let siblings = steps.find_map(|step| step.siblings.as_deref());
        let queue = queue_name(state);
        let class = class_of(&queue, spec, step);
        let times = &self.learned.run_times;
        times.estimate_with(self.learned.now_ms, class, spec.estimate_ms, siblings)
    }

    /// Learns from the end of a run, before it is applied. Nothing is learned from a run that is not the
    /// placed one.
    pub(crate) fn learn_from_end(&mut self, now_ms: u64, agent: &AgentId, end: &EndedRun) {
        if !self.policies.learned_run_times || !self.is_report_prompt(now_ms, agent) {
            return;
        }
        self.learned.now_ms = self.learned.now_ms.max(now_ms);
        let key = &end.task;
        let Some(state) = self.flows.get(&key.job) else {
            return;
        };
        let (Some(spec), Some(task)) = (state.step_spec(key.step).cloned(), state.task(key)) else {
            return;
        };
        let placement = task.placement.as_ref();
        let Some(placement) = placement.filter(|placement| placement.agent == *agent) else {
            return;
        };
        if task.run != end.run || task.done || spec.long_running {
            return;
        }
        let queue = queue_name(state);
        match end.outcome {
            RunEnd::Done => {
                let is_fresh = is_fresh(&spec, end.run, placement);
                let placement = placement.clone();
                self.learn_speed(now_ms, agent, key, &placement, 100);
                if is_fresh {
                    self.learn_run_time(now_ms, agent, key, &placement, &queue);
                }
            }
            RunEnd::Failed => {
                let class = class_of(&queue, &spec, key.step);
                self.learned.run_times.observe_failure(now_ms, class);
            }
            RunEnd::Stopped | RunEnd::Lapsed | RunEnd::Broken | RunEnd::Alone => {}
        }
    }

    /// Learns the run time of a run that did all of its task's work and ends now.
    fn learn_run_time(
        &mut self,
        now_ms: u64,
        agent: &AgentId,
        key: &TaskKey,
        placement: &Placement,
        queue: &str,
    ) {
        let RunStage::Running { since_ms } = placement.stage else {
            return;
        };
        let Some(view) = self.fleet.workers.get(agent) else {
            return;
        };
        let Some(spec) = self.step_spec(key).cloned() else {
            return;
        };
        let is_measured = is_at_full_pace(&spec, placement, 0) && has_processors_for(&spec, view);
        let Some(factor) = self.place_factor(view, &spec).filter(|_| is_measured) else {
            return;
        };
        let spent_ms = now_ms.saturating_sub(since_ms) as f64;
        let speed = match self.learned.are_most_slow {
            true => 1.0,
            false => self.speed_of(view),
        };
        let run_ms = (spent_ms * speed / factor) as u64;
        let class = class_of(queue, &spec, key.step);
        let times = &mut self.learned.run_times;
        times.observe(now_ms, class, spec.estimate_ms, run_ms);
        let state = self.flows.get_mut(&key.job);
        if let Some(step) = state.and_then(|state| state.step_mut(key)) {
            let siblings = step.siblings.get_or_insert_with(Box::<Siblings>::default);
            siblings.observe(run_ms);
        }
    }

    /// Learns the speed of a worker from the progress that it reports.
    pub(crate) fn learn_from_progress(
        &mut self,
        now_ms: u64,
        agent: &AgentId,
        running: &Map<&TaskKey, &RunningTask>,
    ) {
        if !self.policies.learned_run_times || !self.is_report_prompt(now_ms, agent) {
            return;
        }
        self.learned.now_ms = self.learned.now_ms.max(now_ms);
        let view = self.worker_mut(agent);
        let allocations = &view.allocations;
        view.parts.retain(|key, _| allocations.contains_key(key));
        let keys: Vec<TaskKey> = view.allocations.keys().cloned().collect();
        for key in keys {
            let Some(found) = running.get(&key) else {
                continue;
            };
            let task = self.task(&key).filter(|task| task.run == found.run);
            let Some(placement) = task.and_then(|task| task.placement.clone()) else {
                continue;
            };
            if placement.agent == *agent && matches!(placement.stage, RunStage::Running { .. }) {
                self.learn_speed(now_ms, agent, &key, &placement, found.percent);
            }
        }
    }

    /// Learns the speed of a worker from the part of a run that ends now with a progress of `percent`.
    fn learn_speed(
        &mut self,
        now_ms: u64,
        agent: &AgentId,
        key: &TaskKey,
        placement: &Placement,
        percent: u32,
    ) {
        let Some((part, next)) = self.part_of_run(now_ms, agent, key, placement, percent) else {
            return;
        };
        let Some(part) = part else {
            self.worker_mut(agent).parts.insert(key.clone(), next);
            return;
        };
        let Some(sample) = self.speed_sample(agent, key, part, next) else {
            return;
        };
        let has_processors = self.step_spec(key).zip(self.worker(agent));
        let has_processors =
            has_processors.is_some_and(|(spec, view)| has_processors_for(spec, view));
        let view = self.worker_mut(agent);
        let is_over = sample.spent_ms >= MAX_PART_MS as f64;
        if is_over && percent >= part.from_percent + MIN_PART_PERCENT {
            view.parts.insert(key.clone(), next);
        }
        if !has_processors {
            return;
        }
        if let Some(change) = view.speed.observe(now_ms, sample) {
            self.effects
                .push(Effect::SpeedChanged(agent.clone(), change));
        }
    }

    /// The part of a run that is measured, if its progress has been a measure since its begin, and the one that begins
    /// now. `None` if the run says nothing about its worker.
    fn part_of_run(
        &self,
        now_ms: u64,
        agent: &AgentId,
        key: &TaskKey,
        placement: &Placement,
        percent: u32,
    ) -> Option<(Option<ProgressPart>, ProgressPart)> {
        let view = self.worker(agent)?;
        let (spec, run) = (self.step_spec(key)?, self.task(key)?.run);
        let clock_ms = view.clock?.clock_ms;
        if spec.long_running || spec.gang {
            return None;
        }
        let known = view.parts.get(key).copied();
        let known = known.filter(|part| part.run == run);
        let part = known.or_else(|| part_from_start(now_ms, spec, run, placement, clock_ms));
        let part = part.filter(|part| is_at_full_pace(spec, placement, part.from_ms));
        let next = ProgressPart {
            run,
            from_clock_ms: clock_ms,
            from_ms: now_ms,
            from_percent: percent,
        };
        Some((part, next))
    }

    /// What a part of a run says about the speed of its worker; `None` while the part is too short.
    fn speed_sample(
        &self,
        agent: &AgentId,
        key: &TaskKey,
        part: ProgressPart,
        next: ProgressPart,
    ) -> Option<RunSample> {
        let state = self.flows.get(&key.job)?;
        let spec = state.step_spec(key.step)?;
        let spent_ms = next.from_clock_ms.saturating_sub(part.from_clock_ms);
        let gained = next.from_percent.saturating_sub(part.from_percent);
        let is_long = spent_ms >= spec.estimate_ms.max(MAX_PART_MS);
        if spent_ms < MIN_PART_MS || (gained < MIN_PART_PERCENT && !is_long) {
            return None;
        }
        let factor = self.place_factor(self.worker(agent)?, spec)?;
        let estimate = self.estimate(state, key.step, spec);
        // Reports state whole percents, rounded down.
        let share = (f64::from(gained) + 0.5) / 100.0;
        Some(RunSample {
            job: hash64(key.job.as_str()),
            run: hash64(&key.to_string()),
            expected_ms: estimate.median_ms as f64 * share * factor,
            spent_ms: spent_ms as f64,
            weight: estimate.samples / (estimate.samples + HALF_TRUST_SAMPLES),
        })
    }

    /// Factor by which a task takes longer on a worker for its rack; `None` if that is not known.
    fn place_factor(&self, view: &WorkerView, spec: &StepSpec) -> Option<f64> {
        match view.is_near(spec) {
            true => Some(1.0),
            false => self.policies.remote_factor,
        }
    }

    /// Whether the report that is being applied arrived soon enough to measure times by it.
    fn is_report_prompt(&self, now_ms: u64, agent: &AgentId) -> bool {
        let view = self.worker(agent);
        view.is_some_and(|view| now_ms <= view.report_requested_ms + MAX_REPORT_DELAY_MS)
    }
}

/// The part of a run since its start; `None` if it is not known what was done before.
fn part_from_start(
    now_ms: u64,
    spec: &StepSpec,
    run: u32,
    placement: &Placement,
    clock_ms: u64,
) -> Option<ProgressPart> {
    let RunStage::Running { since_ms } = placement.stage else {
        return None;
    };
    is_fresh(spec, run, placement).then(|| ProgressPart {
        run,
        from_clock_ms: clock_ms.saturating_sub(now_ms.saturating_sub(since_ms)),
        from_ms: since_ms,
        from_percent: 0,
    })
}

/// Whether a run does all of its task's work, and the scheduler knows when it started.
fn is_fresh(spec: &StepSpec, run: u32, placement: &Placement) -> bool {
    (run == 1 || !spec.saves_progress) && placement.revision > 0
}

/// Whether a run has worked at its full pace since a time; fillers may be slowed down.
fn is_at_full_pace(spec: &StepSpec, placement: &Placement, from_ms: u64) -> bool {
    let changed_ms = placement.pace_changed_ms;
    let is_settled = changed_ms == 0 || from_ms >= changed_ms + PACE_SETTLE_MS;
    !spec.filler || (placement.is_pace_known && placement.pace == FULL_PACE_PERCENT && is_settled)
}

/// Whether a run has the processors that it needs. Fillers share what is left.
fn has_processors_for(spec: &StepSpec, view: &WorkerView) -> bool {
    let capacity = view.info.as_ref().map(|info| info.capacity);
    let is_spare = |milli| view.spare_milli(milli) >= 0;
    !spec.filler || capacity.is_some_and(|capacity| is_spare(capacity.processors_milli))
}

/// Queue of a flow as one text.
fn queue_name(state: &FlowState) -> String {
    state.job.queue.to_string()
}

fn class_of<'a>(queue: &'a str, spec: &'a StepSpec, step: u32) -> TaskClass<'a> {
    TaskClass {
        queue,
        image: spec.image.as_deref(),
        step,
    }
}
