//! What is learnt of kinds of batch work.

use model::{JobSpec, KindName, Resources};
use utils::{Ewma, Map};
use wire::AttemptEnd;

/// Ends of a kind before its measured size replaces the declared one.
const MIN_SAMPLES: u32 = 5;
/// Room above the measured peak, in percent.
const HEADROOM_PERCENT: u64 = 125;
/// Samples that a mean run time remembers.
const SPAN: f64 = 16.0;

/// What is learnt of one kind.
#[derive(Debug, Clone, Copy)]
pub struct KindStats {
    /// Attempts that succeeded.
    pub samples: u32,
    /// Highest usage of any of them.
    pub peak: Resources,
    /// Mean run time.
    pub run_ms: Ewma,
}

/// What is learnt of kinds of batch work.
#[derive(Debug, Default)]
pub struct Kinds {
    /// Kinds by name.
    by_name: Map<KindName, KindStats>,
}

impl Kinds {
    /// Takes the end of a successful attempt.
    pub fn add(&mut self, kind: &KindName, end: &AttemptEnd) {
        let unknown = KindStats {
            samples: 0,
            peak: Resources::default(),
            run_ms: Ewma::new(SPAN),
        };
        let stats = self.by_name.entry(kind.clone()).or_insert(unknown);
        stats.run_ms.add(end.run_ms as f64);
        if end.peak != Resources::default() {
            stats.samples += 1;
            stats.peak = stats.peak.max(&end.peak);
        }
    }

    /// What a task is expected to need: measured peaks with headroom once there are enough of
    /// them, what is declared before.
    pub fn need(&self, spec: &JobSpec) -> Resources {
        match self.by_name.get(&spec.kind) {
            Some(stats) if stats.samples >= MIN_SAMPLES => Resources {
                processors_milli: corrected(
                    spec.need.processors_milli,
                    stats.peak.processors_milli,
                ),
                memory_mb: corrected(spec.need.memory_mb, stats.peak.memory_mb),
                accelerators: spec.need.accelerators,
            },
            _ => spec.need,
        }
    }

    /// Expected run time: the measured mean, or what is declared.
    pub fn run_ms(&self, spec: &JobSpec) -> u64 {
        let mean = self
            .by_name
            .get(&spec.kind)
            .and_then(|stats| stats.run_ms.get());
        mean.map_or(spec.run_ms, |mean| mean as u64)
    }
}

/// A measured peak with headroom. The headroom never goes above what is declared: work that
/// takes all it is given would otherwise be given more each time.
fn corrected(declared: u32, peak: u32) -> u32 {
    let roomy = (u64::from(peak) * HEADROOM_PERCENT).div_ceil(100);
    roomy.min(u64::from(declared.max(peak))) as u32
}
