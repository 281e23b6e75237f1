//! Finds flows of which nothing runs although a task could, and why, for the log.

use crate::{FlowState, RunStage, Scheduler, TaskKey, TaskState, WorkerView};
use model::{AgentId, JobId};
use std::collections::BTreeMap;

/// Time without a run after which a flow counts as waiting, in milliseconds.
const WAITING_AFTER_MS: u64 = 3_000;

/// Most flows and long-running tasks that are watched at once.
const MAX_WATCHED: usize = 1_000;

/// Why a task has no run in progress.
#[derive(Debug, Clone, Copy, PartialEq, Eq, strum::Display, strum::IntoStaticStr)]
#[strum(serialize_all = "kebab-case")]
pub enum WaitCause {
    /// It is placed on a worker that can't be reached and whose leases may not have expired.
    WorkerUnreachable,
    /// It is placed, and its start is not durable, not answered or not confirmed.
    StartUnconfirmed,
    /// It is placed, and its run is being stopped.
    Stopping,
    /// It must not be placed before a certain time.
    Delayed,
    /// A worker reports a run of it that is not placed there.
    Orphaned,
    /// It may crash its worker and waits for one without other new runs.
    Suspect,
    /// It waits for a worker near its data or its gang, although another one could run it.
    NearWorker,
    /// Its queue is not in the configuration.
    NoQueue,
    /// No worker of its pool accepts new runs.
    NoWorker,
    /// Every worker of its pool is in an evacuated failure domain.
    Evacuated,
    /// The requested evacuations were not read recently enough to start anything.
    EvacuationsUnknown,
    /// Every worker of its pool that accepts new runs is kept free for suspects.
    WorkersHeld,
    /// No worker of its pool that accepts new runs is suitable and has room.
    NoRoom,
}

/// A flow of which nothing runs although a task could, or a long-running task that does not run.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct WaitingFlow {
    /// The first such task.
    pub task: TaskKey,
    /// Number of its newest run; 0 before the first.
    pub run: u32,
    /// Why it has no run in progress.
    pub cause: WaitCause,
    /// Agent of the worker that it is placed on or that reports an orphaned run of it.
    pub agent: Option<AgentId>,
    /// Time without a run in progress, in milliseconds.
    pub waited_ms: u64,
}

/// What waits: a whole flow, or one task of a long-running flow.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
enum Waiting {
    Flow(JobId),
    LongRunningTask(TaskKey),
}

/// Finds flows that wait, by observing a scheduler from time to time.
#[derive(Debug, Default)]
pub struct WaitWatch {
    /// When each of those that wait was first seen so, in milliseconds.
    since_ms: BTreeMap<Waiting, u64>,
}

impl WaitWatch {
    /// Flows that have waited for longer than [`WAITING_AFTER_MS`], ordered by identifier; some of them
    /// if there are very many.
    ///
    /// ```
    /// let mut watch = flow::WaitWatch::default();
    /// assert!(watch.observe(1_000, &flow::Scheduler::default()).is_empty());
    /// ```
    pub fn observe(&mut self, now_ms: u64, scheduler: &Scheduler) -> Vec<WaitingFlow> {
        let flows = scheduler.flows();
        let idle: BTreeMap<Waiting, TaskKey> = flows
            .flat_map(|state| scheduler.idle(state))
            .take(MAX_WATCHED)
            .collect();
        self.since_ms
            .retain(|waiting, _| idle.contains_key(waiting));
        let mut waiting = Vec::new();
        for (idle, task) in idle {
            let since_ms = *self.since_ms.entry(idle).or_insert(now_ms);
            let waited_ms = now_ms.saturating_sub(since_ms);
            if waited_ms >= WAITING_AFTER_MS {
                waiting.push(scheduler.waiting_flow(now_ms, task, waited_ms));
            }
        }
        waiting
    }
}

impl Scheduler {
    /// What of a flow has no run in progress on a worker that can be reached although its turn has
    /// come, with the first task concerned.
    fn idle(&self, state: &FlowState) -> Vec<(Waiting, TaskKey)> {
        if state.end().is_some() {
            return Vec::new();
        }
        let ready = ready_tasks(state);
        if state.job.spec.is_long_running() {
            let idle = ready.filter(|(_, task)| !self.is_at_work(task));
            return idle
                .take(MAX_WATCHED)
                .map(|(key, _)| (Waiting::LongRunningTask(key.clone()), key))
                .collect();
        }
        if state.tasks().any(|(_, task)| self.is_at_work(task)) {
            return Vec::new();
        }
        let first = ready.map(|(key, _)| key).next();
        first
            .map(|key| (Waiting::Flow(state.job.id.clone()), key))
            .into_iter()
            .collect()
    }

    /// Whether a run of the task is confirmed on a worker that can be reached.
    fn is_at_work(&self, task: &TaskState) -> bool {
        task.placements().any(|placement| {
            let view = self.worker(&placement.agent);
            matches!(placement.stage, RunStage::Running { .. })
                && view.is_some_and(WorkerView::is_synced)
        })
    }

    fn waiting_flow(&self, now_ms: u64, task: TaskKey, waited_ms: u64) -> WaitingFlow {
        let (cause, agent) = self.wait_cause(now_ms, &task);
        WaitingFlow {
            run: self.task(&task).map_or(0, |state| state.run),
            task,
            cause,
            agent,
            waited_ms,
        }
    }

    /// Why a task has no run in progress, and the agent concerned if there is one.
    fn wait_cause(&self, now_ms: u64, key: &TaskKey) -> (WaitCause, Option<AgentId>) {
        if let Some(placement) = self.placement(key) {
            let agent = Some(placement.agent.clone());
            let view = self.worker(&placement.agent);
            if !view.is_some_and(WorkerView::is_synced) {
                return (WaitCause::WorkerUnreachable, agent);
            }
            return match placement.stage {
                RunStage::Stopping { .. } => (WaitCause::Stopping, agent),
                _ => (WaitCause::StartUnconfirmed, agent),
            };
        }
        let orphaned_on = self
            .workers()
            .find(|(_, view)| view.orphans.contains_key(key));
        if let Some((agent, _)) = orphaned_on {
            return (WaitCause::Orphaned, Some(agent.clone()));
        }
        let delayed = self
            .task(key)
            .is_some_and(|task| now_ms < task.not_before_ms);
        let cause = if delayed {
            WaitCause::Delayed
        } else if self.suspects.contains_key(key) {
            WaitCause::Suspect
        } else if self.is_waiting_for_near(now_ms, key) {
            WaitCause::NearWorker
        } else {
            self.pool_wait_cause(now_ms, key)
        };
        (cause, None)
    }

    /// Why no worker of its pool gets a queued task.
    fn pool_wait_cause(&self, now_ms: u64, key: &TaskKey) -> WaitCause {
        let state = self.flows.get(&key.job);
        let queue = state.and_then(|state| self.config.queue(&state.job.queue));
        let Some(queue) = queue else {
            return WaitCause::NoQueue;
        };
        if !self.is_evacuation_known(now_ms) {
            return WaitCause::EvacuationsUnknown;
        }
        if self.is_pool_evacuated(&queue.service) {
            return WaitCause::Evacuated;
        }
        let candidates = self.candidates(now_ms);
        let mut pool = candidates
            .iter()
            .filter(|(service, _)| *service == queue.service)
            .peekable();
        if pool.peek().is_none() {
            WaitCause::NoWorker
        } else if pool.all(|(_, candidate)| !candidate.held_for.is_empty()) {
            WaitCause::WorkersHeld
        } else {
            WaitCause::NoRoom
        }
    }
}

/// Tasks of a flow that are not done and whose turn has come, in order.
fn ready_tasks(state: &FlowState) -> impl Iterator<Item = (TaskKey, &TaskState)> {
    let numbered = state.occurrences.iter().enumerate();
    let steps = numbered.flat_map(|(occurrence, occurrence_state)| {
        let steps = occurrence_state.steps.iter().enumerate();
        steps.map(move |(step, step_state)| (occurrence, step, step_state))
    });
    let ready = steps.filter(|(occurrence, step, _)| state.is_step_ready(*occurrence, *step));
    ready.flat_map(move |(occurrence, step, step_state)| {
        let open = step_state.all_tasks().filter(|(_, task)| !task.done);
        open.map(move |(index, task)| {
            let key = TaskKey {
                job: state.job.id.clone(),
                occurrence: occurrence as u32,
                step: step as u32,
                index,
            };
            (key, task)
        })
    })
}
