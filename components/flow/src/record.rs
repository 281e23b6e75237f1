//! Record of a flow's progress, as stored in the table.

use crate::{
    CrashCount, FlowState, Incarnation, OccurrenceState, Placement, RunStage, StepState, TaskKey,
    TaskState,
};
use model::AgentId;
use serde::{Deserialize, Serialize};

/// Progress of one flow. Field names are short because the record is written with each change.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct FlowRecord {
    /// Whether the flow failed.
    #[serde(rename = "f", default)]
    failed: bool,
    /// Incarnations of workers that tasks refer to by index: agent, worker, start of the
    /// incarnation.
    #[serde(rename = "w", default)]
    workers: Vec<(AgentId, String, u64)>,
    /// Tasks by occurrence, step and index; `None` for a task that was never placed.
    #[serde(rename = "o", default)]
    occurrences: Vec<Vec<Vec<Option<TaskRecord>>>>,
    /// Tasks under which workers have crashed. Former versions ignore this field.
    #[serde(rename = "c", default, skip_serializing_if = "Vec::is_empty")]
    crashes: Vec<CrashRecord>,
}

/// Crashes of workers under one task.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
struct CrashRecord(
    /// Occurrence of the task.
    u32,
    /// Step of the task.
    u32,
    /// Index of the task.
    u32,
    /// Crashes soon after a start.
    u32,
    /// Those of them after a start alone.
    u32,
    /// All crashes.
    u32,
);

/// Progress of one task.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
struct TaskRecord(
    /// Number of the newest run.
    u32,
    /// Number of failed runs.
    u32,
    /// Whether a run succeeded.
    bool,
    /// Newest checkpoint; `None` also once a run succeeded.
    Option<String>,
    /// Index into `workers` of the worker that has the newest run; `None` unless it is placed.
    Option<u32>,
);

impl FlowRecord {
    /// Creates the record of a flow's present state.
    pub fn of(state: &FlowState) -> Self {
        let mut record = Self {
            failed: state.failed,
            crashes: crash_records(state),
            ..Self::default()
        };
        for occurrence in &state.occurrences {
            let steps = if occurrence.is_released() {
                let specs = state.job.spec.steps.iter();
                specs.map(|spec| done_records(spec.tasks)).collect()
            } else {
                let steps = occurrence.steps.iter();
                steps.map(|step| record.step_records(step)).collect()
            };
            record.occurrences.push(steps);
        }
        record
    }

    /// Records of the tasks of a step, by index; `None` for a task that was never placed. Tasks
    /// without a state have no record.
    fn step_records(&mut self, step: &StepState) -> Vec<Option<TaskRecord>> {
        if step.is_released {
            return done_records(step.count);
        }
        step.tasks
            .iter()
            .map(|task| self.task_record(task))
            .collect()
    }

    /// Record of a task, or `None` if it was never placed.
    fn task_record(&mut self, task: &TaskState) -> Option<TaskRecord> {
        if task.run == 0 {
            return None;
        }
        let worker = task.placement.as_ref().map(|placement| {
            let Incarnation { worker, born_ms } = &placement.incarnation;
            self.worker_index(&placement.agent, worker, *born_ms)
        });
        let checkpoint = task.checkpoint.clone().filter(|_| !task.done);
        Some(TaskRecord(
            task.run,
            task.failures,
            task.done,
            checkpoint,
            worker,
        ))
    }

    /// Index of a worker's incarnation in `workers`; adds the incarnation if it is new.
    fn worker_index(&mut self, agent: &AgentId, worker: &str, born_ms: u64) -> u32 {
        let is_same = |known: &(AgentId, String, u64)| {
            known.0 == *agent && known.1 == worker && known.2 == born_ms
        };
        let found = self.workers.iter().position(is_same);
        let index = found.unwrap_or_else(|| {
            self.workers
                .push((agent.clone(), worker.to_owned(), born_ms));
            self.workers.len() - 1
        });
        index as u32
    }

    /// Applies the record to the state of a flow that was just read from the table. The runs in it
    /// are unconfirmed, because a former scheduler ordered them.
    pub fn restore(&self, state: &mut FlowState, now_ms: u64) {
        state.failed |= self.failed;
        for (number, steps) in self.occurrences.iter().enumerate() {
            let mut occurrence = OccurrenceState::new(&state.job.spec);
            for (step, tasks) in occurrence.steps.iter_mut().zip(steps) {
                for (index, record) in tasks.iter().enumerate() {
                    let Some(record) = record else {
                        continue;
                    };
                    if let Some(task) = step.task_mut(index as u32) {
                        *task = self.restored_task(record, now_ms);
                        state.started = true;
                    }
                }
            }
            occurrence.release_if_done();
            if number < state.occurrences.len() {
                state.occurrences[number] = occurrence;
            } else {
                state.occurrences.push(occurrence);
            }
        }
        for CrashRecord(occurrence, step, index, soon, alone, total) in &self.crashes {
            let key = TaskKey {
                job: state.job.id.clone(),
                occurrence: *occurrence,
                step: *step,
                index: *index,
            };
            if let Some(task) = state.task_mut(&key) {
                task.crashes = CrashCount {
                    soon: *soon,
                    alone: *alone,
                    total: *total,
                };
            }
        }
    }

    /// State of a task from its record.
    fn restored_task(&self, record: &TaskRecord, now_ms: u64) -> TaskState {
        let TaskRecord(run, failures, done, checkpoint, worker) = record;
        let worker = worker.and_then(|index| self.workers.get(index as usize));
        let placement = worker.map(|(agent, worker, born_ms)| Placement {
            agent: agent.clone(),
            incarnation: Incarnation {
                worker: worker.clone(),
                born_ms: *born_ms,
            },
            stage: RunStage::Unconfirmed,
            revision: 0,
            percent: 0,
            progress_ms: now_ms,
            pace: 100,
            pace_changed_ms: 0,
        });
        TaskState {
            run: *run,
            failures: *failures,
            crashes: CrashCount::default(),
            done: *done,
            checkpoint: checkpoint.clone(),
            placement,
            avoided_agent: None,
            not_before_ms: 0,
        }
    }
}

/// Records of a step whose tasks are all done.
fn done_records(tasks: u32) -> Vec<Option<TaskRecord>> {
    let done = TaskRecord(1, 0, true, None, None);
    vec![Some(done); tasks as usize]
}

/// Records of the tasks under which workers have crashed.
fn crash_records(state: &FlowState) -> Vec<CrashRecord> {
    let crashed = state
        .tasks()
        .filter(|(_, task)| task.crashes != CrashCount::default() && !task.done);
    crashed
        .map(|(key, task)| {
            let CrashCount { soon, alone, total } = task.crashes;
            CrashRecord(key.occurrence, key.step, key.index, soon, alone, total)
        })
        .collect()
}
