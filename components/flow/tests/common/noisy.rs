//! Latencies of latency-critical tasks whose margin falls with their load and with the fillers beside
//! them, and their noisy measurements.

use super::{STEP_MS, Sim};
use flow::TaskKey;
use model::AgentId;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use std::collections::BTreeMap;

/// Share by which a latency approaches its settled value in one step of the simulation.
const APPROACH: f64 = 0.1;
/// Least margin, which bounds the latency of an overloaded task.
const MIN_MARGIN: f64 = 0.2;
/// Time that one measurement covers, in milliseconds.
const WINDOW_MS: u64 = 500;

/// Load of a latency-critical image: the margin (target over latency) that it leaves without fillers.
#[derive(Debug, Clone, Copy)]
pub struct Load {
    /// Mean margin.
    pub margin: f64,
    /// Greatest deviation from it.
    pub swing: f64,
    /// Length of a wave, in milliseconds.
    pub wave_ms: u64,
}

impl Load {
    fn margin_at(&self, now_ms: u64) -> f64 {
        let turn = now_ms as f64 / self.wave_ms as f64;
        self.margin + self.swing * (turn * std::f64::consts::TAU).sin()
    }
}

/// A filler that runs beside a latency-critical task.
#[derive(Debug, Clone)]
pub(super) struct RunningFiller {
    /// Its image.
    pub(super) image: String,
    /// Its pace, in percent.
    pub(super) pace: u32,
    /// Its processors at full pace, in thousandths.
    pub(super) processors_milli: u32,
}

/// A measurement of a latency that is under way.
#[derive(Debug, Clone, Copy)]
struct Window {
    /// When it began, in milliseconds.
    since_ms: u64,
    /// Sum of the latencies, in milliseconds.
    sum_ms: f64,
    /// Number of them.
    count: u32,
    /// Result of the last complete measurement, in milliseconds; 0 before the first.
    measured_ms: f64,
}

/// Loads of the latency-critical images, hidden pressures of the fillers' images on them, and the noise
/// of the measurements.
pub struct NoisyLoad {
    /// Loads by latency-critical image.
    pub loads: BTreeMap<String, Load>,
    /// Pressure of each filler's image: margin lost for a whole worker's processors.
    pub pressures: BTreeMap<String, f64>,
    /// Standard deviation of a measured latency, as a share of it.
    pub noise: f64,
    random: StdRng,
    windows: BTreeMap<TaskKey, Window>,
}

impl NoisyLoad {
    pub fn new(seed: u64, noise: f64) -> Self {
        Self {
            loads: BTreeMap::new(),
            pressures: BTreeMap::new(),
            noise,
            random: StdRng::seed_from_u64(seed),
            windows: BTreeMap::new(),
        }
    }

    /// Latency that a task settles at, in milliseconds.
    fn settled_ms(
        &self,
        now_ms: u64,
        image: &str,
        target_ms: u32,
        fillers: &[RunningFiller],
        capacity_milli: u32,
    ) -> f64 {
        let loss = fillers.iter().map(|filler| {
            let pressure = self.pressures.get(&filler.image).copied().unwrap_or(0.0);
            let used_milli = filler.processors_milli * filler.pace / 100;
            pressure * f64::from(used_milli) / f64::from(capacity_milli)
        });
        let margin = self.loads[image].margin_at(now_ms) - loss.sum::<f64>();
        f64::from(target_ms) / margin.max(MIN_MARGIN)
    }

    /// Adds a latency to the measurement that is under way.
    fn measure(&mut self, now_ms: u64, key: &TaskKey, latency_ms: f64) {
        let window = self.windows.entry(key.clone()).or_insert(Window {
            since_ms: now_ms,
            sum_ms: 0.0,
            count: 0,
            measured_ms: 0.0,
        });
        window.sum_ms += latency_ms;
        window.count += 1;
        if now_ms >= window.since_ms + WINDOW_MS {
            // The sum of twelve uniform draws has a variance of 1.
            let draws: f64 = (0..12).map(|_| self.random.random_range(0.0..1.0)).sum();
            let factor = (1.0 + self.noise * (draws - 6.0)).max(0.1);
            *window = Window {
                since_ms: now_ms,
                sum_ms: 0.0,
                count: 0,
                measured_ms: window.sum_ms / f64::from(window.count) * factor,
            };
        }
    }

    /// Measured latency that a worker reports, in milliseconds; 0 before the first.
    pub(super) fn reported_ms(&self, key: &TaskKey) -> f64 {
        self.windows
            .get(key)
            .map_or(0.0, |window| window.measured_ms)
    }
}

impl Sim {
    /// Settled latency of a latency-critical task under the noisy load; `None` if there is none.
    pub(super) fn settled_under_load_ms(
        &self,
        agent: &AgentId,
        image: &str,
        target_ms: u32,
        fillers: &[RunningFiller],
    ) -> Option<f64> {
        let noisy = self.noisy.as_ref()?;
        let capacity_milli = self.workers[agent].capacity.processors_milli;
        Some(noisy.settled_ms(self.now_ms, image, target_ms, fillers, capacity_milli))
    }

    /// Has a worker measure a latency.
    pub(super) fn measure_latency(&mut self, key: &TaskKey, latency_ms: f64) {
        let now_ms = self.now_ms;
        if let Some(noisy) = &mut self.noisy {
            noisy.measure(now_ms, key, latency_ms);
        }
    }

    /// Counts the work that a worker's fillers do in one step of the simulation.
    pub(super) fn count_filler_work(&mut self, fillers: &[RunningFiller]) {
        let done = fillers
            .iter()
            .map(|filler| u64::from(filler.processors_milli * filler.pace / 100) * STEP_MS);
        self.filler_work += done.sum::<u64>() / 1_000;
    }
}

/// Share by which a latency approaches its settled value in one step of the simulation.
pub(super) fn approach(latency_ms: f64, settled_ms: f64) -> f64 {
    latency_ms + (settled_ms - latency_ms) * APPROACH
}
