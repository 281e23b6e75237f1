//! Applies the reports of workers: reconciles the runs that are placed on a worker with the runs
//! that it reports.

use crate::view::OrphanedRun;
use crate::{
    ClockSample, Contact, DecisionKind, Effect, Incarnation, RunRef, RunStage, RunningTask,
    Scheduler, TaskKey, WorkerInfo, WorkerReport,
};
use model::{AgentId, Resources};
use utils::Map;

/// Time after which a stop is retried if the run has not ended, in milliseconds.
const STOP_RETRY_MS: u64 = 400;

/// When a report was requested and when it arrived, on the scheduler's clock.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ReportTimes {
    /// When the request was sent, in milliseconds. The report covers everything that the worker did
    /// before.
    pub requested_ms: u64,
    /// When the answer arrived, in milliseconds.
    pub now_ms: u64,
}

/// Why the runs on a worker are lost.
#[derive(Debug, Clone, Copy)]
struct Loss<'a> {
    /// Reason for the log.
    reason: &'a str,
    /// Whether a run may have caused it.
    is_crash: bool,
}

impl Scheduler {
    /// Applies a worker's report. `info` holds its last heartbeat and is ignored if it is from
    /// another incarnation. A report that was requested before the last applied one is dropped. So is
    /// one from an incarnation that can't be identified, and the worker then counts as not heard of.
    pub fn on_report(
        &mut self,
        times: ReportTimes,
        agent: &AgentId,
        info: Option<WorkerInfo>,
        report: &WorkerReport,
    ) {
        let info = info.filter(|info| info.incarnation.born_ms == report.born_ms);
        if times.requested_ms < self.worker_mut(agent).report_requested_ms {
            return;
        }
        let Some(incarnation) = self.incarnation_of(agent, info.as_ref(), report) else {
            self.worker_mut(agent).contact = Contact::Unknown;
            return;
        };
        let view = self.worker_mut(agent);
        if view.incarnation.as_ref() != Some(&incarnation) {
            view.reset(Some(incarnation.clone()));
            self.release_other_incarnations(times.now_ms, agent, &incarnation);
        }
        let view = self.worker_mut(agent);
        if info.is_some() {
            view.info = info;
        }
        view.last_seen_ms = times.now_ms;
        view.report_requested_ms = times.requested_ms;
        view.clock = Some(ClockSample {
            clock_ms: report.clock_ms,
            received_ms: times.now_ms,
        });
        let running: Map<&TaskKey, &RunningTask> =
            report.running.iter().map(|run| (&run.task, run)).collect();
        for end in &report.ended {
            self.record_end(times.now_ms, agent, end);
        }
        self.reconcile(times, agent, &running, report.has_more_ends);
        self.stop_orphans(times.now_ms, agent, &running);
        self.worker_mut(agent).contact = match report.has_more_ends {
            true => Contact::Reading,
            false => Contact::Synced,
        };
        self.end_probation(times.now_ms, agent, &running);
        self.stop_stalled_runs(times.now_ms, agent, &running);
        self.limit_interference(times.now_ms, agent, &running);
        self.learn_from_progress(times.now_ms, agent, &running);
        self.acknowledge(agent);
    }

    /// Incarnation that a report is about: by the heartbeat, the last report, or a placement on the
    /// worker. `None` if none of them started at the time that the report states.
    fn incarnation_of(
        &self,
        agent: &AgentId,
        info: Option<&WorkerInfo>,
        report: &WorkerReport,
    ) -> Option<Incarnation> {
        if let Some(info) = info {
            return Some(info.incarnation.clone());
        }
        let known = self
            .worker(agent)
            .and_then(|view| view.incarnation.clone())
            .filter(|incarnation| incarnation.born_ms == report.born_ms);
        known.or_else(|| {
            let view = self.worker(agent)?;
            let flows = view
                .allocations
                .keys()
                .filter_map(|key| self.flows.get(&key.job)?.task(key));
            let mut incarnations =
                flows.filter_map(|task| Some(task.placement_on(agent)?.incarnation.clone()));
            incarnations.find(|incarnation| incarnation.born_ms == report.born_ms)
        })
    }

    /// Releases the runs that are placed on other incarnations of a worker.
    fn release_other_incarnations(
        &mut self,
        now_ms: u64,
        agent: &AgentId,
        incarnation: &Incarnation,
    ) {
        let loss = self.loss_of(agent, "the worker began another life");
        self.release_lost_runs(now_ms, agent, loss, |placed_on| placed_on != incarnation);
    }

    /// Releases every run on a worker that is known to run nothing. `reason` goes into the log.
    pub fn on_worker_terminated(&mut self, now_ms: u64, agent: &AgentId, reason: &str) {
        let loss = self.loss_of(agent, reason);
        self.release_lost_runs(now_ms, agent, loss, |_| true);
        let view = self.worker_mut(agent);
        view.reset(None);
    }

    /// Releases every run on a worker whose leases are guaranteed to have expired, placed there or
    /// not. Its incarnation may still be alive.
    pub(crate) fn on_lease_expired(&mut self, now_ms: u64, agent: &AgentId) {
        let loss = Loss {
            reason: "the lease expired",
            is_crash: false,
        };
        self.release_lost_runs(now_ms, agent, loss, |_| true);
        let view = self.worker_mut(agent);
        view.orphans.clear();
        view.contact = Contact::Unreachable;
    }

    /// Loss of a worker's incarnation: a crash, unless the worker has announced that it leaves.
    fn loss_of<'a>(&self, agent: &AgentId, reason: &'a str) -> Loss<'a> {
        let info = self.worker(agent).and_then(|view| view.info.as_ref());
        Loss {
            reason,
            is_crash: !info.is_some_and(|info| info.draining),
        }
    }

    /// Releases the runs placed on a worker whose incarnation `is_lost`, and drops allocations
    /// without a placement there. A crash counts against the tasks of the runs.
    fn release_lost_runs(
        &mut self,
        now_ms: u64,
        agent: &AgentId,
        loss: Loss<'_>,
        is_lost: impl Fn(&Incarnation) -> bool,
    ) {
        let keys: Vec<TaskKey> = match self.worker(agent) {
            Some(view) => view.allocations.keys().cloned().collect(),
            None => return,
        };
        for key in keys {
            let Some(placement) = self.placement_on(&key, agent) else {
                self.fleet.release(now_ms, agent, &key);
                continue;
            };
            let run = placement.run;
            if is_lost(&placement.incarnation) {
                if loss.is_crash {
                    self.count_crash(now_ms, &key, agent);
                }
                self.release_run(now_ms, &key, run, agent, loss.reason);
            }
        }
    }

    /// Compares the runs that are placed on a worker with those that it reports. While there are
    /// more ends than a report holds, a run that is missing from it may simply have ended.
    fn reconcile(
        &mut self,
        times: ReportTimes,
        agent: &AgentId,
        running: &Map<&TaskKey, &RunningTask>,
        has_more_ends: bool,
    ) {
        let keys: Vec<TaskKey> = match self.worker(agent) {
            Some(view) => view.allocations.keys().cloned().collect(),
            None => return,
        };
        for key in keys {
            let found = running.get(&key).copied();
            let task = self.task_mut(&key);
            let Some(task) = task else {
                self.fleet.release(times.now_ms, agent, &key);
                continue;
            };
            let Some(placement) = task.placement_on_mut(agent) else {
                self.fleet.release(times.now_ms, agent, &key);
                continue;
            };
            let run = placement.run;
            if let Some(found) = found.filter(|found| found.run == run) {
                if found.percent > placement.percent {
                    placement.percent = found.percent;
                    placement.progress_ms = times.now_ms;
                }
                let percent = placement.percent;
                if found.checkpoint.is_some() && task.is_furthest(percent) {
                    if task.checkpoint != found.checkpoint {
                        task.note_saved(agent, times.now_ms);
                    }
                    task.checkpoint.clone_from(&found.checkpoint);
                }
                self.confirm_run(times.now_ms, &key, run);
            } else if !has_more_ends {
                self.handle_missing_run(times, &key, run);
            }
        }
    }

    /// Handles a placed run that the worker reports: marks it as running, and stops it if its task
    /// is done, its flow was cancelled or has failed, or an earlier stop had no effect.
    fn confirm_run(&mut self, now_ms: u64, key: &TaskKey, run: u32) {
        let Some(state) = self.flows.get_mut(&key.job) else {
            return;
        };
        let is_closed = state.is_closed();
        let Some(task) = state.task_mut(key) else {
            return;
        };
        let is_done = task.done;
        let Some(placement) = task.placement_of_mut(run) else {
            return;
        };
        let mut retry = None;
        match placement.stage {
            RunStage::Uncommitted | RunStage::Running { .. } => {}
            RunStage::Ordered | RunStage::Unconfirmed => {
                placement.stage = RunStage::Running { since_ms: now_ms };
                placement.progress_ms = now_ms;
                state.started = true;
            }
            RunStage::Stopping { ordered_ms, .. } => {
                if now_ms >= ordered_ms + STOP_RETRY_MS {
                    retry = Some(placement.clone());
                }
            }
        }
        let unneeded = state
            .task(key)
            .and_then(|task| task.placement_of(run).cloned())
            .filter(|placement| matches!(placement.stage, RunStage::Running { .. }))
            .filter(|_| is_closed || is_done);
        if let Some(placement) = retry.or(unneeded) {
            self.stop_run(now_ms, key, run, &placement);
        }
    }

    /// Handles a placed run that the worker reports neither as running nor as ended. It is released
    /// only if it can't start any more: it was running before the report was requested, or its stop
    /// was answered before that. If the outcome of its start is unknown, it is stopped first; while
    /// its start has not been answered, nothing is done.
    fn handle_missing_run(&mut self, times: ReportTimes, key: &TaskKey, run: u32) {
        let task = self.task(key);
        let Some(placement) = task.and_then(|task| task.placement_of(run).cloned()) else {
            return;
        };
        let now_ms = times.now_ms;
        match placement.stage {
            RunStage::Uncommitted | RunStage::Ordered => {}
            RunStage::Unconfirmed => self.stop_run(now_ms, key, run, &placement),
            RunStage::Running { since_ms } => {
                if times.requested_ms > since_ms {
                    let reason = "neither running nor ended";
                    self.release_run(now_ms, key, run, &placement.agent, reason);
                    self.finish_flow(&key.job);
                }
            }
            RunStage::Stopping {
                answered_ms: Some(answered_ms),
                ..
            } => {
                if times.requested_ms >= answered_ms {
                    let reason = "stopped before it started";
                    self.release_run(now_ms, key, run, &placement.agent, reason);
                    self.finish_flow(&key.job);
                }
            }
            RunStage::Stopping {
                ordered_ms,
                answered_ms: None,
            } => {
                if now_ms >= ordered_ms + STOP_RETRY_MS {
                    self.stop_run(now_ms, key, run, &placement);
                }
            }
        }
    }

    /// Releases the placement of a run that is known not to exist, so that its task is queued
    /// again unless it has another run.
    fn release_run(&mut self, now_ms: u64, key: &TaskKey, run: u32, agent: &AgentId, reason: &str) {
        self.log_decision(DecisionKind::Lost, key, run, agent, reason);
        self.requeue(now_ms, key, run, now_ms);
    }

    /// Stops the runs that a worker reports although they are not placed on it.
    fn stop_orphans(
        &mut self,
        now_ms: u64,
        agent: &AgentId,
        running: &Map<&TaskKey, &RunningTask>,
    ) {
        let Some(incarnation) = self.worker(agent).and_then(|view| view.incarnation.clone()) else {
            return;
        };
        let view = self.worker_mut(agent);
        view.orphans
            .retain(|key, orphan| running.get(key).is_some_and(|run| run.run == orphan.run));
        for (key, run) in running {
            let view = self.worker_mut(agent);
            if view
                .allocations
                .get(*key)
                .is_some_and(|allocation| allocation.run == run.run)
            {
                continue;
            }
            let stopped_ms = view.orphans.get(*key).map(|orphan| orphan.stopped_ms);
            if stopped_ms.is_some_and(|stopped_ms| now_ms < stopped_ms + STOP_RETRY_MS) {
                continue;
            }
            let reserved = self.reserved_for(key);
            let orphan = OrphanedRun {
                run: run.run,
                reserved,
                stopped_ms: now_ms,
            };
            self.worker_mut(agent)
                .orphans
                .insert((*key).clone(), orphan);
            self.log_decision(
                DecisionKind::Orphaned,
                key,
                run.run,
                agent,
                "not placed on this worker",
            );
            self.effects.push(Effect::Stop(RunRef {
                agent: agent.clone(),
                incarnation: incarnation.clone(),
                task: (*key).clone(),
                run: run.run,
            }));
        }
    }

    /// Resources that a run of the task reserves; none if its flow is not known.
    fn reserved_for(&self, key: &TaskKey) -> Resources {
        let spec = self.step_spec(key);
        spec.map_or(Resources::default(), crate::StepSpec::reserved)
    }
}
