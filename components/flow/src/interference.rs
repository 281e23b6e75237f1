//! Learns from each report how fillers disturb latency-critical tasks.

use crate::progress::READY_PERCENT;
use crate::slack::image_of;
use crate::{Effect, RunningTask, Scheduler, TaskKey};
use interference::{ActiveFiller, ImageId, MarginTrend, PressureModel};
use model::AgentId;
use utils::Map;

/// Latency, as a share of its target in percent, from which a target counts as missed.
const OVER_TARGET_PERCENT: u32 = 100;
/// Least time between two samples of one task, in milliseconds. A report covers half a second.
const SAMPLE_INTERVAL_MS: u64 = 350;
/// Time after the end of a filler in which reported latencies still show its influence, in
/// milliseconds.
const AFTEREFFECT_MS: u64 = 500;
/// Weight of a sample of the undisturbed margin while a filler's influence fades.
const FADING_WEIGHT: f64 = 0.3;
/// Influence of fillers on a margin at which a sample of the undisturbed margin has half its weight.
const HALF_WEIGHT_LOSS: f64 = 0.3;
/// Greatest margin that is learned from; it is beyond any need.
const MAX_MARGIN: f64 = 20.0;
/// Least expected influence of fillers from which a task's own deviation from it is learned.
const MIN_COMPARED_LOSS: f64 = 0.1;
/// Weight of the newest sample in a task's deviation.
const DEVIATION_WEIGHT: f64 = 0.4;
/// Least factor by which a task may deviate from its image.
const MIN_DEVIATION: f64 = 0.7;
/// Greatest such factor.
const MAX_DEVIATION: f64 = 4.0;

/// What is known about one latency-critical task's latency.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct LatencyTrace {
    /// When the last sample was taken, in milliseconds.
    pub sampled_ms: u64,
    /// Factor by which the influence of fillers on this task differs from the image's.
    pub deviation: f64,
}

impl Default for LatencyTrace {
    fn default() -> Self {
        Self {
            sampled_ms: 0,
            deviation: 1.0,
        }
    }
}

/// A latency-critical task with its last measurement.
struct CriticalTask {
    /// The task.
    key: TaskKey,
    /// Image that it runs.
    image: ImageId,
    /// Target of its tail latency, in milliseconds.
    target_ms: u32,
    /// Reported tail latency, in milliseconds; 0 before the first.
    latency_ms: u32,
}

impl CriticalTask {
    /// Target divided by the latency.
    fn margin(&self) -> f64 {
        let margin = f64::from(self.target_ms) / f64::from(self.latency_ms.max(1));
        margin.min(MAX_MARGIN)
    }

    fn latency_percent(&self) -> u32 {
        self.latency_ms.saturating_mul(100) / self.target_ms.max(1)
    }
}

impl Scheduler {
    /// Learned pressures of pairs as JSON, or `None` if they have not changed since the last call.
    pub fn take_learned(&mut self) -> Option<String> {
        self.pressures
            .take_changed()
            .then(|| self.pressures.to_json())
    }

    /// Sets the pressures of pairs that a former scheduler learned.
    pub fn set_learned(&mut self, pressures: PressureModel) {
        self.pressures = pressures;
    }

    /// Learns from a worker's report, then sets the paces of its fillers.
    pub(crate) fn limit_interference(
        &mut self,
        now_ms: u64,
        agent: &AgentId,
        running: &Map<&TaskKey, &RunningTask>,
    ) {
        let critical = self.critical_tasks(agent, running);
        let latencies = critical.iter().map(CriticalTask::latency_percent);
        let worst_percent = latencies.max().unwrap_or(0);
        self.update_time_over_target(now_ms, agent, worst_percent);
        self.learn(now_ms, agent, &critical, running);
        self.set_paces(now_ms, agent);
    }

    /// Latency-critical tasks that a worker runs and that are ready.
    fn critical_tasks(
        &mut self,
        agent: &AgentId,
        running: &Map<&TaskKey, &RunningTask>,
    ) -> Vec<CriticalTask> {
        let view = self.fleet.workers.get(agent);
        let allocations = view.into_iter().flat_map(|view| &view.allocations);
        let model = &mut self.pressures;
        allocations
            .filter_map(|(key, allocation)| {
                let target_ms = allocation.latency_target_ms?;
                let run = running
                    .get(key)
                    .filter(|run| run.percent >= READY_PERCENT)?;
                Some(CriticalTask {
                    key: key.clone(),
                    image: model.critical(image_of(allocation)),
                    target_ms,
                    latency_ms: run.load,
                })
            })
            .collect()
    }

    /// Fillers that a worker runs, with the processors that they used lately.
    fn active_fillers(
        &mut self,
        agent: &AgentId,
        running: &Map<&TaskKey, &RunningTask>,
    ) -> Vec<ActiveFiller> {
        let Some(view) = self.fleet.workers.get(agent) else {
            return Vec::new();
        };
        let fillers = view.allocations.iter();
        let fillers = fillers.filter(|(_, allocation)| allocation.filler);
        let model = &mut self.pressures;
        fillers
            .filter_map(|(key, allocation)| {
                let run = running.get(key).filter(|run| run.load > 0)?;
                Some(ActiveFiller {
                    image: model.filler(image_of(allocation)),
                    processor_share: view.processor_share(run.load),
                })
            })
            .collect()
    }

    /// Updates the margins without fillers and the pressures of pairs from a report.
    fn learn(
        &mut self,
        now_ms: u64,
        agent: &AgentId,
        critical: &[CriticalTask],
        running: &Map<&TaskKey, &RunningTask>,
    ) {
        let active = self.active_fillers(agent, running);
        let view = self.worker_mut(agent);
        let is_fading = now_ms < view.filler_ended_ms + AFTEREFFECT_MS;
        let allocations = &view.allocations;
        view.latencies
            .retain(|key, _| allocations.contains_key(key));
        for task in critical.iter().filter(|task| task.latency_ms > 0) {
            let view = self.worker_mut(agent);
            let trace = view.latencies.entry(task.key.clone()).or_default();
            if now_ms < trace.sampled_ms + SAMPLE_INTERVAL_MS {
                continue;
            }
            trace.sampled_ms = now_ms;
            let margin = task.margin();
            let loss = self.pressures.loss(task.image, &active);
            let undisturbed =
                self.observe_margin(now_ms, &task.key, margin + loss, loss, is_fading);
            if is_fading {
                continue;
            }
            let is_expected = loss >= MIN_COMPARED_LOSS;
            let ratio = if is_expected {
                (undisturbed - margin) / loss
            } else {
                1.0
            };
            let view = self.worker_mut(agent);
            let trace = view.latencies.entry(task.key.clone()).or_default();
            let deviation = trace.deviation + (ratio - trace.deviation) * DEVIATION_WEIGHT;
            trace.deviation = deviation.clamp(MIN_DEVIATION, MAX_DEVIATION);
            self.pressures
                .observe(now_ms, task.image, &active, undisturbed, margin);
        }
        for change in self.pressures.take_changes() {
            self.effects
                .push(Effect::PressureLearned(agent.clone(), change));
        }
    }

    /// Adds a sample of the margin that a step's tasks have without fillers. Returns the margin that was
    /// expected before it, or the sample if it is the first.
    fn observe_margin(
        &mut self,
        now_ms: u64,
        key: &TaskKey,
        sample: f64,
        loss: f64,
        is_fading: bool,
    ) -> f64 {
        let step = self
            .flows
            .get_mut(&key.job)
            .and_then(|state| state.step_mut(key));
        let Some(step) = step else {
            return sample;
        };
        let trend = step
            .margin
            .get_or_insert_with(|| MarginTrend::new(now_ms, sample));
        let expected = trend.predict(now_ms);
        let fading = if is_fading { FADING_WEIGHT } else { 1.0 };
        let weight = fading / (1.0 + (loss / HALF_WEIGHT_LOSS).powi(2));
        trend.observe(now_ms, sample, weight);
        expected
    }

    /// Records since when a target has been missed on a worker, by its worst latency.
    fn update_time_over_target(&mut self, now_ms: u64, agent: &AgentId, worst_percent: u32) {
        let view = self.worker_mut(agent);
        if worst_percent < OVER_TARGET_PERCENT {
            view.over_target_since_ms = None;
        } else {
            view.over_target_since_ms.get_or_insert(now_ms);
        }
    }
}
