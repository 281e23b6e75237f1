//! Seeded traces of request arrivals.

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use std::ops::RangeInclusive;

/// Seed of every random choice in the benchmarks.
pub const SEED: u64 = 20_261_204;
/// Run times of a short request, in milliseconds; uniform.
const SHORT_RUN_MS: RangeInclusive<u64> = 25..=75;
/// Mean run time of a short request, in milliseconds.
pub const SHORT_MEAN_MS: f64 = 50.0;
/// Run time of a straggler, as a multiple of [`SHORT_MEAN_MS`].
pub const STRAGGLER_FACTOR: u64 = 100;

/// One request of a trace.
#[derive(Debug, Clone, Copy)]
pub struct Arrival {
    /// Time at which it is sent, in milliseconds since the start of the trace.
    pub at_ms: f64,
    /// Run time on the backend server, in milliseconds.
    pub run_ms: u64,
    /// Whether it is a straggler, which runs much longer than the others.
    pub is_straggler: bool,
}

/// Part of a trace with a constant arrival rate.
#[derive(Debug, Clone, Copy)]
pub struct Phase {
    /// Duration, in milliseconds.
    pub length_ms: f64,
    /// Mean number of requests a second.
    pub rate_per_s: f64,
}

/// Generates the arrivals of a Poisson process with the rate of each phase. On average one request
/// in `straggler_every` is a straggler; 0 gives none.
pub fn generate_trace(phases: &[Phase], straggler_every: u32) -> Vec<Arrival> {
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
            let is_straggler = straggler_every > 0 && rng.random_range(0..straggler_every) == 0;
            let short_ms = rng.random_range(SHORT_RUN_MS);
            let run_ms = if is_straggler {
                SHORT_MEAN_MS as u64 * STRAGGLER_FACTOR
            } else {
                short_ms
            };
            arrivals.push(Arrival {
                at_ms,
                run_ms,
                is_straggler,
            });
        }
        start_ms = end_ms;
    }
    arrivals
}
