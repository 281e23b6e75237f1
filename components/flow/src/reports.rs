//! What workers report: runs that are there, and runs that are not.

use crate::view::Stray;
use crate::{
    ClockSample, DecisionKind, Effect, Incarnation, RunRef, RunningTask, Scheduler, Stage, TaskKey,
    WorkerInfo, WorkerReport,
};
use model::{AgentId, Resources};
use utils::Map;

/// Time before a stop that brought no end is ordered again, in milliseconds.
const STOP_AGAIN_MS: u64 = 400;

/// When a report was asked for and when it came, on the scheduler's clock.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ReportTimes {
    /// When the request was sent.
    pub requested_ms: u64,
    /// When the answer arrived.
    pub now_ms: u64,
}

impl Scheduler {
    /// Takes in a worker's report.
    pub fn on_report(
        &mut self,
        times: ReportTimes,
        agent: &AgentId,
        info: Option<WorkerInfo>,
        report: &WorkerReport,
    ) {
        let info = info.filter(|info| info.incarnation.born_ms == report.born_ms);
        let Some(life) = self.life_of(agent, info.as_ref(), report) else {
            return;
        };
        let view = self.worker_mut(agent);
        if view.incarnation.as_ref() != Some(&life) {
            view.begin_life(Some(life.clone()));
            self.lose_other_lives(times.now_ms, agent, &life);
        }
        let view = self.worker_mut(agent);
        if info.is_some() {
            view.info = info;
        }
        view.heard_ms = times.now_ms;
        view.clock = Some(ClockSample {
            clock_ms: report.clock_ms,
            received_ms: times.now_ms,
        });
        let running: Map<&TaskKey, &RunningTask> =
            report.running.iter().map(|run| (&run.task, run)).collect();
        for end in &report.ended {
            self.take_end(times.now_ms, agent, end);
        }
        self.compare(times, agent, &running, report.has_more_ends);
        self.find_strays(times.now_ms, agent, &running);
        self.worker_mut(agent).synced = !report.has_more_ends;
        self.prove_worker(times.now_ms, agent, &running);
        self.watch_progress(times.now_ms, agent, &running);
        self.protect(times.now_ms, agent, &running);
        self.acknowledge(agent);
    }

    /// The life that a report is about, if it is known.
    fn life_of(
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
            .filter(|life| life.born_ms == report.born_ms);
        known.or_else(|| {
            let view = self.worker(agent)?;
            let flows = view
                .allocations
                .keys()
                .filter_map(|key| self.flows.get(&key.job)?.task(key));
            let mut lives =
                flows.filter_map(|task| Some(task.placement.as_ref()?.incarnation.clone()));
            lives.find(|life| life.born_ms == report.born_ms)
        })
    }

    /// Takes back what was placed on earlier lives of a worker.
    fn lose_other_lives(&mut self, now_ms: u64, agent: &AgentId, life: &Incarnation) {
        self.lose(now_ms, agent, "the worker began another life", |held| {
            held != life
        });
    }

    /// Takes back everything that was placed on a worker that surely runs nothing.
    pub fn on_worker_gone(&mut self, now_ms: u64, agent: &AgentId, reason: &str) {
        self.lose(now_ms, agent, reason, |_| true);
        let view = self.worker_mut(agent);
        view.begin_life(None);
    }

    /// Takes back everything on a worker whose lease is surely over, although its life may go on.
    pub fn on_lease_expired(&mut self, now_ms: u64, agent: &AgentId) {
        self.lose(now_ms, agent, "the lease is over", |_| true);
        self.worker_mut(agent).synced = false;
    }

    /// Marks a worker that can't be reached, so that it is given nothing.
    pub fn on_unreachable(&mut self, agent: &AgentId) {
        self.worker_mut(agent).synced = false;
    }

    fn lose(
        &mut self,
        now_ms: u64,
        agent: &AgentId,
        reason: &str,
        is_lost: impl Fn(&Incarnation) -> bool,
    ) {
        let keys: Vec<TaskKey> = match self.worker(agent) {
            Some(view) => view.allocations.keys().cloned().collect(),
            None => return,
        };
        for key in keys {
            let task = self.task(&key);
            let Some((run, placement)) =
                task.and_then(|task| Some((task.run, task.placement.as_ref()?)))
            else {
                self.fleet.release(agent, &key);
                continue;
            };
            if placement.agent != *agent {
                self.fleet.release(agent, &key);
            } else if is_lost(&placement.incarnation) {
                self.take_back(now_ms, &key, run, agent, reason);
            }
        }
    }

    /// Compares what is placed on a worker with what it has.
    fn compare(
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
                self.fleet.release(agent, &key);
                continue;
            };
            let run = task.run;
            let Some(placement) = task.placement.as_mut() else {
                self.fleet.release(agent, &key);
                continue;
            };
            if placement.agent != *agent {
                self.fleet.release(agent, &key);
                continue;
            }
            if let Some(found) = found.filter(|found| found.run == run) {
                if found.checkpoint.is_some() {
                    task.checkpoint.clone_from(&found.checkpoint);
                }
                if found.percent > placement.percent {
                    placement.percent = found.percent;
                    placement.progress_ms = times.now_ms;
                }
                self.confirm(times.now_ms, &key);
            } else if !has_more_ends {
                self.missing(times, &key, run);
            }
        }
    }

    /// The worker has the run.
    fn confirm(&mut self, now_ms: u64, key: &TaskKey) {
        let Some(state) = self.flows.get_mut(&key.job) else {
            return;
        };
        let is_closed = state.is_closed();
        let Some(task) = state.task_mut(key) else {
            return;
        };
        let (run, is_done) = (task.run, task.done);
        let Some(placement) = task.placement.as_mut() else {
            return;
        };
        let mut again = None;
        match placement.stage {
            Stage::Unwritten | Stage::Running { .. } => {}
            Stage::Ordered | Stage::Unsure => {
                placement.stage = Stage::Running { since_ms: now_ms };
                placement.progress_ms = now_ms;
                state.started = true;
            }
            Stage::Stopping { ordered_ms, .. } => {
                if now_ms >= ordered_ms + STOP_AGAIN_MS {
                    again = Some(placement.clone());
                }
            }
        }
        let ended = state
            .task(key)
            .and_then(|task| task.placement.clone())
            .filter(|placement| matches!(placement.stage, Stage::Running { .. }))
            .filter(|_| is_closed || is_done);
        if let Some(placement) = again.or(ended) {
            self.stop(now_ms, key, run, &placement);
        }
    }

    /// The worker does not have the run.
    fn missing(&mut self, times: ReportTimes, key: &TaskKey, run: u32) {
        let task = self.task(key);
        let Some(placement) = task.and_then(|task| task.placement.clone()) else {
            return;
        };
        let now_ms = times.now_ms;
        match placement.stage {
            Stage::Unwritten | Stage::Ordered => {}
            Stage::Unsure => self.stop(now_ms, key, run, &placement),
            Stage::Running { since_ms } => {
                if times.requested_ms > since_ms {
                    let reason = "neither running nor ended";
                    self.take_back(now_ms, key, run, &placement.agent, reason);
                    self.finish(&key.job);
                }
            }
            Stage::Stopping {
                answered_ms: Some(answered_ms),
                ..
            } => {
                if times.requested_ms >= answered_ms {
                    let reason = "stopped before it began";
                    self.take_back(now_ms, key, run, &placement.agent, reason);
                    self.finish(&key.job);
                }
            }
            Stage::Stopping {
                ordered_ms,
                answered_ms: None,
            } => {
                if now_ms >= ordered_ms + STOP_AGAIN_MS {
                    self.stop(now_ms, key, run, &placement);
                }
            }
        }
    }

    /// Takes back the placement of a run that surely does not exist.
    fn take_back(&mut self, now_ms: u64, key: &TaskKey, run: u32, agent: &AgentId, reason: &str) {
        self.note(DecisionKind::Lost, key, run, agent, reason);
        self.unplace(key, now_ms);
    }

    /// Stops runs that are placed nowhere.
    fn find_strays(&mut self, now_ms: u64, agent: &AgentId, running: &Map<&TaskKey, &RunningTask>) {
        let Some(life) = self.worker(agent).and_then(|view| view.incarnation.clone()) else {
            return;
        };
        let view = self.worker_mut(agent);
        view.strays
            .retain(|key, stray| running.get(key).is_some_and(|run| run.run == stray.run));
        for (key, run) in running {
            let view = self.worker_mut(agent);
            if view
                .allocations
                .get(*key)
                .is_some_and(|held| held.run == run.run)
            {
                continue;
            }
            let stopped_ms = view.strays.get(*key).map(|stray| stray.stopped_ms);
            if stopped_ms.is_some_and(|stopped_ms| now_ms < stopped_ms + STOP_AGAIN_MS) {
                continue;
            }
            let reserved = self.reserved_by(key);
            let stray = Stray {
                run: run.run,
                reserved,
                stopped_ms: now_ms,
            };
            self.worker_mut(agent).strays.insert((*key).clone(), stray);
            self.note(
                DecisionKind::Orphaned,
                key,
                run.run,
                agent,
                "placed nowhere",
            );
            self.effects.push(Effect::Stop(RunRef {
                agent: agent.clone(),
                incarnation: life.clone(),
                task: (*key).clone(),
                run: run.run,
            }));
        }
    }

    fn reserved_by(&self, key: &TaskKey) -> Resources {
        let spec = self.step_spec(key);
        spec.map_or(Resources::default(), crate::StepSpec::reserved)
    }
}
