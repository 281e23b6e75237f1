//! What a run is made of.

use crate::Spans;
use std::path::PathBuf;

/// What a run is made of.
#[derive(Debug, Clone)]
pub struct Options {
    /// The program under test.
    pub program: PathBuf,
    /// Folder for settings and logs.
    pub folder: PathBuf,
    /// Entries.
    pub entries: usize,
    /// Agents, each with a worker.
    pub agents: usize,
    /// Faults.
    pub faults: usize,
    /// Lengths of its parts.
    pub spans: Spans,
}
