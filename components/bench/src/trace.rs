//! Seeded arrival traces.

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

/// Seed of every trace.
pub const SEED: u64 = 20_261_204;
/// Least and greatest run time of a short request.
const SHORT_MS: (u64, u64) = (25, 75);
/// Mean run time of a short request.
pub const SHORT_MEAN_MS: f64 = 50.0;
/// Run time of a straggler, as a multiple of a short request's mean.
pub const STRAGGLER_FACTOR: u64 = 100;

/// One request of a trace.
#[derive(Debug, Clone, Copy)]
pub struct Arrival {
    /// When it is sent.
    pub at_ms: f64,
    /// How long it runs.
    pub run_ms: u64,
    /// Whether it is a straggler.
    pub straggler: bool,
}

/// A stretch of a trace with one rate.
#[derive(Debug, Clone, Copy)]
pub struct Phase {
    /// Length.
    pub length_ms: f64,
    /// Requests a second.
    pub rate_per_s: f64,
}

/// Arrivals at random (a Poisson process), one in `straggler_every` a straggler; none if 0.
pub fn trace(phases: &[Phase], straggler_every: u32) -> Vec<Arrival> {
    let mut rng = StdRng::seed_from_u64(SEED);
    let mut arrivals = Vec::new();
    let mut start_ms = 0.0;
    for phase in phases {
        let end_ms = start_ms + phase.length_ms;
        let mut at_ms: f64 = start_ms;
        loop {
            let uniform: f64 = rng.random_range(f64::EPSILON..1.0);
            at_ms += -uniform.ln() * 1_000.0 / phase.rate_per_s;
            if at_ms >= end_ms {
                break;
            }
            let straggler = straggler_every > 0 && rng.random_range(0..straggler_every) == 0;
            let short_ms = rng.random_range(SHORT_MS.0..=SHORT_MS.1);
            let run_ms = if straggler {
                SHORT_MEAN_MS as u64 * STRAGGLER_FACTOR
            } else {
                short_ms
            };
            arrivals.push(Arrival {
                at_ms,
                run_ms,
                straggler,
            });
        }
        start_ms = end_ms;
    }
    arrivals
}
