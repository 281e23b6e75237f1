//! What the scheduler wants done, and what it decided.

use crate::{FlowPhase, Incarnation, PairVerdict, TaskKey};
use model::{AgentId, JobId};

/// Something that the scheduler wants done.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Effect {
    /// Start a run.
    Start(RunRef, StartInput),
    /// Stop a run for good.
    Stop(RunRef),
    /// Change the share at which a run works.
    Pace(RunRef, u32),
    /// Ends of this agent's worker became durable.
    Acknowledge(AgentId),
    /// A flow is over and the table knows.
    Ended(JobId, FlowPhase),
    /// A newer scheduler exists.
    StepDown,
    /// What is known of a pair of images has changed.
    VerdictChanged(VerdictChange),
    /// Something was decided that belongs into the log.
    Decided(Decision),
}

/// A run at a worker.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RunRef {
    /// Agent of the worker.
    pub agent: AgentId,
    /// Life of the worker.
    pub incarnation: Incarnation,
    /// The task.
    pub task: TaskKey,
    /// Number of the run.
    pub run: u32,
}

/// What a started run is given.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StartInput {
    /// Text for the task.
    pub payload: String,
    /// Checkpoint to resume from.
    pub checkpoint: Option<String>,
}

/// A changed verdict about a pair of images, for the log.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct VerdictChange {
    /// Agent of the worker whose report decided it.
    pub agent: AgentId,
    /// Image of the filler.
    pub filler: String,
    /// Image of the task that serves.
    pub serving: String,
    /// The verdict.
    pub verdict: PairVerdict,
}

/// A decision, for the log.
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
    /// What decided it.
    pub detail: String,
}

/// Kinds of decisions.
#[derive(Debug, Clone, Copy, PartialEq, Eq, strum::Display, strum::IntoStaticStr)]
#[strum(serialize_all = "kebab-case")]
pub enum DecisionKind {
    /// A task was placed on a worker.
    Placed,
    /// A run ended.
    Ended,
    /// A run is surely gone without an end.
    #[strum(serialize = "gone")]
    Lost,
    /// A start was refused.
    Refused,
    /// A run that is placed nowhere is stopped.
    #[strum(serialize = "stray")]
    Orphaned,
    /// A run without progress is moved.
    Stalled,
    /// A worker is set aside.
    Paused,
    /// A flow failed for good.
    Failed,
    /// A filler is moved away from tasks that it disturbs.
    Moved,
}
