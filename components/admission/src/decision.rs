//! The decision about a new job.

use crate::{Arrival, Backlog, Demand, Hysteresis, KindBacklog, PoolBacklog, Repetition};

/// Age from which a backlog no longer counts, in milliseconds.
const MAX_AGE_MS: u64 = 2_000;
/// Part of the expected wait, in percent, that must be too long before refusing starts. Estimates of run
/// times are wrong by up to 90 % for a single task and by much less in sum.
const START_PERCENT: u64 = 65;
/// Part of the expected wait, in percent, that must be too long while refusing goes on.
const KEEP_PERCENT: u64 = 80;
/// Longest wait of queued fillers at which spare processors count as free for a further one, in
/// milliseconds. Fillers also wait beside spare processors, where they would disturb other tasks.
const FREE_FOR_FILLERS_MS: u64 = 500;
/// Shortest and longest time after which a refused caller is told to retry, in seconds.
const RETRY_S: std::ops::RangeInclusive<u32> = 1..=30;
/// Longest such time before it is spread over callers, in milliseconds.
const MAX_UNSPREAD_MS: u64 = 20_000;
/// Greatest part by which it is made longer for that, as a share of itself.
const SPREAD_SHARE: f64 = 0.5;

/// Decision about a new job.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Admission {
    /// The job is accepted.
    Accept,
    /// The job is refused.
    Refuse {
        /// Time after which the caller should retry, in seconds.
        retry_after_s: u32,
    },
}

/// Decides whether a new job is accepted. `spread`, from 0 to 1, differs between callers, so that
/// refused ones do not all come back at once.
///
/// ```
/// use admission::{Admission, Arrival, Backlog, Demand, Hysteresis, Repetition, admit};
/// let mut backlog = Backlog { measured_ms: 1_000, ..Backlog::default() };
/// let kind = &mut backlog.pool_mut("p").unwrap().ordinary;
/// kind.cores_milli = 2_000;
/// kind.add_queued(0, 100, 60_000);
/// let job = Arrival { pool: "p", priority: 0, repetition: Repetition::Once, objective_ms: 1_000,
///     path_ms: 500, ordinary: Demand { work: 500, largest_milli: 1_000 }, fillers: Demand::default() };
/// let mut state = Hysteresis::default();
/// let refused = Admission::Refuse { retry_after_s: 20 };
/// assert_eq!(admit(1_100, Some(&backlog), &job, &mut state, 0.0), refused);
/// assert_eq!(admit(1_100, None, &job, &mut state, 0.0), Admission::Accept);
/// ```
pub fn admit(
    now_ms: u64,
    backlog: Option<&Backlog>,
    job: &Arrival<'_>,
    state: &mut Hysteresis,
    spread: f64,
) -> Admission {
    let fresh = backlog.filter(|backlog| is_fresh(now_ms, backlog));
    let pool = fresh.and_then(|backlog| backlog.pool(job.pool));
    let wait_ms = match (job.repetition, pool) {
        (Repetition::Once, Some(pool)) => expected_wait_ms(pool, job),
        (Repetition::Recurring | Repetition::LongRunning, _) | (_, None) => None,
    };
    let percent = match state.is_refusing_like(now_ms, job) {
        true => KEEP_PERCENT,
        false => START_PERCENT,
    };
    let wait_ms = wait_ms.unwrap_or(0);
    if share(wait_ms, percent) <= job.longest_wait_ms() {
        state.accept(job);
        return Admission::Accept;
    }
    if !state.refuse(now_ms, job) {
        return Admission::Accept;
    }
    Admission::Refuse {
        retry_after_s: retry_after_s(wait_ms, spread),
    }
}

/// Whether a backlog was measured so recently that it counts.
fn is_fresh(now_ms: u64, backlog: &Backlog) -> bool {
    now_ms.saturating_sub(backlog.measured_ms) <= MAX_AGE_MS
}

/// Time until the work ahead of the job is done, in milliseconds; `None` if it is not known. A job with tasks
/// of both kinds waits for the later one.
fn expected_wait_ms(pool: &PoolBacklog, job: &Arrival<'_>) -> Option<u64> {
    let ordinary_ms = kind_wait_ms(&pool.ordinary, job.ordinary, job, u64::MAX)?;
    let fillers_ms = kind_wait_ms(&pool.fillers, job.fillers, job, FREE_FOR_FILLERS_MS)?;
    Some(ordinary_ms.max(fillers_ms))
}

/// As [`expected_wait_ms`], for the tasks of one kind. There is none while a worker has room for the largest of
/// them and the queue takes at most `max_queued_ms`.
fn kind_wait_ms(
    kind: &KindBacklog,
    demand: Demand,
    job: &Arrival<'_>,
    max_queued_ms: u64,
) -> Option<u64> {
    if demand.work == 0 {
        return Some(0);
    }
    let wait_ms = kind.wait_ms(job.priority, job.objective_ms)?;
    let queued_ms = kind.queued_ms(job.priority, job.objective_ms)?;
    let has_room = kind.largest_free_milli >= demand.largest_milli && queued_ms <= max_queued_ms;
    Some(if has_room { 0 } else { wait_ms })
}

/// Time after which a refused caller should retry, in whole seconds, spread over callers and within [`RETRY_S`]: when
/// the work ahead is done. A caller that comes back as soon as it would be accepted waits once more, and its job
/// then ends too late, at the cost of others.
fn retry_after_s(wait_ms: u64, spread: f64) -> u32 {
    let spread = if spread.is_finite() {
        spread.clamp(0.0, 1.0)
    } else {
        0.0
    };
    let unspread_ms = wait_ms.min(MAX_UNSPREAD_MS) as f64;
    let seconds = (unspread_ms * (1.0 + SPREAD_SHARE * spread) / 1_000.0 + spread).ceil();
    (seconds as u32).clamp(*RETRY_S.start(), *RETRY_S.end())
}

/// `percent` of a time, in milliseconds.
fn share(time_ms: u64, percent: u64) -> u64 {
    time_ms.saturating_mul(percent) / 100
}
