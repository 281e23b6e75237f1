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
    /// Share of the jobs that ask for as much as a limit allows, or for more, in percent.
    pub limit_percent: u64,
    /// Number of agents that are lost for good.
    pub lost_agents: usize,
    /// Number of failure domains that are evacuated.
    pub evacuations: usize,
    /// Number of tasks of a large job that ends while all processes are restarted; 0 for none.
    pub large_tasks: u32,
    /// Durations of the phases of the run.
    pub durations: PhaseDurations,
}
