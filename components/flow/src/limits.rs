//! Limits on what one flow may ask for. They hold before anything is stored or allocated.

use crate::{FlowJob, FlowSpec};
use std::fmt;

/// Longest declared run time of a task, in milliseconds: one year.
const MAX_ESTIMATE_MS: u64 = 365 * 24 * 3_600 * 1_000;

/// Limits on what one flow may ask for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct FlowLimits {
    /// Number of steps.
    pub steps: u32,
    /// Number of tasks of all steps together, in one occurrence.
    pub tasks: u32,
    /// Number of occurrences.
    pub occurrences: u32,
    /// Size of the accepted flow in the table, in bytes.
    pub job_bytes: u32,
}

impl FlowLimits {
    /// The greatest limits that can be set. A scheduler takes any flow within them, as the entry
    /// that accepted the flow may have had greater limits than its own.
    pub const MAX: Self = Self {
        steps: 256,
        tasks: 40_000,
        occurrences: 100_000,
        job_bytes: 1_000_000,
    };
}

/// Limits that hold unless others are set.
///
/// ```
/// assert_eq!(flow::FlowLimits::default().tasks, 10_000);
/// ```
impl Default for FlowLimits {
    fn default() -> Self {
        Self {
            steps: 64,
            tasks: 10_000,
            occurrences: 10_000,
            job_bytes: 48_000,
        }
    }
}

/// What a limit of [`FlowLimits`] counts.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LimitedField {
    /// Steps of the flow.
    Steps,
    /// Steps that a step, given by its number, depends on.
    Dependencies(usize),
    /// Tasks of a step, given by its number.
    StepTasks(usize),
    /// Tasks of all steps together.
    Tasks,
    /// Occurrences of the flow.
    Occurrences,
    /// Declared run time of a task of a step, given by its number, in milliseconds.
    EstimateMs(usize),
    /// Size of the accepted flow in the table, in bytes.
    JobBytes,
}

impl fmt::Display for LimitedField {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Steps => write!(out, "steps"),
            Self::Dependencies(step) => write!(out, "steps[{step}].after"),
            Self::StepTasks(step) => write!(out, "steps[{step}].tasks"),
            Self::Tasks => write!(out, "tasks of all steps"),
            Self::Occurrences => write!(out, "schedule.occurrences"),
            Self::EstimateMs(step) => write!(out, "steps[{step}].estimate_ms"),
            Self::JobBytes => write!(out, "bytes of the job"),
        }
    }
}

/// A flow that asks for more than a limit allows.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
#[error("{field}: {asked} exceeds the limit of {limit}")]
pub struct LimitExceeded {
    /// What the limit counts.
    pub field: LimitedField,
    /// The limit.
    pub limit: u64,
    /// What the flow asks for.
    pub asked: u64,
}

/// Fails if `asked` exceeds `limit`.
fn check(field: LimitedField, asked: u64, limit: u64) -> Result<(), LimitExceeded> {
    if asked > limit {
        return Err(LimitExceeded {
            field,
            limit,
            asked,
        });
    }
    Ok(())
}

impl FlowLimits {
    /// Checks a specification in time that is proportional to its size, and without allocations.
    ///
    /// # Errors
    /// The first limit that the specification exceeds.
    ///
    /// ```
    /// use flow::{FlowLimits, FlowSpec, StepSpec};
    /// let step = StepSpec { tasks: 2_000_000, ..Default::default() };
    /// let spec = FlowSpec { steps: vec![step], ..Default::default() };
    /// let exceeded = FlowLimits::default().check_spec(&spec).unwrap_err();
    /// assert_eq!(exceeded.to_string(), "steps[0].tasks: 2000000 exceeds the limit of 10000");
    /// ```
    pub fn check_spec(&self, spec: &FlowSpec) -> Result<(), LimitExceeded> {
        let (steps, tasks) = (u64::from(self.steps), u64::from(self.tasks));
        check(LimitedField::Steps, spec.steps.len() as u64, steps)?;
        let occurrences = u64::from(spec.occurrences());
        let limit = u64::from(self.occurrences);
        check(LimitedField::Occurrences, occurrences, limit)?;
        for (number, step) in spec.steps.iter().enumerate() {
            let dependencies = step.after.len() as u64;
            check(LimitedField::Dependencies(number), dependencies, steps)?;
            check(LimitedField::StepTasks(number), step.tasks.into(), tasks)?;
            let field = LimitedField::EstimateMs(number);
            check(field, step.estimate_ms, MAX_ESTIMATE_MS)?;
        }
        check(LimitedField::Tasks, spec.tasks(), tasks)
    }

    /// Checks a flow: its specification, and its size in the table.
    ///
    /// # Errors
    /// The first limit that the flow exceeds.
    pub fn check_job(&self, job: &FlowJob) -> Result<(), LimitExceeded> {
        self.check_spec(&job.spec)?;
        let size_bytes = job.size_bytes();
        check(LimitedField::JobBytes, size_bytes, self.job_bytes.into())
    }
}
