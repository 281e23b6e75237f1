//! What a caller states of a flow: steps of tasks that depend on each other.

use model::Resources;
use serde::{Deserialize, Serialize};
use std::fmt;

/// What a caller states of a flow.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct FlowSpec {
    /// Text handed to each task.
    pub payload: String,
    /// Steps, in an order in which each depends only on earlier ones.
    pub steps: Vec<StepSpec>,
    /// When the steps run again and again; absent if they run once, at once.
    pub schedule: Option<Schedule>,
}

/// Occurrences of a recurring flow.
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
    /// What one task is declared to need.
    pub need: Resources,
    /// Rough run time of one task, in milliseconds.
    pub estimate_ms: u64,
    /// Steps whose tasks must all have succeeded first.
    pub after: Vec<u32>,
    /// Whether tasks write checkpoints.
    pub saves_progress: bool,
    /// Whether the tasks only work together.
    pub gang: bool,
    /// Whether the tasks are slower on more than one rack.
    pub same_rack: bool,
    /// Label that a worker must have.
    pub label: Option<String>,
    /// Rack near which the tasks are faster.
    pub data_rack: Option<String>,
    /// Most tasks of the step on one worker.
    pub max_per_worker: Option<u32>,
    /// Whether two copies of a task may run at once.
    pub duplicates_allowed: bool,
    /// Whether tasks run until the flow is cancelled.
    pub long_running: bool,
    /// What the tasks run; tasks of one image behave alike.
    pub image: Option<String>,
    /// Tail latency that the tasks owe their own callers, in milliseconds.
    pub latency_target_ms: Option<u32>,
    /// Whether the tasks take only processors that others leave over.
    pub filler: bool,
    /// Long-running tasks that may be away at once through the scheduler's own actions.
    pub disruption_budget: Option<u32>,
}

impl StepSpec {
    /// What a task takes of a worker's capacity; a filler takes no processors of it.
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
            schedule.first_wall_ms + u64::from(occurrence) * schedule.interval_ms
        })
    }

    /// Whether a step lasts until the flow is cancelled.
    ///
    /// ```
    /// assert!(!flow::FlowSpec::default().is_long_running());
    /// ```
    pub fn is_long_running(&self) -> bool {
        self.steps.iter().any(|step| step.long_running)
    }

    /// The longest chain of declared run times through the steps, in milliseconds.
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
            ends.push(begin + step.estimate_ms);
        }
        ends.into_iter().max().unwrap_or(0)
    }

    /// Why the steps can't be run as stated, if they can't.
    ///
    /// ```
    /// use flow::{FlowSpec, StepSpec};
    /// assert!(FlowSpec::default().fault().is_some());
    /// let step = StepSpec { tasks: 1, ..Default::default() };
    /// assert_eq!(FlowSpec { steps: vec![step], ..Default::default() }.fault(), None);
    /// ```
    pub fn fault(&self) -> Option<SpecFault> {
        if self.steps.is_empty() {
            return Some(SpecFault::NoSteps);
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

/// The steps in short: number of tasks, processors in thousandths, declared run time, flags.
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

/// Why a flow can't be run as stated.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum SpecFault {
    /// There is nothing to run.
    #[error("steps: is empty")]
    NoSteps,
    /// A step has no tasks.
    #[error("steps[{0}]: has no tasks")]
    NoTasks(usize),
    /// A step depends on itself or on a later one.
    #[error("steps[{0}]: depends on a step that does not come before it")]
    Order(usize),
}
