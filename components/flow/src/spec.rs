//! Specification of a flow by its caller: steps of tasks that depend on each other.

use crate::{FlowLimits, LimitExceeded};
use model::Resources;
use serde::{Deserialize, Serialize};
use std::fmt;

/// Specification of a flow by its caller.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct FlowSpec {
    /// Payload that each task gets.
    pub payload: String,
    /// Steps, in an order in which each depends only on earlier ones.
    pub steps: Vec<StepSpec>,
    /// Schedule of a recurring flow; `None` if the steps run once, as soon as possible.
    pub schedule: Option<Schedule>,
}

/// Schedule of a recurring flow.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Schedule {
    /// When the first occurrence is due, in milliseconds since the Unix epoch.
    pub first_wall_ms: u64,
    /// Time between two occurrences, in milliseconds.
    pub interval_ms: u64,
    /// Number of occurrences.
    pub occurrences: u32,
}

/// One step of a flow.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct StepSpec {
    /// Number of tasks.
    pub tasks: u32,
    /// Declared resources of one task.
    pub need: Resources,
    /// Declared run time of one task, in milliseconds; an estimate.
    pub estimate_ms: u64,
    /// Numbers of the steps whose tasks must all have succeeded first.
    pub after: Vec<u32>,
    /// Whether tasks write checkpoints.
    pub saves_progress: bool,
    /// Whether the tasks form a gang: all run at once, or none.
    pub gang: bool,
    /// Whether the tasks are slower on more than one rack.
    pub same_rack: bool,
    /// Label that a worker must have.
    pub label: Option<String>,
    /// Rack that holds the data of the tasks; they are faster there.
    pub data_rack: Option<String>,
    /// Greatest number of tasks of the step on one worker; `None` for no limit.
    pub max_per_worker: Option<u32>,
    /// Whether two copies of a task may run at once.
    pub duplicates_allowed: bool,
    /// Whether tasks run until the flow is cancelled.
    pub long_running: bool,
    /// Image that the tasks run; tasks of one image behave alike.
    pub image: Option<String>,
    /// Target of the tail latency of latency-critical tasks, in milliseconds; `None` for others.
    pub latency_target_ms: Option<u32>,
    /// Whether the tasks are fillers, which use only spare processors.
    pub filler: bool,
    /// Greatest number of long-running tasks that the scheduler's own actions may interrupt at
    /// once.
    pub disruption_budget: Option<u32>,
}

impl StepSpec {
    /// Resources that a task reserves on a worker; a filler reserves no processors.
    ///
    /// ```
    /// use model::Resources;
    /// let need = Resources::new(500, 64, 0);
    /// let filler = flow::StepSpec { need, filler: true, ..Default::default() };
    /// assert_eq!(filler.reserved(), Resources::new(0, 64, 0));
    /// ```
    pub fn reserved(&self) -> Resources {
        let processors_milli = if self.filler {
            0
        } else {
            self.need.processors_milli
        };
        Resources {
            processors_milli,
            ..self.need
        }
    }
}

impl FlowSpec {
    /// Number of occurrences; 1 for a flow that runs once.
    ///
    /// ```
    /// assert_eq!(flow::FlowSpec::default().occurrences(), 1);
    /// ```
    pub fn occurrences(&self) -> u32 {
        self.schedule.map_or(1, |schedule| schedule.occurrences)
    }

    /// When an occurrence is due, in milliseconds since the Unix epoch; 0 for a flow without
    /// schedule.
    ///
    /// ```
    /// assert_eq!(flow::FlowSpec::default().due_wall_ms(0), 0);
    /// ```
    pub fn due_wall_ms(&self, occurrence: u32) -> u64 {
        self.schedule.map_or(0, |schedule| {
            let after_ms = u64::from(occurrence).saturating_mul(schedule.interval_ms);
            schedule.first_wall_ms.saturating_add(after_ms)
        })
    }

    /// Number of tasks of all steps together, in one occurrence.
    ///
    /// ```
    /// use flow::{FlowSpec, StepSpec};
    /// let step = StepSpec { tasks: u32::MAX, ..Default::default() };
    /// let spec = FlowSpec { steps: vec![step.clone(), step], ..Default::default() };
    /// assert_eq!(spec.tasks(), 2 * u64::from(u32::MAX));
    /// ```
    pub fn tasks(&self) -> u64 {
        self.steps.iter().map(|step| u64::from(step.tasks)).sum()
    }

    /// Whether any step is long-running, that is, runs until the flow is cancelled.
    ///
    /// ```
    /// assert!(!flow::FlowSpec::default().is_long_running());
    /// ```
    pub fn is_long_running(&self) -> bool {
        self.steps.iter().any(|step| step.long_running)
    }

    /// Longest chain of declared run times through dependent steps, in milliseconds.
    ///
    /// ```
    /// use flow::{FlowSpec, StepSpec};
    /// let first = StepSpec { estimate_ms: 100, ..Default::default() };
    /// let second = StepSpec { estimate_ms: 50, after: vec![0], ..Default::default() };
    /// let spec = FlowSpec { steps: vec![first, second], ..Default::default() };
    /// assert_eq!(spec.chain_ms(), 150);
    /// ```
    pub fn chain_ms(&self) -> u64 {
        let mut ends: Vec<u64> = Vec::with_capacity(self.steps.len());
        for step in &self.steps {
            let before = step.after.iter().filter_map(|at| ends.get(*at as usize));
            let begin = before.copied().max().unwrap_or(0);
            ends.push(begin.saturating_add(step.estimate_ms));
        }
        ends.into_iter().max().unwrap_or(0)
    }

    /// First fault of the specification, or `None` if it is valid and within `limits`.
    ///
    /// ```
    /// use flow::{FlowLimits, FlowSpec, StepSpec};
    /// let limits = FlowLimits::default();
    /// assert!(FlowSpec::default().fault(&limits).is_some());
    /// let step = StepSpec { tasks: 1, ..Default::default() };
    /// assert_eq!(FlowSpec { steps: vec![step], ..Default::default() }.fault(&limits), None);
    /// ```
    pub fn fault(&self, limits: &FlowLimits) -> Option<SpecFault> {
        if self.steps.is_empty() {
            return Some(SpecFault::NoSteps);
        }
        if let Err(exceeded) = limits.check_spec(self) {
            return Some(SpecFault::Limit(exceeded));
        }
        if self.due_wall_ms(self.occurrences().saturating_sub(1)) == u64::MAX {
            return Some(SpecFault::NeverDue);
        }
        let numbered = self.steps.iter().enumerate();
        for (number, step) in numbered {
            if step.tasks == 0 {
                return Some(SpecFault::NoTasks(number));
            }
            if step.after.iter().any(|at| *at as usize >= number) {
                return Some(SpecFault::Order(number));
            }
        }
        None
    }
}

/// Summary of the steps: number of tasks, processors in thousandths, declared run time and flags.
impl fmt::Display for FlowSpec {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (number, step) in self.steps.iter().enumerate() {
            let space = if number == 0 { "" } else { " " };
            let flags = [
                (step.filler, "filler"),
                (step.long_running, "long-running"),
                (step.gang, "gang"),
                (step.saves_progress, "saves"),
                (step.duplicates_allowed, "duplicates"),
            ];
            let set = flags.iter().filter(|(is_set, _)| *is_set);
            let set: Vec<&str> = set.map(|(_, name)| *name).collect();
            let (tasks, milli) = (step.tasks, step.need.processors_milli);
            let estimate_ms = step.estimate_ms;
            write!(
                out,
                "{space}{tasks}x{milli}m~{estimate_ms}ms[{}]",
                set.join(",")
            )?;
            if let Some(limit) = step.max_per_worker {
                write!(out, "^{limit}")?;
            }
            if let Some(image) = &step.image {
                write!(out, "@{image}")?;
            }
        }
        Ok(())
    }
}

/// A fault of a flow specification.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum SpecFault {
    /// The flow has no steps.
    #[error("steps: is empty")]
    NoSteps,
    /// A step, given by its number, has no tasks.
    #[error("steps[{0}]: has no tasks")]
    NoTasks(usize),
    /// A step, given by its number, depends on itself or on a later one.
    #[error("steps[{0}]: depends on a step that does not come before it")]
    Order(usize),
    /// The flow asks for more than a limit allows.
    #[error(transparent)]
    Limit(LimitExceeded),
    /// The time at which the last occurrence is due can't be represented.
    #[error("schedule: the last occurrence is never due")]
    NeverDue,
}
