//! Faults, and the plan of a run that follows from its seed.

use crate::Options;
use platform_standin::store::StoreMode;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use strum::{EnumIter, IntoEnumIterator};

/// Lengths of faults, in milliseconds.
const LENGTH_MS: std::ops::Range<u64> = 300..4_000;

/// What happens to a process, a worker, or the store.
#[derive(Debug, Clone, Copy, PartialEq, Eq, EnumIter)]
pub enum FaultKind {
    /// A process is killed, and started again at the end.
    Kill,
    /// A process is told to end, and started again at the end.
    Terminate,
    /// A process stands still.
    Freeze,
    /// A process is told to look at its settings again.
    HangUp,
    /// A process can't reach the store, and is not told so.
    CutFromStore,
    /// Open connections of a process to the store go silent.
    SilenceLinks,
    /// Open connections of a process to the store are reset.
    ResetLinks,
    /// The store does something else than it should.
    Store(StoreMode),
    /// The store forgets its history.
    DropHistory,
    /// The operator writes a configuration with a higher version.
    ChangeConfig,
    /// A worker loses all that it runs, and its memory.
    CrashWorker,
    /// A worker carries the next start out and does not answer.
    LoseStart,
    /// All processes are killed, and started again at the end.
    KillAll,
}

/// A fault of a run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Fault {
    /// When it begins, after the start of the load.
    pub at_ms: u64,
    /// How long it lasts.
    pub length_ms: u64,
    /// What happens.
    pub kind: FaultKind,
    /// Whom it concerns, as a number that is taken modulo those there are.
    pub target: usize,
}

/// The faults of a run, earliest first; they may overlap.
///
/// ```
/// let options = soak::Options {
///     program: "parsleythread".into(),
///     folder: "folder".into(),
///     entries: 3,
///     agents: 4,
///     faults: 6,
///     spans: soak::Spans::of(10_000),
/// };
/// assert_eq!(soak::plan(1, &options), soak::plan(1, &options));
/// assert_ne!(soak::plan(1, &options), soak::plan(2, &options));
/// ```
pub fn plan(seed: u64, options: &Options) -> Vec<Fault> {
    let mut random = StdRng::seed_from_u64(seed);
    let kinds: Vec<FaultKind> = FaultKind::iter().collect();
    let mut faults: Vec<Fault> = (0..options.faults)
        .map(|_| Fault {
            at_ms: random.random_range(0..options.spans.load_ms),
            length_ms: random.random_range(LENGTH_MS),
            kind: with_detail(kinds[random.random_range(0..kinds.len())], &mut random),
            target: random.random_range(0..options.entries + options.agents),
        })
        .collect();
    faults.sort_by_key(|fault| fault.at_ms);
    faults
}

fn with_detail(kind: FaultKind, random: &mut StdRng) -> FaultKind {
    match kind {
        FaultKind::Store(_) => {
            FaultKind::Store(StoreMode::FAULTS[random.random_range(0..StoreMode::FAULTS.len())])
        }
        other => other,
    }
}
