//! Effects of the scheduler: orders to workers, reports and decision records.

use crate::{
    FlowPhase, Incarnation, LocalityOutcome, Outlooks, PreemptionOutcome, RecordFault, TaskKey,
};
use interference::{PaceReason, PressureChange};
use model::{AgentId, JobId};
use std::cmp::Ordering;
use worker_speed::SpeedChange;

/// An action that the caller of the scheduler carries out.
#[derive(Debug, Clone, PartialEq)]
pub enum Effect {
    /// Start a run with this input.
    Start(RunRef, StartInput),
    /// Stop a run; it must not start afterwards either.
    Stop(RunRef),
    /// Change the pace of a run, in percent of the full pace at which it works.
    Pace(RunRef, u32),
    /// Count a pace that was ordered, and log why it was if paces are damped.
    PaceOrdered(RunRef, PaceDirection, Option<PaceReason>),
    /// Acknowledge the ends reported by this agent's worker whose records became durable.
    Acknowledge(AgentId),
    /// Report the end of a flow; it is durable.
    Ended(JobId, FlowPhase),
    /// Log that a flow was set aside: it fails, as its progress can't be recorded.
    SetAside(JobId, RecordFault),
    /// Give up leadership: an agent has seen a newer scheduler.
    StepDown,
    /// Log that the pressure of a pair of images has changed; the report came from this agent.
    PressureLearned(AgentId, PressureChange),
    /// Log that the order begins to defer flows so that others end in time.
    OverloadBegan(Outlooks),
    /// Log that no flow has been deferred for a while.
    OverloadEnded {
        /// Time from the first to the last pass that deferred flows, in milliseconds.
        lasted_ms: u64,
    },
    /// Log that a queue has used a whole share more than its own within the window while others waited.
    QueueInDebt {
        /// Name of the queue.
        queue: String,
        /// Its debt, in percent of its share.
        debt_percent: u64,
        /// Mean part of the pool that it used within the window, in percent.
        share_percent: u64,
    },
    /// Log that such a queue has no debt any more, or is no longer configured.
    QueueDebtPaid {
        /// Name of the queue.
        queue: String,
        /// Time since its debt was logged, in milliseconds.
        lasted_ms: u64,
    },
    /// Count what became of a duplicate.
    Duplicate(DuplicateOutcome),
    /// Count where a task was placed that is faster near its data or its gang.
    LocalityChosen(LocalityOutcome),
    /// Count what became of a preemption.
    Preemption(PreemptionOutcome),
    /// Log that this agent's worker is slow or has recovered.
    SpeedChanged(AgentId, SpeedChange),
    /// Log a decision.
    Decided(Decision),
}

/// What became of a duplicate. Each that started has exactly one of the other outcomes, unless the
/// scheduler changes in between.
///
/// ```
/// assert_eq!(flow::DuplicateOutcome::Won.to_string(), "won");
/// ```
#[derive(Debug, Clone, Copy, PartialEq, Eq, strum::Display, strum::IntoStaticStr)]
#[strum(serialize_all = "kebab-case")]
pub enum DuplicateOutcome {
    /// It was placed.
    Started,
    /// It succeeded first, or took the place of the first run, which failed or was lost.
    Won,
    /// The first run succeeded before it.
    Lost,
    /// It failed, was lost, refused or stopped without its task having succeeded in the first run.
    Stopped,
}

/// How an ordered pace differs from the one that was ordered before.
///
/// ```
/// assert_eq!(flow::PaceDirection::Halted.to_string(), "halted");
/// ```
#[derive(Debug, Clone, Copy, PartialEq, Eq, strum::Display, strum::IntoStaticStr)]
#[strum(serialize_all = "kebab-case")]
pub enum PaceDirection {
    /// It is higher.
    Raised,
    /// It is lower.
    Lowered,
    /// It is 0.
    Halted,
    /// It is the same, as the former order may not have been carried out.
    Repeated,
}

impl PaceDirection {
    /// Direction from one pace to another, in percent of the full pace.
    ///
    /// ```
    /// use flow::PaceDirection;
    /// assert_eq!(PaceDirection::between(50, 60), PaceDirection::Raised);
    /// assert_eq!(PaceDirection::between(50, 0), PaceDirection::Halted);
    /// ```
    pub fn between(former_percent: u32, percent: u32) -> Self {
        match percent.cmp(&former_percent) {
            Ordering::Equal => Self::Repeated,
            Ordering::Greater => Self::Raised,
            Ordering::Less if percent == 0 => Self::Halted,
            Ordering::Less => Self::Lowered,
        }
    }
}

/// Reference to a run on a worker.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RunRef {
    /// Agent of the worker.
    pub agent: AgentId,
    /// Incarnation of the worker.
    pub incarnation: Incarnation,
    /// The task.
    pub task: TaskKey,
    /// Number of the run.
    pub run: u32,
}

/// Input of a run.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StartInput {
    /// Payload of the flow.
    pub payload: String,
    /// Checkpoint to resume from; `None` to start from the beginning.
    pub checkpoint: Option<String>,
}

/// A decision about a run, for the log.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Decision {
    /// What was decided.
    pub kind: DecisionKind,
    /// The task.
    pub task: TaskKey,
    /// Number of the run.
    pub run: u32,
    /// Agent of the worker.
    pub agent: AgentId,
    /// Reason or circumstances, as text.
    pub detail: String,
}

/// Kinds of decisions. Their text form is the label of a metric.
///
/// ```
/// assert_eq!(flow::DecisionKind::Lost.to_string(), "gone");
/// assert_eq!(flow::DecisionKind::Orphaned.to_string(), "stray");
/// assert_eq!(flow::DecisionKind::MovedFromSlow.to_string(), "moved-from-slow");
/// ```
#[derive(Debug, Clone, Copy, PartialEq, Eq, strum::Display, strum::IntoStaticStr)]
#[strum(serialize_all = "kebab-case")]
pub enum DecisionKind {
    /// A task was placed on a worker.
    Placed,
    /// A run ended.
    Ended,
    /// A run is known not to exist although no end was reported.
    #[strum(serialize = "gone")]
    Lost,
    /// A start was refused or its outcome is unknown.
    Refused,
    /// A run is stopped because it is not placed where it runs.
    #[strum(serialize = "stray")]
    Orphaned,
    /// A run without progress is stopped, to resume elsewhere.
    Stalled,
    /// A worker gets no new runs for a while.
    Paused,
    /// A flow failed.
    Failed,
    /// The worker crashed so soon after the start of the run that the run may be the cause.
    Suspected,
    /// A run is stopped so that its task goes on elsewhere: a filler that makes little progress beside
    /// latency-critical tasks, or a run in an evacuated failure domain.
    Moved,
    /// A placement is taken back before its start was sent, as its failure domain is evacuated.
    Revoked,
    /// A slow run gets a duplicate, which is placed.
    Duplicated,
    /// A task that waited for a worker near its data or its gang is placed elsewhere.
    GaveUpNear,
    /// A task is moved away from a slow worker.
    MovedFromSlow,
    /// A run is stopped to make room for a more urgent task, and its task is queued again.
    Preempted,
    /// The run of a preempted task has not ended although its stop was ordered a while ago.
    PreemptionLate,
}
