//! Orders of the simulated scheduler, carried out by the model workers.

use super::worker::ModelRun;
use super::{HALT_MS, LEASE_TERMS, Mode, Sim};
use flow::{Decision, DecisionKind, Delivery, Effect, RunEnd, RunRef, StartOutcome, TaskKey};
use model::{AgentId, Resources};

impl Sim {
    pub(super) fn carry_out_effects(&mut self) {
        for effect in self.scheduler.take_effects() {
            match effect {
                Effect::Start(run, input) => self.start(&run, input.checkpoint.as_deref()),
                Effect::Stop(run) => self.stop(&run),
                Effect::Pace(run, percent) => self.pace(&run, percent),
                Effect::PaceOrdered(_, direction, _) => {
                    let direction = direction.to_string();
                    *self.pace_directions.entry(direction).or_default() += 1;
                }
                Effect::Ended(job, phase) => {
                    self.ended_ms.insert(job, (self.now_ms, phase));
                }
                Effect::Duplicate(outcome) => {
                    let outcome = outcome.to_string();
                    *self.duplicate_outcomes.entry(outcome).or_default() += 1;
                }
                Effect::Acknowledge(_)
                | Effect::StepDown
                | Effect::SetAside(..)
                | Effect::PressureLearned(..)
                | Effect::OverloadBegan(..)
                | Effect::OverloadEnded { .. } => {}
                Effect::QueueInDebt { queue, .. } => {
                    self.debt_events.push((self.now_ms, queue, true));
                }
                Effect::QueueDebtPaid { queue, .. } => {
                    self.debt_events.push((self.now_ms, queue, false));
                }
                Effect::LocalityChosen(outcome) => {
                    *self.localities.entry(outcome.into()).or_default() += 1;
                }
                Effect::Preemption(outcome) => {
                    *self.preemption_outcomes.entry(outcome.into()).or_default() += 1;
                }
                Effect::SpeedChanged(agent, change) => self.speed_changes.push((agent, change)),
                Effect::Decided(decision) => self.note_decision(decision),
            }
        }
    }

    pub(super) fn note_decision(&mut self, decision: Decision) {
        match decision.kind {
            DecisionKind::GaveUpNear => self.given_up.push(decision.detail),
            DecisionKind::MovedFromSlow => {
                let moved = (self.now_ms, decision.task, decision.agent);
                self.moved_from_slow.push(moved);
            }
            DecisionKind::Preempted => {
                self.preempted.push((self.now_ms, decision));
                self.check_preemptions();
            }
            DecisionKind::PreemptionLate => self.late_preemptions.push((self.now_ms, decision)),
            _ => {}
        }
    }

    pub(super) fn start(&mut self, run: &RunRef, checkpoint: Option<&str>) {
        let now_ms = self.now_ms;
        let limit = self.scheduler.start_lease_limit(self.lease_limit());
        let outcome = match self.scheduler.offer_start_lease(&run.agent, limit) {
            None => StartOutcome::Late,
            Some(lease) => {
                let outcome = match self.lose_starts.pop() {
                    Some(true) => {
                        self.execute(run, checkpoint, lease.until_clock_ms);
                        StartOutcome::Unknown
                    }
                    Some(false) => StartOutcome::Unknown,
                    None => self.execute(run, checkpoint, lease.until_clock_ms),
                };
                let delivery = Delivery::Possible;
                self.scheduler.settle_lease(&run.agent, lease.id, delivery);
                outcome
            }
        };
        self.scheduler
            .on_start(now_ms, &run.agent, &run.task, run.run, outcome);
    }

    /// Executes a start order on its worker, and checks that the run fits and that its task is not
    /// acknowledged as done.
    pub(super) fn execute(
        &mut self,
        run: &RunRef,
        checkpoint: Option<&str>,
        lease_until_ms: u64,
    ) -> StartOutcome {
        let spec = self.spec(&run.task);
        let need = spec.reserved();
        let saves_progress = self.writes_checkpoints && spec.saves_progress;
        let used = self.used(&run.agent);
        let now_ms = self.now_ms;
        let worker = self.workers.get_mut(&run.agent).unwrap();
        let is_down = now_ms < worker.down_until_ms;
        let is_cut_off = matches!(worker.mode, Mode::Partitioned | Mode::Mute);
        if is_down || is_cut_off || worker.incarnation != run.incarnation {
            return StartOutcome::Unavailable;
        }
        worker.lease_until_ms = worker.lease_until_ms.max(lease_until_ms);
        if worker
            .superseded_up_to
            .get(&run.task)
            .is_some_and(|newest| *newest >= run.run)
        {
            return StartOutcome::Superseded;
        }
        assert!(
            used.plus(&need).fits_in(&worker.capacity),
            "{run:?} does not fit"
        );
        *self.starts.entry(run.task.job.clone()).or_default() += 1;
        self.started
            .push((run.task.clone(), run.agent.clone(), now_ms));
        assert!(
            !self.acknowledged_done.contains(&run.task),
            "{} starts after its success was acknowledged",
            run.task
        );
        let done_micro = checkpoint.map_or(0, |text| text.parse().unwrap());
        let started = ModelRun {
            run: run.run,
            started_ms: now_ms,
            done_micro,
            pace: 100,
            saves_progress,
        };
        *self.starts_on.entry(run.agent.clone()).or_default() += 1;
        worker.running.insert(run.task.clone(), started);
        if self.deadly.contains(&run.task) {
            *self.crashes.entry(run.task.clone()).or_default() += 1;
            self.crash_for_a_while(&run.agent);
        }
        StartOutcome::Started
    }

    pub(super) fn used(&self, agent: &AgentId) -> Resources {
        let running = self.workers[agent].running.keys();
        running
            .map(|key| self.spec(key).reserved())
            .fold(Resources::default(), |sum, need| sum.plus(&need))
    }

    pub(super) fn stop(&mut self, run: &RunRef) {
        let worker = self.workers.get_mut(&run.agent).unwrap();
        let is_cut_off = matches!(worker.mode, Mode::Partitioned | Mode::Mute);
        if self.stops_are_lost || is_cut_off || worker.incarnation != run.incarnation {
            return;
        }
        let newest = worker.superseded_up_to.entry(run.task.clone()).or_default();
        *newest = (*newest).max(run.run);
        let is_running = worker
            .running
            .get(&run.task)
            .is_some_and(|run_state| run_state.run == run.run);
        if is_running {
            worker.end(&run.task, RunEnd::Stopped);
        }
        let now_ms = self.now_ms;
        self.scheduler
            .on_stopped(now_ms, &run.agent, &run.task, run.run);
    }

    pub(super) fn pace(&mut self, run: &RunRef, percent: u32) {
        self.pace_orders += 1;
        let view = self.scheduler.worker(&run.agent);
        let is_halted = view.is_some_and(|view| view.over_target_ms(self.now_ms) >= HALT_MS);
        self.paced_in_halts += u32::from(is_halted && percent > 0);
        if self.lose_paces > 0 {
            self.lose_paces -= 1;
            self.scheduler.on_pace_lost(&run.task, run.run);
            return;
        }
        let worker = self.workers.get_mut(&run.agent).unwrap();
        if let Some(run_state) = worker.running.get_mut(&run.task) {
            run_state.pace = percent;
        }
    }

    /// Has a worker carry out an old order to start a run, which the scheduler has given up on.
    pub fn start_late(&mut self, agent: &AgentId, task: &TaskKey, run: u32) {
        let worker = self.workers.get_mut(agent).unwrap();
        worker.lease_until_ms = worker.clock_ms(self.now_ms) + LEASE_TERMS.term_ms;
        let started = ModelRun {
            run,
            started_ms: self.now_ms,
            done_micro: 0,
            pace: 100,
            saves_progress: false,
        };
        worker.running.insert(task.clone(), started);
    }
}
