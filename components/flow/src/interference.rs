//! Keeps fillers from disturbing the latency-critical tasks on their worker: learns which pairs of
//! images interfere, moves such fillers to other workers, and throttles them when there is none.

use crate::candidate::Candidate;
use crate::progress::READY_PERCENT;
use crate::scheduler::run_ref;
use crate::view::Allocation;
use crate::{
    DecisionKind, Effect, InterferenceVerdict, RunStage, RunningTask, Scheduler, TaskKey,
    VerdictChange,
};
use model::{AgentId, ServiceName};
use utils::Map;

/// Latency, as a share of its target in percent, from which the worker's fillers are throttled.
const THROTTLE_PERCENT: u32 = 100;
/// Worst latency, as a share of its target in percent, below which a filler's pace is raised a
/// step.
const UNTHROTTLE_PERCENT: u32 = 75;
/// Time over a target after which the pace of fillers is set to 0 at once, in milliseconds.
const HALT_AFTER_MS: u64 = 1_500;
/// Time between two changes of a filler's pace, in milliseconds. Reported latencies are averages
/// over half a second, so earlier ones do not show the effect of the last change.
const SETTLE_MS: u64 = 500;
/// Percentages of the full pace at which a filler works, in rising order. It starts at 100.
const PACE_STEPS_PERCENT: [u32; 4] = [0, 25, 50, 100];
/// Processors in use from which a filler counts as active, in thousandths.
const ACTIVE_MILLI: u32 = 1_000;
/// Time at its present pace from which a filler may be blamed for a rise in latency, in
/// milliseconds.
const MIN_BLAME_AGE_MS: u64 = 150;
/// Time at full pace from which a steady latency is evidence for a filler, in milliseconds.
const MIN_EVIDENCE_AGE_MS: u64 = 900;
/// Multiple of the base latency from which a latency counts as raised, in percent.
const RAISED_PERCENT: u32 = 170;
/// Multiple of the last latency from which a latency counts as rising, in percent.
const RISING_PERCENT: u32 = 120;
/// Share of its target below which a latency never counts as raised, in percent.
const HARMLESS_PERCENT: u32 = 50;
/// Base latency assumed before the first measurement, as a share of the target in percent.
const INITIAL_BASE_PERCENT: u32 = 35;
/// Progress up to which a filler without checkpoints may be moved, in percent; the move loses it.
const MAX_LOST_PROGRESS_PERCENT: u32 = 30;

/// Latency of a latency-critical task over time.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LatencyTrace {
    /// Running average of the latency that fillers do not raise, in milliseconds.
    pub base_ms: u32,
    /// Last reported latency, in milliseconds.
    pub last_ms: u32,
}

/// A latency-critical task with its last measurement.
struct CriticalTask {
    /// The task.
    key: TaskKey,
    /// Image that it runs; empty if the caller stated none.
    image: String,
    /// Target of its tail latency, in milliseconds.
    target_ms: u32,
    /// Reported tail latency, in milliseconds.
    latency_ms: u32,
}

/// A filler that uses at least [`ACTIVE_MILLI`].
struct ActiveFiller {
    /// Image that it runs; empty if the caller stated none.
    image: String,
    /// Time since its placement or the last change of its pace, in milliseconds.
    age_ms: u64,
    /// Whether its pace is the greatest one.
    is_full: bool,
}

/// Next pace of a filler: one step down while a target is missed, 0 once it has been missed for
/// [`HALT_AFTER_MS`], and one step up while all latencies are well within their targets.
fn next_pace(pace: u32, worst_percent: u32, over_target_ms: u64) -> u32 {
    let index = PACE_STEPS_PERCENT
        .iter()
        .position(|step| *step >= pace)
        .unwrap_or(0);
    if worst_percent >= THROTTLE_PERCENT && over_target_ms >= HALT_AFTER_MS {
        PACE_STEPS_PERCENT[0]
    } else if worst_percent >= THROTTLE_PERCENT {
        PACE_STEPS_PERCENT[index.saturating_sub(1)]
    } else if worst_percent < UNTHROTTLE_PERCENT {
        PACE_STEPS_PERCENT[(index + 1).min(PACE_STEPS_PERCENT.len() - 1)]
    } else {
        pace
    }
}

fn image_of(allocation: &Allocation) -> String {
    allocation.image.clone().unwrap_or_default()
}

impl Scheduler {
    /// Updates the evidence about pairs from a worker's report, then moves or throttles its
    /// fillers.
    ///
    /// While a target is missed, fillers that are known to be harmless to every task over its
    /// target keep their pace as long as another filler is suspect and the miss is short.
    pub(crate) fn limit_interference(
        &mut self,
        now_ms: u64,
        agent: &AgentId,
        running: &Map<&TaskKey, &RunningTask>,
    ) {
        let critical = self.critical_tasks(agent, running);
        let fillers = self.fillers(agent, running);
        let latency_percent =
            |task: &CriticalTask| task.latency_ms.saturating_mul(100) / task.target_ms.max(1);
        let worst_percent = critical.iter().map(latency_percent).max().unwrap_or(0);
        let over_target_ms = self.update_time_over_target(now_ms, agent, worst_percent);
        self.learn_pairs(now_ms, agent, &critical, running);
        let over_target = |task: &&CriticalTask| latency_percent(task) >= THROTTLE_PERCENT;
        let over_target: Vec<&CriticalTask> = critical.iter().filter(over_target).collect();
        let is_harmless = |key: &TaskKey| self.is_harmless(key, &over_target);
        let harmless: Vec<bool> = fillers.iter().map(is_harmless).collect();
        let has_suspects = harmless.contains(&false);
        let has_disturbing = fillers.iter().any(|key| self.is_disturbing(key, &critical));
        let candidates = if has_disturbing {
            self.candidates(now_ms)
        } else {
            Vec::new()
        };
        for (key, is_harmless) in fillers.iter().zip(harmless) {
            if self.is_disturbing(key, &critical)
                && self.move_filler(now_ms, agent, key, &candidates)
            {
                continue;
            }
            let is_exempt = !over_target.is_empty()
                && is_harmless
                && has_suspects
                && over_target_ms < HALT_AFTER_MS;
            if !is_exempt {
                self.adjust_pace(now_ms, key, worst_percent, over_target_ms);
            }
        }
    }

    /// Image of a task; empty if the caller stated none.
    fn image(&self, key: &TaskKey) -> &str {
        let image = self.step_spec(key).and_then(|spec| spec.image.as_deref());
        image.unwrap_or_default()
    }

    /// Whether a filler is known to be harmless to all of these tasks.
    fn is_harmless(&self, key: &TaskKey, tasks: &[&CriticalTask]) -> bool {
        let image = self.image(key);
        let is_good = |task: &&CriticalTask| {
            self.interference_stats.verdict(image, &task.image) == InterferenceVerdict::Good
        };
        tasks.iter().all(is_good)
    }

    /// Latency-critical tasks that a worker runs and that are ready.
    fn critical_tasks(
        &self,
        agent: &AgentId,
        running: &Map<&TaskKey, &RunningTask>,
    ) -> Vec<CriticalTask> {
        let allocations = self
            .worker(agent)
            .into_iter()
            .flat_map(|view| &view.allocations);
        allocations
            .filter_map(|(key, allocation)| {
                let target_ms = allocation.latency_target_ms?;
                let run = running
                    .get(key)
                    .filter(|run| run.percent >= READY_PERCENT)?;
                Some(CriticalTask {
                    key: key.clone(),
                    image: image_of(allocation),
                    target_ms,
                    latency_ms: run.load,
                })
            })
            .collect()
    }

    /// Fillers that are placed on a worker and that it runs.
    fn fillers(&self, agent: &AgentId, running: &Map<&TaskKey, &RunningTask>) -> Vec<TaskKey> {
        let allocations = self
            .worker(agent)
            .into_iter()
            .flat_map(|view| &view.allocations);
        allocations
            .filter(|(key, allocation)| allocation.filler && running.contains_key(key))
            .map(|(key, _)| key.clone())
            .collect()
    }

    /// Fillers on a worker that use at least [`ACTIVE_MILLI`] processors.
    fn active_fillers(
        &self,
        now_ms: u64,
        agent: &AgentId,
        running: &Map<&TaskKey, &RunningTask>,
    ) -> Vec<ActiveFiller> {
        let allocations = self
            .worker(agent)
            .into_iter()
            .flat_map(|view| &view.allocations);
        allocations
            .filter(|(_, allocation)| allocation.filler)
            .filter(|(key, _)| {
                let run = running.get(key);
                run.is_some_and(|run| run.load >= ACTIVE_MILLI)
            })
            .map(|(key, allocation)| {
                let placement = self.placement(key);
                let pace_changed_ms = placement.map_or(0, |placement| placement.pace_changed_ms);
                let pace = placement.map_or(0, |placement| placement.pace);
                ActiveFiller {
                    image: image_of(allocation),
                    age_ms: now_ms.saturating_sub(allocation.since_ms.max(pace_changed_ms)),
                    is_full: pace == PACE_STEPS_PERCENT[PACE_STEPS_PERCENT.len() - 1],
                }
            })
            .collect()
    }

    /// Adds evidence about the pairs on a worker, updates its latency traces, and emits an effect
    /// for each verdict that changed.
    fn learn_pairs(
        &mut self,
        now_ms: u64,
        agent: &AgentId,
        critical: &[CriticalTask],
        running: &Map<&TaskKey, &RunningTask>,
    ) {
        let active = self.active_fillers(now_ms, agent, running);
        let suspects: Vec<&str> = active
            .iter()
            .filter(|filler| filler.age_ms >= MIN_BLAME_AGE_MS)
            .map(|filler| filler.image.as_str())
            .collect();
        for task in critical.iter().filter(|task| task.latency_ms > 0) {
            let first = LatencyTrace {
                base_ms: task.target_ms * INITIAL_BASE_PERCENT / 100,
                last_ms: task.latency_ms,
            };
            let view = self.fleet.workers.entry(agent.clone()).or_default();
            let trace = view.latencies.entry(task.key.clone()).or_insert(first);
            let (base_ms, last_ms) = (trace.base_ms, trace.last_ms);
            trace.last_ms = task.latency_ms;
            if active.is_empty() {
                trace.base_ms = (base_ms + task.latency_ms) / 2;
                continue;
            }
            let is_raised = task.latency_ms * 100 >= base_ms * RAISED_PERCENT
                && task.latency_ms * 100 >= task.target_ms * HARMLESS_PERCENT;
            let is_rising = task.latency_ms * 100 >= last_ms * RISING_PERCENT;
            if is_raised && is_rising && !suspects.is_empty() {
                self.interference_stats
                    .record_latency_rise(&suspects, &task.image);
            } else if !is_raised {
                trace.base_ms = (base_ms * 9 + task.latency_ms) / 10;
                let credited = active
                    .iter()
                    .filter(|filler| filler.is_full && filler.age_ms >= MIN_EVIDENCE_AGE_MS);
                for filler in credited {
                    self.interference_stats
                        .record_steady_latency(&filler.image, &task.image);
                }
            }
        }
        let view = self.fleet.workers.entry(agent.clone()).or_default();
        let allocations = &view.allocations;
        view.latencies
            .retain(|key, _| allocations.contains_key(key));
        for (filler, critical, verdict) in self.interference_stats.take_verdicts() {
            self.effects.push(Effect::VerdictChanged(VerdictChange {
                agent: agent.clone(),
                filler,
                critical,
                verdict,
            }));
        }
    }

    /// Whether a filler is known to disturb one of these tasks.
    fn is_disturbing(&self, key: &TaskKey, critical: &[CriticalTask]) -> bool {
        let image = self.image(key);
        let is_bad = |task: &CriticalTask| {
            self.interference_stats.verdict(image, &task.image) == InterferenceVerdict::Bad
        };
        critical.iter().any(is_bad)
    }

    /// Stops a filler so that it is placed elsewhere, if the move costs little progress and another
    /// worker can take it without known interference. Returns whether the stop was ordered.
    fn move_filler(
        &mut self,
        now_ms: u64,
        agent: &AgentId,
        key: &TaskKey,
        candidates: &[(ServiceName, Candidate)],
    ) -> bool {
        let Some(state) = self.flows.get(&key.job) else {
            return false;
        };
        let (Some(spec), Some(task)) = (state.step_spec(key.step), state.task(key)) else {
            return false;
        };
        let Some(placement) = task.placement.clone() else {
            return false;
        };
        let is_cheap = spec.saves_progress || placement.percent <= MAX_LOST_PROGRESS_PERCENT;
        let is_running = matches!(placement.stage, RunStage::Running { .. });
        if !is_cheap || !is_running || !self.has_undisturbed_candidate(agent, key, candidates) {
            return false;
        }
        let run = task.run;
        let detail = format!(
            "disturbs latency-critical tasks; progress {}%",
            placement.percent
        );
        self.log_decision(DecisionKind::Moved, key, run, agent, detail);
        self.stop_run(now_ms, key, run, &placement);
        true
    }

    /// Throttles a filler that has just started on a worker with a task that it is known to
    /// disturb.
    pub(crate) fn throttle_new_filler(&mut self, now_ms: u64, key: &TaskKey) {
        let Some(state) = self.flows.get(&key.job) else {
            return;
        };
        let is_filler = state.step_spec(key.step).is_some_and(|spec| spec.filler);
        let agent = state
            .task(key)
            .and_then(|task| Some(task.placement.as_ref()?.agent.clone()));
        let Some(agent) = agent.filter(|_| is_filler) else {
            return;
        };
        let allocations = self
            .worker(&agent)
            .into_iter()
            .flat_map(|view| &view.allocations);
        let critical: Vec<CriticalTask> = allocations
            .filter_map(|(key, allocation)| {
                Some(CriticalTask {
                    key: key.clone(),
                    image: image_of(allocation),
                    target_ms: allocation.latency_target_ms?,
                    latency_ms: 0,
                })
            })
            .collect();
        if self.is_disturbing(key, &critical) {
            self.set_pace(now_ms, key, PACE_STEPS_PERCENT[1]);
        }
    }

    /// Records a new pace for a placed run and orders it.
    fn set_pace(&mut self, now_ms: u64, key: &TaskKey, pace: u32) {
        let task = self.task_mut(key);
        let Some(task) = task else {
            return;
        };
        let run = task.run;
        if let Some(placement) = task.placement.as_mut() {
            placement.pace = pace;
            placement.pace_changed_ms = now_ms;
            let run = run_ref(key, run, placement);
            self.effects.push(Effect::Pace(run, pace));
        }
    }

    /// Records the worst latency of a worker; returns how long a target has been missed on it, in
    /// milliseconds.
    fn update_time_over_target(&mut self, now_ms: u64, agent: &AgentId, worst_percent: u32) -> u64 {
        let view = self.worker_mut(agent);
        view.worst_latency_percent = worst_percent;
        if worst_percent < THROTTLE_PERCENT {
            view.over_target_since_ms = None;
            return 0;
        }
        let since_ms = *view.over_target_since_ms.get_or_insert(now_ms);
        now_ms.saturating_sub(since_ms)
    }

    /// Orders the next pace of a running filler, unless its last change is too recent to show an
    /// effect. A halt does not wait for that.
    fn adjust_pace(&mut self, now_ms: u64, key: &TaskKey, worst_percent: u32, over_target_ms: u64) {
        let task = self.task_mut(key);
        let Some(placement) = task.and_then(|task| task.placement.as_mut()) else {
            return;
        };
        if !matches!(placement.stage, RunStage::Running { .. }) {
            return;
        }
        let next = next_pace(placement.pace, worst_percent, over_target_ms);
        let is_settled = now_ms >= placement.pace_changed_ms + SETTLE_MS;
        let is_halt = next == PACE_STEPS_PERCENT[0] && over_target_ms >= HALT_AFTER_MS;
        if next == placement.pace || !(is_settled || is_halt) {
            return;
        }
        self.set_pace(now_ms, key, next);
    }
}
