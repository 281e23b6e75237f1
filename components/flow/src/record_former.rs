//! Tasks in a record of a former version, which kept a row for each task that ever ran.

use crate::{Placement, TaskState};
use serde::{Deserialize, Serialize};

/// Tasks by occurrence, step and index; `None` for a task that was never placed.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(transparent)]
pub(crate) struct FormerTasks(Vec<Vec<Vec<Option<FormerTask>>>>);

/// Progress of one task.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct FormerTask(
    /// Number of the newest run.
    u32,
    /// Number of failed runs.
    u32,
    /// Whether a run succeeded.
    bool,
    /// Newest checkpoint; `None` also once a run succeeded.
    Option<String>,
    /// Index of the worker that has the newest run; `None` unless it is placed.
    Option<u32>,
);

impl FormerTasks {
    /// Number of activated occurrences.
    pub fn activated(&self) -> u32 {
        self.0.len() as u32
    }

    /// Tasks that were placed, each with its occurrence, step and index.
    pub fn tasks(&self) -> impl Iterator<Item = (usize, usize, usize, &FormerTask)> {
        let occurrences = self.0.iter().enumerate();
        let steps = occurrences.flat_map(|(occurrence, steps)| {
            let steps = steps.iter().enumerate();
            steps.map(move |(step, tasks)| (occurrence, step, tasks))
        });
        steps.flat_map(|(occurrence, step, tasks)| {
            let tasks = tasks.iter().enumerate();
            tasks.filter_map(move |(index, task)| Some((occurrence, step, index, task.as_ref()?)))
        })
    }
}

impl FormerTask {
    /// Index of the worker that has the newest run; `None` unless it is placed.
    pub fn worker(&self) -> Option<u32> {
        self.4
    }

    /// Number of the newest run.
    pub fn run(&self) -> u32 {
        self.0
    }

    /// State of the task with this placement.
    pub fn restored(&self, placement: Option<Placement>) -> TaskState {
        let Self(run, failures, done, checkpoint, _) = self;
        TaskState {
            run: *run,
            failures: *failures,
            done: *done,
            checkpoint: checkpoint.clone(),
            placement,
            ..TaskState::default()
        }
    }
}
