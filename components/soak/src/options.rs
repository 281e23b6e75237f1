//! Options of a run.

use crate::PhaseDurations;
use std::path::PathBuf;

/// Size of the system, faults and durations of a run.
#[derive(Debug, Clone)]
pub struct Options {
    /// Path of the program under test.
    pub program: PathBuf,
    /// Existing folder for the settings and logs of the processes.
    pub folder: PathBuf,
    /// Number of entries.
    pub entries: usize,
    /// Number of agents, each with a worker.
    pub agents: usize,
    /// Number of faults to inject.
    pub faults: usize,
    /// Share of the jobs whose task crashes each worker that starts it, in percent.
    pub deadly_percent: u64,
    /// Durations of the phases of the run.
    pub durations: PhaseDurations,
}
