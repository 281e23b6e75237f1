//! Distribution of the deviations from a predicted run time.

/// Number of bins.
pub(crate) const BINS: usize = 32;
/// Width of a bin, as a difference of natural logarithms. All bins together cover factors from 1/11 to 11.
const BIN_WIDTH: f64 = 0.15;
/// Lower end of the first bin.
const LOWEST: f64 = -BIN_WIDTH * (BINS as f64) / 2.0;
/// Greatest deviation of the prior, which is uniform. Its 90th percentile is 1.5 times its median.
const PRIOR_DEVIATION: f64 = 0.5;

/// Histogram of the logarithms of measured by predicted run times.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) struct Residuals {
    /// Weight in each bin. Deviations beyond the bins count in the outermost ones.
    pub weights: [f32; BINS],
}

impl Default for Residuals {
    fn default() -> Self {
        Self {
            weights: [0.0; BINS],
        }
    }
}

impl Residuals {
    /// Adds a deviation.
    pub fn add(&mut self, deviation: f64, weight: f64) {
        let bin = ((deviation - LOWEST) / BIN_WIDTH).clamp(0.0, (BINS - 1) as f64);
        self.weights[bin as usize] += weight as f32;
    }

    /// Multiplies all weights.
    pub fn scale(&mut self, factor: f64) {
        for weight in &mut self.weights {
            *weight *= factor as f32;
        }
    }

    /// Deviations below which these ascending shares lie, with a prior of `prior_weight`. The evidence
    /// counts `factor` times.
    pub fn quantiles<const N: usize>(
        &self,
        shares: [f64; N],
        factor: f64,
        prior_weight: f64,
    ) -> [f64; N] {
        let bins = || {
            let weights = self.weights.iter().enumerate();
            weights.map(|(bin, weight)| {
                let low = LOWEST + BIN_WIDTH * bin as f64;
                let prior = prior_weight * overlap(low, low + BIN_WIDTH) / (2.0 * PRIOR_DEVIATION);
                (low, f64::from(*weight) * factor + prior)
            })
        };
        let total: f64 = bins().map(|(_, weight)| weight).sum();
        shares.map(|share| {
            let mut left = share * total;
            for (low, weight) in bins() {
                if left <= weight && weight > 0.0 {
                    return low + BIN_WIDTH * left / weight;
                }
                left -= weight;
            }
            0.0
        })
    }
}

/// Length of the part of the prior's range between `low` and `high`.
fn overlap(low: f64, high: f64) -> f64 {
    (high.min(PRIOR_DEVIATION) - low.max(-PRIOR_DEVIATION)).max(0.0)
}
