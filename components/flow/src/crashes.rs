//! Crashes of workers under a task's runs, and what follows for where the task may start.

use crate::{Placement, RunStage};

/// Time after the start of a run within which a crash of its worker counts against its task, in
/// milliseconds.
const SOON_MS: u64 = 400;
/// Crashes soon after a start from which a suspect is started alone.
const ALONE_FROM_CRASHES: u32 = 2;

/// Crashes of workers under a task since one of its runs last outlived [`SOON_MS`] or ended.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct CrashCount {
    /// Crashes soon after a start.
    pub soon: u32,
    /// Those of them after a start alone that the worker had confirmed.
    pub alone: u32,
    /// All crashes, also under runs that a former scheduler had started.
    pub total: u32,
}

impl CrashCount {
    /// Whether the task is to be isolated.
    ///
    /// ```
    /// assert!(!flow::CrashCount::default().is_suspect());
    /// ```
    pub fn is_suspect(&self) -> bool {
        self.soon > 0
    }

    pub(crate) fn isolation(&self) -> Isolation {
        match self.soon {
            0 => Isolation::None,
            ALONE_FROM_CRASHES.. => Isolation::Alone,
            _ => Isolation::Group,
        }
    }
}

/// With which other tasks a task may start on a worker.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Isolation {
    /// With any that is not isolated.
    None,
    /// With other suspects only.
    Group,
    /// With none.
    Alone,
}

/// How old a run was when its worker crashed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum RunAge {
    /// It was not ordered yet.
    NotStarted,
    /// Its start was ordered or confirmed at most [`SOON_MS`] before.
    New,
    /// Unknown, as a former scheduler started it.
    Unknown,
    /// It had outlived [`SOON_MS`].
    Working,
}

/// Age of a placed run. `placed_ms` is 0 if a former scheduler placed it.
pub(crate) fn run_age(now_ms: u64, placement: &Placement, placed_ms: u64) -> RunAge {
    let since_ms = match placement.stage {
        RunStage::Uncommitted => return RunAge::NotStarted,
        _ if placed_ms == 0 => return RunAge::Unknown,
        RunStage::Ordered | RunStage::Unconfirmed => return RunAge::New,
        RunStage::Running { since_ms } => since_ms,
        RunStage::Stopping { .. } => placed_ms,
    };
    if now_ms <= since_ms + SOON_MS {
        RunAge::New
    } else {
        RunAge::Working
    }
}
