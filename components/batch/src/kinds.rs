//! Learned statistics of kinds of batch work.

use model::{JobSpec, KindName, Resources};
use utils::{Ewma, Map};
use wire::AttemptEnd;

/// Measured ends of a kind that are needed before its peak replaces the declared need.
const MIN_SAMPLES: u32 = 5;
/// Expected need in percent of the measured peak.
const HEADROOM_PERCENT: u64 = 125;
/// Span of the moving average of run times, in samples.
const RUN_TIME_SPAN_SAMPLES: f64 = 16.0;

/// Statistics of the successful attempts of one kind.
#[derive(Debug, Clone, Copy)]
pub struct KindStats {
    /// Successful attempts whose peak usage was measured.
    pub samples: u32,
    /// Highest usage of any of these attempts.
    pub peak: Resources,
    /// Moving average of the run time, over all successful attempts.
    pub run_ms: Ewma,
}

/// Statistics by kind, which replace the declared need and run time of jobs.
#[derive(Debug, Default)]
pub struct Kinds {
    /// Statistics by the name of the kind.
    by_name: Map<KindName, KindStats>,
}

impl Kinds {
    /// Records the end of a successful attempt. A peak of zero counts as not measured.
    pub fn add(&mut self, kind: &KindName, end: &AttemptEnd) {
        let empty = KindStats {
            samples: 0,
            peak: Resources::default(),
            run_ms: Ewma::new(RUN_TIME_SPAN_SAMPLES),
        };
        let stats = self.by_name.entry(kind.clone()).or_insert(empty);
        stats.run_ms.add(end.run_ms as f64);
        if end.peak != Resources::default() {
            stats.samples += 1;
            stats.peak = stats.peak.max(&end.peak);
        }
    }

    /// Expected need of a task: the measured peak with headroom once enough attempts were
    /// measured, the declared need before. Accelerators are always as declared.
    pub fn need(&self, spec: &JobSpec) -> Resources {
        match self.by_name.get(&spec.kind) {
            Some(stats) if stats.samples >= MIN_SAMPLES => Resources {
                processors_milli: with_headroom(
                    spec.need.processors_milli,
                    stats.peak.processors_milli,
                ),
                memory_mb: with_headroom(spec.need.memory_mb, stats.peak.memory_mb),
                accelerators: spec.need.accelerators,
            },
            _ => spec.need,
        }
    }

    /// Expected run time: the measured mean, or the declared one before any attempt succeeded.
    pub fn run_ms(&self, spec: &JobSpec) -> u64 {
        let mean = self
            .by_name
            .get(&spec.kind)
            .and_then(|stats| stats.run_ms.get());
        mean.map_or(spec.run_ms, |mean| mean as u64)
    }
}

/// Adds headroom to a measured peak. The headroom never goes above the declared need, because work
/// that uses all it is given would otherwise get more each time.
fn with_headroom(declared: u32, peak: u32) -> u32 {
    let padded = (u64::from(peak) * HEADROOM_PERCENT).div_ceil(100);
    padded.min(u64::from(declared.max(peak))) as u32
}
