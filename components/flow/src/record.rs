//! Record of a flow's progress, as stored in the table.
//!
//! Its size depends on the tasks that have been placed and are not done, and hardly on those that
//! are done: finished occurrences, and finished tasks of a step, are stored as ranges.

use crate::preempted::PreemptionRecord;
use crate::ranges::Ranges;
use crate::record_former::FormerTasks;
use crate::{
    CrashCount, FlowState, GangFailures, Incarnation, OccurrenceState, Placement, RunStage,
    StepState, TaskKey, TaskState,
};
use model::AgentId;
use serde::{Deserialize, Serialize};

/// Number of the newest run of a task that is restored as done. Such a task is not started again,
/// so that its number of runs is not recorded.
const RUN_OF_DONE: u32 = 1;

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
    /// Number of activated occurrences.
    #[serde(rename = "n", default)]
    activated: u32,
    /// Occurrences of which every task is done.
    #[serde(rename = "d", default)]
    finished: Ranges,
    /// Steps of other occurrences of which any task was placed.
    #[serde(rename = "s", default)]
    steps: Vec<StepRecord>,
    /// Tasks under which workers have crashed.
    #[serde(rename = "c", default, skip_serializing_if = "Vec::is_empty")]
    crashes: Vec<CrashRecord>,
    /// Runs of tasks that have, or had, a duplicate. Versions without duplicates don't read them.
    #[serde(rename = "p", default, skip_serializing_if = "Vec::is_empty")]
    duplicates: Vec<RunsRecord>,
    /// Tasks that were preempted and are not done. Versions without preemption don't read them.
    #[serde(rename = "v", default, skip_serializing_if = "Vec::is_empty")]
    preemptions: Vec<PreemptionRecord>,
    /// Gangs of which a run has failed. Former versions don't read them.
    #[serde(rename = "g", default, skip_serializing_if = "Vec::is_empty")]
    gangs: Vec<GangRecord>,
    /// Tasks as former versions recorded them; read, and never written.
    #[serde(rename = "o", default, skip_serializing)]
    former: FormerTasks,
}

/// Progress of one step of an occurrence.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
struct StepRecord(
    /// Occurrence of the step.
    u32,
    /// Number of the step.
    u32,
    /// Tasks that are done and not placed.
    Ranges,
    /// Other tasks that were placed at least once.
    Vec<TaskRecord>,
);

/// Progress of a task that was placed and is not done, or that still has a placement.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
struct TaskRecord(
    /// Index of the task.
    u32,
    /// Number of the newest placed run, or of the newest one if none is placed.
    u32,
    /// Number of failed runs.
    u32,
    /// Whether a run succeeded.
    bool,
    /// Newest checkpoint; `None` also once a run succeeded.
    Option<String>,
    /// Index into `workers` of the worker that has the newest placed run; `None` unless one is placed.
    Option<u32>,
);

/// Runs of a task that has, or had, a duplicate, beyond what its [`TaskRecord`] holds. That is about the
/// duplicate, so that a version without duplicates starts no further run while it may run.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
struct RunsRecord(
    /// Occurrence of the task.
    u32,
    /// Step of the task.
    u32,
    /// Index of the task.
    u32,
    /// Number of the newest run, whether it is placed or not.
    u32,
    /// Number of the first run, and the index into `workers` of its worker; `None` unless the task has
    /// a duplicate now.
    Option<(u32, u32)>,
);

/// Failed runs of a gang.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
struct GangRecord(
    /// Occurrence of the gang's step.
    u32,
    /// Number of the step.
    u32,
    /// Number of failed runs.
    u32,
    /// Number of the newest of them.
    u32,
);

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

impl FlowRecord {
    /// Creates the record of a flow that failed, without its tasks. A scheduler that restores it stops
    /// the runs that are left.
    pub fn failed() -> Self {
        Self {
            failed: true,
            ..Self::default()
        }
    }

    /// Creates the record of a flow's present state.
    pub fn of(state: &FlowState) -> Self {
        let mut record = Self {
            failed: state.failed,
            activated: state.occurrences.len() as u32,
            finished: state.occurrences.iter().map(is_finished).collect(),
            crashes: crash_records(state),
            gangs: gang_records(state),
            ..Self::default()
        };
        let numbered = state.occurrences.iter().enumerate();
        for (number, occurrence) in numbered.filter(|(_, state)| !is_finished(state)) {
            record.add_steps(number as u32, occurrence);
        }
        record
    }

    /// Adds the numbers of preemptions of the flow's tasks, which the scheduler holds.
    pub(crate) fn with_preemptions(self, preemptions: Vec<PreemptionRecord>) -> Self {
        Self {
            preemptions,
            ..self
        }
    }

    /// Numbers of preemptions of the flow's tasks.
    pub(crate) fn preemptions(&self) -> &[PreemptionRecord] {
        &self.preemptions
    }

    /// Adds the steps of an occurrence of which any task was placed.
    fn add_steps(&mut self, occurrence: u32, state: &OccurrenceState) {
        for (number, step) in state.steps.iter().enumerate() {
            let done = settled_tasks(step);
            let numbered = step.tasks.iter().enumerate();
            let open = numbered.filter(|(_, task)| task.run > 0 && !is_settled(task));
            let tasks: Vec<TaskRecord> = open
                .map(|(index, task)| self.task_record(index as u32, task))
                .collect();
            self.add_runs(occurrence, number as u32, step);
            if !done.is_empty() || !tasks.is_empty() {
                let record = StepRecord(occurrence, number as u32, done, tasks);
                self.steps.push(record);
            }
        }
    }

    /// Adds the runs of a step's tasks that a [`TaskRecord`] does not hold.
    fn add_runs(&mut self, occurrence: u32, number: u32, step: &StepState) {
        for (index, task) in step.tasks.iter().enumerate() {
            let Some(first) = &task.placement else {
                continue;
            };
            let has_duplicate = task.duplicate.is_some();
            if !has_duplicate && first.run == task.run {
                continue;
            }
            let first = has_duplicate.then(|| (first.run, self.worker_of(first)));
            let record = RunsRecord(occurrence, number, index as u32, task.run, first);
            self.duplicates.push(record);
        }
    }

    /// Record of a task that was placed.
    fn task_record(&mut self, index: u32, task: &TaskState) -> TaskRecord {
        let newest = task.placements().last();
        let worker = newest.map(|placement| self.worker_of(placement));
        let checkpoint = task.checkpoint.clone().filter(|_| !task.done);
        TaskRecord(
            index,
            newest.map_or(task.run, |placement| placement.run),
            task.failures,
            task.done,
            checkpoint,
            worker,
        )
    }

    /// Index of a placement's worker in `workers`, to which it is added if it is new.
    fn worker_of(&mut self, placement: &Placement) -> u32 {
        let Incarnation { worker, born_ms } = &placement.incarnation;
        self.worker_index(&placement.agent, worker, *born_ms)
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
        let activated = self.activated.max(self.former.activated());
        let activated = activated.min(state.job.spec.occurrences()) as usize;
        while state.occurrences.len() < activated {
            let occurrence = OccurrenceState::new(&state.job.spec);
            state.occurrences.push(occurrence);
        }
        for number in self.finished.below(activated) {
            state.occurrences[number] = OccurrenceState::default();
            state.started = true;
        }
        for step in &self.steps {
            self.restore_step(state, now_ms, step);
        }
        self.restore_former(state, now_ms);
        self.restore_duplicates(state, now_ms);
        self.restore_gangs(state);
        state.release_done_steps();
        self.restore_crashes(state);
    }

    /// Applies the record of a step.
    fn restore_step(&self, state: &mut FlowState, now_ms: u64, record: &StepRecord) {
        let StepRecord(occurrence, step, done, open) = record;
        let occurrence = state.occurrences.get_mut(*occurrence as usize);
        let step = occurrence.and_then(|occurrence| occurrence.steps.get_mut(*step as usize));
        let Some(step) = step else {
            return;
        };
        state.started = true;
        for index in done.below(step.count as usize) {
            if let Some(task) = step.task_mut(index as u32) {
                *task = done_task();
            }
        }
        for TaskRecord(index, run, failures, done, checkpoint, worker) in open {
            let Some(task) = step.task_mut(*index) else {
                continue;
            };
            *task = TaskState {
                run: *run,
                failures: *failures,
                done: *done,
                checkpoint: checkpoint.clone(),
                placement: self.restored_placement(*worker, *run, now_ms),
                ..TaskState::default()
            };
        }
    }

    /// Applies the tasks that a former version recorded.
    fn restore_former(&self, state: &mut FlowState, now_ms: u64) {
        for (occurrence, step, index, former) in self.former.tasks() {
            let occurrence = state.occurrences.get_mut(occurrence);
            let step = occurrence.and_then(|occurrence| occurrence.steps.get_mut(step));
            if let Some(task) = step.and_then(|step| step.task_mut(index as u32)) {
                let placement = self.restored_placement(former.worker(), former.run(), now_ms);
                *task = former.restored(placement);
                state.started = true;
            }
        }
    }

    /// Applies the runs of tasks that have, or had, a duplicate.
    fn restore_duplicates(&self, state: &mut FlowState, now_ms: u64) {
        for RunsRecord(occurrence, step, index, newest_run, first) in &self.duplicates {
            let key = TaskKey {
                job: state.job.id.clone(),
                occurrence: *occurrence,
                step: *step,
                index: *index,
            };
            let Some(task) = state.task_mut(&key) else {
                continue;
            };
            task.run = task.run.max(*newest_run);
            let first = first
                .and_then(|(run, worker)| self.restored_placement(Some(worker), run, now_ms))
                .filter(|first| task.placement_on(&first.agent).is_none());
            if let Some(first) = first {
                task.duplicate = task.placement.replace(first).map(Box::new);
            }
        }
    }

    /// Applies the failed runs of gangs.
    fn restore_gangs(&self, state: &mut FlowState) {
        state.restore_gang_failures();
        for GangRecord(occurrence, step, runs, last_run) in &self.gangs {
            let (runs, last_run) = (*runs, *last_run);
            let failures = GangFailures { runs, last_run };
            state.gang_failures.insert((*occurrence, *step), failures);
        }
    }

    /// Applies the crashes under tasks.
    fn restore_crashes(&self, state: &mut FlowState) {
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

    /// Unconfirmed placement of a run on the worker with this index; `None` for a task without a
    /// placement.
    fn restored_placement(&self, worker: Option<u32>, run: u32, now_ms: u64) -> Option<Placement> {
        let worker = worker.and_then(|index| self.workers.get(index as usize));
        worker.map(|(agent, worker, born_ms)| Placement {
            run,
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
            is_pace_known: false,
            pace_changed_ms: 0,
            saved_ms: 0,
        })
    }
}

/// State of a task that is restored as done.
fn done_task() -> TaskState {
    TaskState {
        run: RUN_OF_DONE,
        done: true,
        ..TaskState::default()
    }
}

/// Whether a task is done and has no placement, so that nothing of it can change any more.
fn is_settled(task: &TaskState) -> bool {
    task.done && task.placement.is_none()
}

/// Settled tasks of a step.
fn settled_tasks(step: &StepState) -> Ranges {
    match step.is_released {
        true => (0..step.count).map(|_| true).collect(),
        false => step.tasks.iter().map(is_settled).collect(),
    }
}

/// Whether every task of an occurrence is settled.
fn is_finished(occurrence: &OccurrenceState) -> bool {
    let is_settled_step = |step: &StepState| step.is_done() && step.tasks.iter().all(is_settled);
    occurrence.steps.iter().all(is_settled_step)
}

/// Records of the gangs of which a run has failed.
fn gang_records(state: &FlowState) -> Vec<GangRecord> {
    let failures = state.gang_failures.iter();
    failures
        .map(|((occurrence, step), GangFailures { runs, last_run })| {
            GangRecord(*occurrence, *step, *runs, *last_run)
        })
        .collect()
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
