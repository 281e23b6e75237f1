//! What the model workers do within one step of the simulation.

use super::noisy::{RunningFiller, approach};
use super::{Mode, STEP_MS, Sim};
use flow::{RunEnd, StepSpec, TaskKey};
use model::AgentId;

/// Latency of a latency-critical task without interference, in milliseconds.
const BASE_LATENCY_MS: u32 = 15;

impl Sim {
    pub(super) fn advance(&mut self) {
        let agents: Vec<AgentId> = self.workers.keys().cloned().collect();
        for agent in agents {
            let worker = self.workers.get_mut(&agent).unwrap();
            worker.expire_lease(self.now_ms);
            let keys: Vec<TaskKey> = self.workers[&agent].running.keys().cloned().collect();
            let fillers: Vec<RunningFiller> = keys
                .iter()
                .map(|key| (key, self.spec(key)))
                .filter(|(_, spec)| spec.filler)
                .map(|(key, spec)| RunningFiller {
                    image: spec.image.unwrap_or_default(),
                    pace: self.workers[&agent].running[key].pace,
                    processors_milli: spec.need.processors_milli,
                })
                .collect();
            self.count_filler_work(&fillers);
            for key in keys {
                let spec = self.spec(&key);
                let image = spec.image.clone().unwrap_or_default();
                if let Some(target_ms) = spec.latency_target_ms {
                    self.update_latency(&agent, &key, &image, target_ms, &fillers);
                }
                let run_ms = *self
                    .run_ms
                    .get(&image)
                    .unwrap_or(&spec.estimate_ms.max(100));
                let slowness = self.slow_workers.get(&agent).copied().unwrap_or(1);
                let slowness = slowness * self.slow_tasks.get(&key).copied().unwrap_or(1);
                let rack = self.workers[&agent].labels.get(1);
                let is_remote = spec.data_rack.is_some() && spec.data_rack.as_ref() != rack;
                let factor = if is_remote { self.remote_factor } else { 1.0 };
                let run_ms = ((run_ms * slowness) as f64 * factor) as u64;
                self.advance_run(&agent, &key, &spec, run_ms);
            }
        }
    }

    /// Updates the latency of a latency-critical task by the fillers on its worker.
    pub(super) fn update_latency(
        &mut self,
        agent: &AgentId,
        key: &TaskKey,
        image: &str,
        target_ms: u32,
        fillers: &[RunningFiller],
    ) {
        let pressure: u32 = fillers
            .iter()
            .filter(|filler| {
                let pair = (filler.image.clone(), image.to_owned());
                self.disturbs.contains(&pair)
            })
            .map(|filler| filler.pace)
            .sum();
        let settled_ms = f64::from(BASE_LATENCY_MS) * (1.0 + f64::from(pressure) / 20.0);
        let settled_ms = self
            .settled_under_load_ms(agent, image, target_ms, fillers)
            .unwrap_or(settled_ms);
        let worker = self.workers.get_mut(agent).unwrap();
        let latency = worker
            .latency_ms
            .entry(key.clone())
            .or_insert(f64::from(BASE_LATENCY_MS));
        *latency = approach(*latency, settled_ms);
        let latency_ms = *latency;
        self.measure_latency(key, latency_ms);
        let is_over = latency_ms > f64::from(target_ms);
        if is_over {
            self.over_target_ms += STEP_MS;
            self.last_over_target_ms = self.now_ms;
        }
        let span_ms = self.interference_ms.entry(key.clone()).or_default();
        let is_disturbed = is_over && fillers.iter().any(|filler| filler.pace > 0);
        *span_ms = if is_disturbed { *span_ms + STEP_MS } else { 0 };
        self.longest_interference_ms = self.longest_interference_ms.max(*span_ms);
    }

    /// Advances a run, and ends it when it fails or completes.
    pub(super) fn advance_run(
        &mut self,
        agent: &AgentId,
        key: &TaskKey,
        spec: &StepSpec,
        run_ms: u64,
    ) {
        let is_always_failing = self.always_failing.contains(&key.job);
        let now_ms = self.now_ms;
        let worker = self.workers.get_mut(agent).unwrap();
        if worker.mode == Mode::Stalls {
            return;
        }
        let run = worker.running.get_mut(key).unwrap();
        let is_faulty = match worker.mode {
            Mode::FailsAll => true,
            Mode::FailsFrom(from_ms) => run.started_ms >= from_ms,
            Mode::Healthy | Mode::Stalls | Mode::Partitioned | Mode::Mute => false,
        };
        let fails = is_faulty || is_always_failing;
        let done_micro = STEP_MS * 10_000 * u64::from(run.pace) / run_ms;
        run.done_micro += done_micro * worker.speed_percent / 100;
        if fails && now_ms >= run.started_ms + 100 {
            worker.end(key, RunEnd::Failed);
        } else if run.done_micro >= 1_000_000 && !spec.long_running {
            worker.end(key, RunEnd::Done);
        }
    }
}
