//! Whether an urgent task preempts runs of one worker.

use crate::choice::{choose, may_be_preempted};
use crate::{MAX_PREEMPTING, PREEMPTION_MS, START_MS, Victim, cost};

/// A queued task that may take the place of others.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Urgent {
    /// Priority of its queue; 0 is the most urgent.
    pub priority: u32,
    /// Processors that it reserves, in thousandths.
    pub cores_milli: u32,
    /// Memory that it reserves, in megabytes.
    pub memory_mb: u64,
    /// Time by which its flow would end before its objective if the task started now, in milliseconds;
    /// negative if the flow would be late.
    pub slack_ms: i64,
    /// Time until a worker has room for it without preemption, in milliseconds; `None` if that is not
    /// known.
    pub expected_wait_ms: Option<u64>,
    /// Work that is in time thanks to the preemption, in core-milliseconds.
    pub value: u64,
}

/// Room of the worker, and what is under way in the pool.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Room {
    /// Free processors of the worker, in thousandths.
    pub cores_milli: u32,
    /// Free memory of the worker, in megabytes.
    pub memory_mb: u64,
    /// Number of tasks that are being preempted, on any worker.
    pub preempting: u32,
}

/// What to do with the urgent task.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Verdict {
    /// Stop these runs, so that the task is placed where they were.
    Preempt {
        /// Indices of the runs, in ascending order.
        victims: Vec<usize>,
        /// Why the task does not wait.
        reason: Reason,
    },
    /// Leave it queued, and decide again in a later pass.
    Wait(Reason),
}

/// Why a task preempts others or waits. The text form is shown by logs.
///
/// ```
/// assert_eq!(preemption::Reason::TooLate.to_string(), "too-late");
/// ```
#[derive(Debug, Clone, Copy, PartialEq, Eq, strum::Display, strum::IntoStaticStr)]
#[strum(serialize_all = "kebab-case")]
pub enum Reason {
    /// It would miss its objective, as a worker has room for it too late.
    WaitTooLong,
    /// It would miss its objective as far as is known: no worker is expected to have room for it.
    NoExpectedRoom,
    /// It would miss its objective in spite of a preemption.
    TooLate,
    /// A worker has room for it early enough.
    InTimeAnyway,
    /// The worker has room for it now.
    FreeCapacity,
    /// As many tasks are being preempted as may be at a time.
    TooManyAtOnce,
    /// The runs that may be preempted don't make enough room.
    NoVictims,
    /// The runs would lose as much as the task gains, or more.
    NotWorthwhile,
}

/// Whether a task with this slack would miss its objective in spite of a preemption.
///
/// ```
/// assert!(preemption::is_too_late(499) && !preemption::is_too_late(500));
/// ```
pub fn is_too_late(slack_ms: i64) -> bool {
    slack_ms < PREEMPTION_MS as i64
}

/// Decides for a queued task and the runs of one worker; `free` is the room of that worker. The victims are
/// as few as possible and cost least among those that a simple search finds.
///
/// ```
/// use preemption::{Reason, Room, Urgent, Verdict, Victim, decide};
/// let urgent = Urgent { cores_milli: 2_000, slack_ms: 800, expected_wait_ms: Some(5_000), value: 4_000,
///     ..Urgent::default() };
/// let victim = Victim { priority: 2, cores_milli: 2_000, lost_work: 300, slack_ms: 60_000,
///     ..Victim::default() };
/// let verdict = decide(20_000, &urgent, Room::default(), &[victim]);
/// assert_eq!(verdict, Verdict::Preempt { victims: vec![0], reason: Reason::WaitTooLong });
/// let in_time = Urgent { expected_wait_ms: Some(500), ..urgent };
/// let verdict = decide(20_000, &in_time, Room::default(), &[victim]);
/// assert_eq!(verdict, Verdict::Wait(Reason::InTimeAnyway));
/// ```
pub fn decide(now_ms: u64, urgent: &Urgent, free: Room, victims: &[Victim]) -> Verdict {
    if is_too_late(urgent.slack_ms) {
        return Verdict::Wait(Reason::TooLate);
    }
    let slack_ms = urgent.slack_ms.max(0) as u64;
    let is_in_time = |wait_ms: u64| wait_ms.saturating_add(START_MS) <= slack_ms;
    if urgent.expected_wait_ms.is_some_and(is_in_time) {
        return Verdict::Wait(Reason::InTimeAnyway);
    }
    let missing = Missing::of(urgent, free);
    if missing.is_none() {
        return Verdict::Wait(Reason::FreeCapacity);
    }
    if free.preempting >= MAX_PREEMPTING {
        return Verdict::Wait(Reason::TooManyAtOnce);
    }
    let eligible: Vec<usize> = (0..victims.len())
        .filter(|index| may_be_preempted(now_ms, urgent, &victims[*index]))
        .collect();
    let Some(chosen) = choose(missing, victims, &eligible) else {
        return Verdict::Wait(Reason::NoVictims);
    };
    if chosen.len() as u32 > MAX_PREEMPTING - free.preempting {
        return Verdict::Wait(Reason::TooManyAtOnce);
    }
    if cost(victims, &chosen).work >= urgent.value {
        return Verdict::Wait(Reason::NotWorthwhile);
    }
    let reason = match urgent.expected_wait_ms {
        Some(_) => Reason::WaitTooLong,
        None => Reason::NoExpectedRoom,
    };
    Verdict::Preempt {
        victims: chosen,
        reason,
    }
}

/// Resources that a worker lacks for a task.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct Missing {
    /// Processors, in thousandths.
    pub cores_milli: u64,
    /// Memory, in megabytes.
    pub memory_mb: u64,
}

impl Missing {
    fn of(urgent: &Urgent, free: Room) -> Self {
        let cores_milli = urgent.cores_milli.saturating_sub(free.cores_milli);
        Self {
            cores_milli: u64::from(cores_milli),
            memory_mb: urgent.memory_mb.saturating_sub(free.memory_mb),
        }
    }

    fn is_none(self) -> bool {
        self.cores_milli == 0 && self.memory_mb == 0
    }
}
