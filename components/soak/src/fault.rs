//! Injected faults, and their schedule for a run, which depends only on its seed and options.

use crate::Options;
use crate::fleet::DOMAINS;
use platform_standin::store::StoreMode;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use strum::{EnumIter, IntoEnumIterator};

/// Range of the durations of faults, in milliseconds.
const LENGTH_MS: std::ops::Range<u64> = 300..4_000;
/// Range of the durations of evacuations, in milliseconds. They outlast the bound of 5 s, so that a
/// start after it is observed.
const EVACUATION_MS: std::ops::Range<u64> = 7_000..10_000;
/// Run time of the tasks of a large job, in milliseconds.
pub(crate) const LARGE_RUN_MS: u64 = 1_500;
/// Time from the kill of all processes beside a large job to their restart, in milliseconds.
const RESTART_MS: u64 = 1_000;
/// Kinds of odd rows that are chosen from; the store takes a higher number modulo its own.
const ODD_ROW_KINDS: usize = 1_000;

/// How an agent is lost for good. Its worker's runs go on until its lease expires.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum AgentLoss {
    /// Its process is killed, and connections to it are refused.
    #[default]
    Killed,
    /// Its process is suspended, and connections to it hang.
    Hangs,
}

/// Kind of an injected fault of a process, a worker or the store.
#[derive(Debug, Clone, Copy, PartialEq, Eq, EnumIter)]
pub enum FaultKind {
    /// A process is killed with SIGKILL, and restarted when the fault ends.
    Kill,
    /// A process receives SIGTERM, and is restarted when the fault ends.
    Terminate,
    /// A process is suspended with SIGSTOP until the fault ends.
    Freeze,
    /// A process receives SIGHUP, the signal to reread its settings.
    HangUp,
    /// A process can't reach the store and is not notified of it.
    CutFromStore,
    /// Open connections of a process to the store carry no more data; new ones work.
    SilenceLinks,
    /// Open connections of a process to the store are reset; new ones work.
    ResetLinks,
    /// The store misbehaves in one way.
    Store(StoreMode),
    /// The store drops its history of changes.
    DropHistory,
    /// The operator writes a configuration with a higher version.
    ChangeConfig,
    /// A worker crashes: it loses its runs and its state, and starts a new incarnation under its name, in
    /// half of the cases without a heartbeat until the fault ends.
    CrashWorker,
    /// A worker carries out its next start but the scheduler gets no answer in time.
    LoseStart,
    /// Another writer leaves a row of this kind among those of the agents; it stays.
    OddAgentRow(usize),
    /// All processes are killed with SIGKILL, and restarted when the fault ends.
    KillAll,
    /// An agent is lost and never comes back.
    LoseAgent(AgentLoss),
    /// The operator requests the evacuation of a failure domain, and cancels it when the fault ends.
    Evacuate,
}

/// A fault that is injected during a run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Fault {
    /// Time from the start of the load to the start of the fault.
    pub at_ms: u64,
    /// Time from the start to the end of the fault.
    pub length_ms: u64,
    /// What the fault does.
    pub kind: FaultKind,
    /// Index of the affected process, worker or failure domain, taken modulo their number.
    pub target: usize,
}

/// Returns the faults of a run, ordered by start; they may overlap. One odd row, the agents that are
/// lost for good, the evacuations, and the restart of all processes beside a large job come in addition to
/// the number of faults in the options.
///
/// ```
/// let options = soak::Options {
///     program: "parsleythread".into(),
///     folder: "folder".into(),
///     entries: 3,
///     agents: 4,
///     faults: 6,
///     deadly_percent: 0,
///     limit_percent: 0,
///     lost_agents: 1,
///     evacuations: 1,
///     large_tasks: 0,
///     durations: soak::PhaseDurations::for_load(10_000),
/// };
/// assert_eq!(soak::plan_faults(1, &options), soak::plan_faults(1, &options));
/// assert_ne!(soak::plan_faults(1, &options), soak::plan_faults(2, &options));
/// ```
pub fn plan_faults(seed: u64, options: &Options) -> Vec<Fault> {
    let mut random = StdRng::seed_from_u64(seed);
    let is_drawn = |kind: &FaultKind| {
        !matches!(
            kind,
            FaultKind::OddAgentRow(_) | FaultKind::LoseAgent(_) | FaultKind::Evacuate
        )
    };
    let kinds: Vec<FaultKind> = FaultKind::iter().filter(is_drawn).collect();
    let mut faults: Vec<Fault> = (0..options.faults)
        .map(|_| Fault {
            at_ms: random.random_range(0..options.durations.load_ms),
            length_ms: random.random_range(LENGTH_MS),
            kind: choose_store_mode(kinds[random.random_range(0..kinds.len())], &mut random),
            target: random.random_range(0..options.entries + options.agents),
        })
        .collect();
    faults.push(odd_row(seed, options));
    faults.extend(lost_agents(seed, options));
    faults.extend(evacuations(seed, options));
    if options.large_tasks > 0 {
        faults.push(restart_beside_large_job(options));
    }
    faults.sort_by_key(|fault| fault.at_ms);
    faults
}

/// An odd row among those of the agents. It is drawn apart from the other faults, so that each seed
/// keeps those that it had.
fn odd_row(seed: u64, options: &Options) -> Fault {
    let mut random = StdRng::seed_from_u64(!seed);
    Fault {
        at_ms: random.random_range(0..options.durations.load_ms),
        length_ms: 0,
        kind: FaultKind::OddAgentRow(random.random_range(0..ODD_ROW_KINDS)),
        target: 0,
    }
}

/// Losses of distinct agents in the first half of the load, drawn apart as [`odd_row`] is.
fn lost_agents(seed: u64, options: &Options) -> Vec<Fault> {
    let mut random = StdRng::seed_from_u64(seed.rotate_left(32));
    let first = random.random_range(0..options.agents.max(1));
    let lost = (0..options.lost_agents.min(options.agents)).map(|number| Fault {
        at_ms: random.random_range(0..options.durations.load_ms / 2),
        length_ms: 0,
        kind: FaultKind::LoseAgent(match random.random_range(0..2) {
            0 => AgentLoss::Killed,
            _ => AgentLoss::Hangs,
        }),
        target: options.entries + (first + number) % options.agents,
    });
    lost.collect()
}

/// Evacuations of distinct failure domains, drawn apart as [`odd_row`] is. They start in the first
/// quarter of the load, so that jobs are still submitted when the bound has passed.
fn evacuations(seed: u64, options: &Options) -> Vec<Fault> {
    let mut random = StdRng::seed_from_u64(seed.rotate_left(16));
    let first = random.random_range(0..DOMAINS.len());
    let evacuated = (0..options.evacuations.min(DOMAINS.len())).map(|number| Fault {
        at_ms: random.random_range(0..(options.durations.load_ms / 4).max(1)),
        length_ms: random.random_range(EVACUATION_MS),
        kind: FaultKind::Evacuate,
        target: (first + number) % DOMAINS.len(),
    });
    evacuated.collect()
}

/// A restart of all processes while the ends of a large job's tasks pile up at the workers.
fn restart_beside_large_job(options: &Options) -> Fault {
    Fault {
        at_ms: options.durations.large_job_ms() + LARGE_RUN_MS,
        length_ms: RESTART_MS,
        kind: FaultKind::KillAll,
        target: 0,
    }
}

/// Replaces the placeholder mode of a store fault by a random one; other kinds stay.
fn choose_store_mode(kind: FaultKind, random: &mut StdRng) -> FaultKind {
    match kind {
        FaultKind::Store(_) => {
            FaultKind::Store(StoreMode::FAULTS[random.random_range(0..StoreMode::FAULTS.len())])
        }
        other => other,
    }
}
