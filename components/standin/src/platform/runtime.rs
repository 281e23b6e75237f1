//! Worker runtime of the platform stand-in. It records which attempt ran where and when,
//! independently of the system under test.

use crate::TaskScript;
use backing::{AttemptRef, AttemptReport, AttemptStatus, LeaseList, StartAttempt, StopMode};
use model::{AgentId, Attempt, Resources, TaskId};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, HashMap};

/// Time for which renewals still report the status of an ended attempt.
const REPORT_ENDED_MS: u64 = 60_000;

/// One run of an attempt, as recorded by the stand-in runtime.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RunRecord {
    /// Attempt that was started.
    pub attempt: AttemptRef,
    /// Worker that ran it.
    pub worker: AgentId,
    /// Start time on the clock of the stand-in.
    pub started_ms: u64,
    /// End time on the same clock; `None` while it runs.
    pub ended_ms: Option<u64>,
    /// `Running` until it ends, then how it ended.
    pub status: AttemptStatus,
    /// Work restored from a checkpoint, in milliseconds at full speed; 0 without one.
    pub resumed_ms: u64,
}

/// Attempt that runs on a worker.
#[derive(Debug)]
struct Running {
    /// Index of its entry in `Runtime::records`.
    record_index: usize,
    /// Resources that the start declared.
    need: Resources,
    /// Resources that it uses in fact, reported as its peak.
    uses: Resources,
    /// Scripted behaviour, from the payload.
    script: TaskScript,
    /// Completed work, in milliseconds at full speed; includes `resumed_ms`.
    done_ms: f64,
    /// Throttle: speed in percent of full speed.
    percent: u32,
    /// Time up to which `done_ms` is computed.
    advanced_ms: u64,
    /// Time at which it lapses unless the lease is renewed.
    lease_until_ms: u64,
}

/// Simulated worker VM.
#[derive(Debug, Default)]
struct Worker {
    /// Resources of the VM.
    capacity: Resources,
    /// Resources reserved for services.
    reserved: Resources,
    /// Attempts that run now.
    running: HashMap<AttemptRef, Running>,
    /// Ended attempts with the time of their end; dropped after `REPORT_ENDED_MS`.
    ended: Vec<(u64, AttemptReport)>,
    /// Whether every attempt on this worker fails at once.
    is_failing: bool,
    /// Whether the VM has terminated; it refuses starts until it is added again.
    is_terminated: bool,
}

/// State of all workers, and the record of their runs.
#[derive(Debug, Default)]
pub(crate) struct Runtime {
    /// Workers by agent id.
    workers: BTreeMap<AgentId, Worker>,
    /// Highest attempt number started or stopped, per task; starts up to it are fenced off.
    newest: HashMap<TaskId, Attempt>,
    /// Every run so far, in order of start.
    pub records: Vec<RunRecord>,
    /// Breaches: reservations exceeded the capacity of a worker.
    pub overcommitted: Vec<String>,
    /// Breaches: a task started while an earlier attempt of it still ran.
    pub doubled: Vec<String>,
}

impl Runtime {
    /// Adds a worker, or changes its size and clears its termination.
    pub fn add_worker(&mut self, worker: &AgentId, capacity: Resources, reserved: Resources) {
        let known = self.workers.entry(worker.clone()).or_default();
        known.capacity = capacity;
        known.reserved = reserved;
        known.is_terminated = false;
    }

    /// Terminates the VM of a worker: its attempts end as lapsed, later starts are refused.
    pub fn terminate_worker(&mut self, now_ms: u64, worker: &AgentId) {
        let Some(state) = self.workers.get_mut(worker) else {
            return;
        };
        state.is_terminated = true;
        let lost: Vec<AttemptRef> = state.running.keys().cloned().collect();
        for attempt in lost {
            self.end(now_ms, worker, &attempt, AttemptStatus::Lapsed);
        }
    }

    pub fn set_failing(&mut self, worker: &AgentId, is_failing: bool) {
        self.workers.entry(worker.clone()).or_default().is_failing = is_failing;
    }

    /// Starts an attempt; a repeated start of a running attempt succeeds without effect.
    ///
    /// # Errors
    /// `"fenced"` if the attempt is not newer than every known one or the worker has terminated.
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
        if start.attempt.attempt <= newest || state.is_terminated {
            return Err("fenced");
        }
        self.check_not_running(&start.attempt.task);
        self.newest
            .insert(start.attempt.task.clone(), start.attempt.attempt);
        let script: TaskScript = serde_json::from_str(&start.payload).unwrap_or_default();
        let record_index = self.records.len();
        self.records.push(RunRecord {
            attempt: start.attempt.clone(),
            worker: worker.clone(),
            started_ms: now_ms,
            ended_ms: None,
            status: AttemptStatus::Running,
            resumed_ms,
        });
        let running = Running {
            record_index,
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

    /// Records a breach if another attempt of the task still runs on any worker.
    fn check_not_running(&mut self, task: &TaskId) {
        let runs = |state: &Worker| state.running.keys().any(|attempt| attempt.task == *task);
        if let Some((worker, _)) = self.workers.iter().find(|(_, state)| runs(state)) {
            self.doubled.push(format!("{task} still runs on {worker}"));
        }
    }

    /// Renews leases and reports the running and recently ended attempts of the worker.
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

    /// Stops an attempt and fences it off, so that a delayed start of it is refused. Returns its
    /// status and, if it was checkpointed now, the completed work in milliseconds.
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

    /// Sets the speed of a running attempt; unknown attempts are ignored.
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

    /// Ends a running attempt and records its status.
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
        let record = &mut self.records[running.record_index];
        record.ended_ms = Some(now_ms);
        record.status = status;
    }

    /// Advances the simulation to `now_ms`: adds completed work, then ends attempts that are
    /// finished, have failed, or whose lease has expired.
    pub fn advance(&mut self, now_ms: u64) {
        let mut ends = Vec::new();
        for (worker, state) in &mut self.workers {
            for (attempt, run) in &mut state.running {
                let passed_ms = now_ms.saturating_sub(run.advanced_ms) as f64;
                run.done_ms += passed_ms * f64::from(run.percent) / 100.0;
                run.advanced_ms = now_ms;
                let fails = run.script.fails || state.is_failing;
                if now_ms >= run.lease_until_ms {
                    ends.push((worker.clone(), attempt.clone(), AttemptStatus::Lapsed));
                } else if state.is_failing || (fails && run.done_ms >= run.script.run_ms as f64) {
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
