//! Evidence on one class: a line through the logarithms of declared and measured run times, the deviations
//! from it, and failures.

use crate::residuals::Residuals;

/// Time in which evidence loses half of its weight, in milliseconds. Loads and programs change within hours.
const HALF_LIFE_MS: f64 = 600_000.0;
/// Greatest weight of a class's evidence, in samples, so that a class that has changed is learned
/// again within some hundred tasks.
pub(crate) const MAX_WEIGHT: f64 = 100.0;
/// Weight of the declared run time against the evidence, in samples.
pub(crate) const PRIOR_WEIGHT: f64 = 2.0;
/// Weight of the assumption that run times grow in proportion to the declared ones, as a sum of squared
/// differences of logarithms: that of some ten samples that differ by a factor of 1.3.
const PRIOR_SLOPE_WEIGHT: f64 = 0.5;
/// Range of the learned slope; beyond it, chance in few samples would be extended to other declared times.
const SLOPES: std::ops::RangeInclusive<f64> = 0.0..=1.5;
/// Failures and successes that count as seen before the first.
const PRIOR_FAILURES: (f64, f64) = (0.1, 2.0);

/// What was learned about one class.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub(crate) struct Evidence {
    /// Weight of the samples.
    pub weight: f64,
    /// Mean of the logarithms of declared run times.
    pub mean_declared: f64,
    /// Mean of the logarithms of measured run times.
    pub mean_run: f64,
    /// Weighted sum of squared deviations of the former.
    pub declared_squares: f64,
    /// Weighted sum of products of the deviations of both.
    pub products: f64,
    /// Weight of failed runs.
    pub failures: f64,
    /// Weight of runs that succeeded.
    pub successes: f64,
    /// Deviations from the predictions.
    pub residuals: Residuals,
    /// When the weights were last brought up to date, in milliseconds; `None` if they were stored by
    /// another process.
    pub updated_ms: Option<u64>,
}

impl Evidence {
    /// Factor by which the weights have fallen since they were last brought up to date.
    pub fn decay(&self, now_ms: u64) -> f64 {
        let updated_ms = self.updated_ms.unwrap_or(now_ms);
        let span_ms = now_ms.saturating_sub(updated_ms) as f64;
        (-span_ms / HALF_LIFE_MS).exp2()
    }

    /// Brings the weights up to date.
    pub fn fade(&mut self, now_ms: u64) {
        let factor = self.decay(now_ms);
        self.scale(factor);
        self.updated_ms = Some(self.updated_ms.map_or(now_ms, |at_ms| at_ms.max(now_ms)));
    }

    fn scale(&mut self, factor: f64) {
        self.weight *= factor;
        self.declared_squares *= factor;
        self.products *= factor;
        self.failures *= factor;
        self.successes *= factor;
        self.residuals.scale(factor);
    }

    /// Logarithm of the run time by the line and the prior; both arguments are logarithms or weights.
    pub fn predict(&self, declared: f64, weight: f64) -> f64 {
        let slope =
            (self.products + PRIOR_SLOPE_WEIGHT) / (self.declared_squares + PRIOR_SLOPE_WEIGHT);
        let slope = slope.clamp(*SLOPES.start(), *SLOPES.end());
        let by_class = self.mean_run + slope * (declared - self.mean_declared);
        (weight * by_class + PRIOR_WEIGHT * declared) / (weight + PRIOR_WEIGHT)
    }

    /// Adds a run that succeeded, by the logarithms of its times.
    pub fn add(&mut self, declared: f64, run: f64) {
        let trust = self.weight / (self.weight + PRIOR_WEIGHT);
        let deviation = run - self.predict(declared, self.weight);
        self.residuals.add(deviation, trust);
        let weight = self.weight + 1.0;
        let off_declared = declared - self.mean_declared;
        let off_run = run - self.mean_run;
        self.mean_declared += off_declared / weight;
        self.mean_run += off_run / weight;
        self.declared_squares += off_declared * (declared - self.mean_declared);
        self.products += off_declared * (run - self.mean_run);
        self.weight = weight;
        self.successes += 1.0;
        if self.weight > MAX_WEIGHT {
            self.scale(MAX_WEIGHT / self.weight);
        }
    }

    /// Share of runs that fail, by the evidence and the prior.
    pub fn failure_share(&self, decay: f64) -> f64 {
        let failures = self.failures * decay + PRIOR_FAILURES.0;
        failures / (failures + self.successes * decay + PRIOR_FAILURES.1)
    }
}
