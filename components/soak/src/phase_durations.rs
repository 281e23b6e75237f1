//! Durations of the phases of a run.

/// Time after the last fault within which every accepted job has to end, in milliseconds. It covers
/// a worker's lease of 6 s, the takeover by another scheduler, and the work itself.
const SETTLE_MS: u64 = 30_000;

/// Durations of the two phases of a run: load with faults, then settling.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PhaseDurations {
    /// Time during which jobs are submitted and faults start, in milliseconds.
    pub load_ms: u64,
    /// Time after the load and the faults within which every accepted job has to end, in
    /// milliseconds.
    pub settle_ms: u64,
}

impl PhaseDurations {
    /// Durations of a run with `load_ms` of load.
    ///
    /// ```
    /// assert_eq!(soak::PhaseDurations::for_load(10_000).load_ms, 10_000);
    /// ```
    pub fn for_load(load_ms: u64) -> Self {
        Self {
            load_ms,
            settle_ms: SETTLE_MS,
        }
    }

    /// Time from the start of the load to the submission of the large job, in milliseconds.
    ///
    /// ```
    /// assert_eq!(soak::PhaseDurations::for_load(9_000).large_job_ms(), 3_000);
    /// ```
    pub fn large_job_ms(&self) -> u64 {
        self.load_ms / 3
    }
}
