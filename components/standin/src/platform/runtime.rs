//! Stand-in for the worker runtime. It keeps its own record of what ran where and when.

use crate::TaskScript;
use backing::{AttemptRef, AttemptReport, AttemptStatus, LeaseList, StartAttempt, StopMode};
use model::{AgentId, Attempt, Resources, TaskId};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, HashMap};

/// How long the status of an ended attempt is reported.
const REPORT_ENDED_MS: u64 = 60_000;

/// One run of an attempt, as the runtime saw it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RunRecord {
    /// The attempt.
    pub attempt: AttemptRef,
    /// Where it ran.
    pub worker: AgentId,
    /// When it started.
    pub started_ms: u64,
    /// When it ended, if it has.
    pub ended_ms: Option<u64>,
    /// Its status.
    pub status: AttemptStatus,
    /// Work that was done before this run, from a checkpoint.
    pub resumed_ms: u64,
}

#[derive(Debug)]
struct Running {
    /// Position of its record.
    record: usize,
    /// What it is declared to need.
    need: Resources,
    /// What it really uses.
    uses: Resources,
    /// What it does.
    script: TaskScript,
    /// Work that is done, in milliseconds at full speed.
    done_ms: f64,
    /// Share of its processors, in percent.
    percent: u32,
    /// Time up to which its work is counted.
    advanced_ms: u64,
    /// End of its lease.
    lease_until_ms: u64,
}

#[derive(Debug, Default)]
struct Worker {
    /// What the VM has.
    capacity: Resources,
    /// What services take.
    reserved: Resources,
    /// What runs now.
    running: HashMap<AttemptRef, Running>,
    /// Whether the end was told.
    ended: Vec<(u64, AttemptReport)>,
    /// Whether everything fails.
    failing: bool,
    /// Whether the VM is gone.
    gone: bool,
}

/// Stand-in for the worker runtime.
#[derive(Debug, Default)]
pub(crate) struct Runtime {
    /// Workers by name.
    workers: BTreeMap<AgentId, Worker>,
    /// Newest attempt of each task.
    newest: HashMap<TaskId, Attempt>,
    /// Every run, in order of starting.
    pub records: Vec<RunRecord>,
    /// Times at which a worker was committed beyond what it has.
    pub overcommitted: Vec<String>,
    /// Times at which a task ran in two places.
    pub doubled: Vec<String>,
}

impl Runtime {
    pub fn add_worker(&mut self, worker: &AgentId, capacity: Resources, reserved: Resources) {
        let known = self.workers.entry(worker.clone()).or_default();
        known.capacity = capacity;
        known.reserved = reserved;
        known.gone = false;
    }

    /// The VM is gone at once, with all that runs on it.
    pub fn terminate_worker(&mut self, now_ms: u64, worker: &AgentId) {
        let Some(state) = self.workers.get_mut(worker) else {
            return;
        };
        state.gone = true;
        let lost: Vec<AttemptRef> = state.running.keys().cloned().collect();
        for attempt in lost {
            self.end(now_ms, worker, &attempt, AttemptStatus::Lapsed);
        }
    }

    pub fn set_failing(&mut self, worker: &AgentId, failing: bool) {
        self.workers.entry(worker.clone()).or_default().failing = failing;
    }

    /// Starts an attempt; `Err` names the reason of a refusal.
    pub fn start(
        &mut self,
        now_ms: u64,
        worker: &AgentId,
        start: &StartAttempt,
        resumed_ms: u64,
    ) -> Result<(), &'static str> {
        self.advance(now_ms);
        let newest = self.newest.get(&start.attempt.task).copied().unwrap_or(0);
        let state = self.workers.entry(worker.clone()).or_default();
        if state.running.contains_key(&start.attempt) {
            return Ok(());
        }
        if start.attempt.attempt <= newest || state.gone {
            return Err("fenced");
        }
        self.check_doubled(&start.attempt.task);
        self.newest
            .insert(start.attempt.task.clone(), start.attempt.attempt);
        let script: TaskScript = serde_json::from_str(&start.payload).unwrap_or_default();
        let record = self.records.len();
        self.records.push(RunRecord {
            attempt: start.attempt.clone(),
            worker: worker.clone(),
            started_ms: now_ms,
            ended_ms: None,
            status: AttemptStatus::Running,
            resumed_ms,
        });
        let running = Running {
            record,
            need: start.need,
            uses: script.uses.unwrap_or(start.need),
            script,
            done_ms: resumed_ms as f64,
            percent: 100,
            advanced_ms: now_ms,
            lease_until_ms: now_ms + start.lease_ms,
        };
        let Some(state) = self.workers.get_mut(worker) else {
            return Err("fenced");
        };
        state.running.insert(start.attempt.clone(), running);
        let committed = state
            .running
            .values()
            .fold(state.reserved, |sum, run| sum.plus(&run.need));
        if !committed.fits_in(&state.capacity) {
            self.overcommitted
                .push(format!("{worker} at {now_ms} ms: {committed:?}"));
        }
        Ok(())
    }

    fn check_doubled(&mut self, task: &TaskId) {
        let runs = |state: &Worker| state.running.keys().any(|attempt| attempt.task == *task);
        if let Some((worker, _)) = self.workers.iter().find(|(_, state)| runs(state)) {
            self.doubled.push(format!("{task} still runs on {worker}"));
        }
    }

    pub fn renew(
        &mut self,
        now_ms: u64,
        worker: &AgentId,
        leases: &LeaseList,
    ) -> Vec<AttemptReport> {
        self.advance(now_ms);
        let Some(state) = self.workers.get_mut(worker) else {
            return Vec::new();
        };
        for attempt in &leases.attempts {
            if let Some(running) = state.running.get_mut(attempt) {
                running.lease_until_ms = now_ms + leases.lease_ms;
            }
        }
        state
            .ended
            .retain(|(ended_ms, _)| now_ms < ended_ms + REPORT_ENDED_MS);
        let running = state.running.iter().map(|(attempt, run)| AttemptReport {
            attempt: attempt.clone(),
            status: AttemptStatus::Running,
            need: run.need,
            peak: run.uses,
        });
        let ended = state.ended.iter().map(|(_, report)| report.clone());
        running.chain(ended).collect()
    }

    /// Stops an attempt for good; returns its status and the work done, for a checkpoint.
    pub fn stop(
        &mut self,
        now_ms: u64,
        worker: &AgentId,
        attempt: &AttemptRef,
        mode: StopMode,
    ) -> (AttemptStatus, Option<u64>) {
        self.advance(now_ms);
        let newest = self.newest.entry(attempt.task.clone()).or_insert(0);
        *newest = (*newest).max(attempt.attempt);
        let running = self
            .workers
            .get(worker)
            .and_then(|state| state.running.get(attempt));
        if let Some(running) = running {
            let done_ms = running.done_ms as u64;
            let (status, checkpoint) = match mode {
                StopMode::Kill => (AttemptStatus::Stopped, None),
                StopMode::Checkpoint => (AttemptStatus::Checkpointed, Some(done_ms)),
            };
            self.end(now_ms, worker, attempt, status);
            return (status, checkpoint);
        }
        let record = self
            .records
            .iter()
            .rev()
            .find(|record| record.attempt == *attempt);
        (
            record.map_or(AttemptStatus::Stopped, |record| record.status),
            None,
        )
    }

    pub fn throttle(&mut self, now_ms: u64, worker: &AgentId, attempt: &AttemptRef, percent: u32) {
        self.advance(now_ms);
        let running = self
            .workers
            .get_mut(worker)
            .and_then(|state| state.running.get_mut(attempt));
        if let Some(running) = running {
            running.percent = percent;
        }
    }

    fn end(&mut self, now_ms: u64, worker: &AgentId, attempt: &AttemptRef, status: AttemptStatus) {
        let Some(state) = self.workers.get_mut(worker) else {
            return;
        };
        let Some(running) = state.running.remove(attempt) else {
            return;
        };
        let report = AttemptReport {
            attempt: attempt.clone(),
            status,
            need: running.need,
            peak: running.uses,
        };
        state.ended.push((now_ms, report));
        let record = &mut self.records[running.record];
        record.ended_ms = Some(now_ms);
        record.status = status;
    }

    /// Lets time pass: work gets done, tasks end, leases lapse.
    pub fn advance(&mut self, now_ms: u64) {
        let mut ends = Vec::new();
        for (worker, state) in &mut self.workers {
            for (attempt, run) in &mut state.running {
                let passed_ms = now_ms.saturating_sub(run.advanced_ms) as f64;
                run.done_ms += passed_ms * f64::from(run.percent) / 100.0;
                run.advanced_ms = now_ms;
                let fails = run.script.fails || state.failing;
                if now_ms >= run.lease_until_ms {
                    ends.push((worker.clone(), attempt.clone(), AttemptStatus::Lapsed));
                } else if state.failing || (fails && run.done_ms >= run.script.run_ms as f64) {
                    ends.push((worker.clone(), attempt.clone(), AttemptStatus::Failed));
                } else if run.done_ms >= run.script.run_ms as f64 {
                    ends.push((worker.clone(), attempt.clone(), AttemptStatus::Succeeded));
                }
            }
        }
        for (worker, attempt, status) in ends {
            self.end(now_ms, &worker, &attempt, status);
        }
    }
}
