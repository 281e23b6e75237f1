//! Effects of the scheduler's decisions: orders to agents, ends of flows, and the log.

use crate::coordinator::Coordinator;
use crate::metric_labels::DirectionLabel;
use crate::metrics::Metrics;
use actix::Context;
use flow::{Decision, DecisionKind, Effect, FlowEnd, FlowPhase, PaceDirection, RunRef};
use interference::PaceReason;
use model::{AgentId, JobId};
use telemetry::{Event, log_event};
use utils::{boot_ms, wall_ms};
use worker_speed::SpeedChange;

impl Coordinator {
    /// Carries out the effects that the scheduler has queued.
    pub(crate) fn run_effects(&mut self, context: &mut Context<Self>) {
        let effects = match self.leadership.as_mut() {
            Some(leadership) => leadership.scheduler.take_effects(),
            None => return,
        };
        for effect in effects {
            match effect {
                Effect::Start(run, input) => self.send_start(run, input, context),
                Effect::Stop(run) => self.send_stop(run, context),
                Effect::Pace(run, percent) => self.send_pace(run, percent, context),
                Effect::PaceOrdered(run, direction, reason) => {
                    self.record_pace_order(&run, direction, reason);
                }
                Effect::Acknowledge(agent) => {
                    let is_awaiting_ack = self
                        .leadership
                        .as_ref()
                        .and_then(|leadership| leadership.agents.get(&agent))
                        .is_some_and(|connection| connection.is_awaiting_ack);
                    if is_awaiting_ack {
                        self.poll(&agent, context);
                    }
                }
                Effect::Ended(job, phase) => self.record_end(job, phase),
                Effect::SetAside(job, fault) => {
                    log_event!(error, Event::FlowSetAside, job = %job, reason = %fault);
                }
                Effect::StepDown => self.step_down("a start was fenced off", context),
                Effect::PressureLearned(agent, change) => {
                    log_event!(info, Event::PairJudged, agent = %agent, filler = change.filler,
                        serving = change.critical, pressure = change.pressure);
                }
                Effect::OverloadBegan(outlooks) => {
                    log_event!(
                        warn,
                        Event::OverloadBegan,
                        deferred = outlooks.deferred,
                        in_time = outlooks.in_time,
                        late = outlooks.late,
                        hopeless = outlooks.hopeless
                    );
                }
                Effect::OverloadEnded { lasted_ms } => {
                    log_event!(info, Event::OverloadEnded, lasted_ms = lasted_ms);
                }
                Effect::QueueInDebt {
                    queue,
                    debt_percent,
                    share_percent,
                } => {
                    log_event!(warn, Event::QueueInDebt, queue, debt_percent, share_percent);
                }
                Effect::QueueDebtPaid { queue, lasted_ms } => {
                    log_event!(info, Event::QueueDebtPaid, queue, lasted_ms);
                }
                Effect::Duplicate(outcome) => Metrics::count(&self.metrics.duplicates, &outcome),
                Effect::LocalityChosen(outcome) => {
                    Metrics::count(&self.metrics.locality_waits, &outcome);
                }
                Effect::Preemption(outcome) => Metrics::count(&self.metrics.preemptions, &outcome),
                Effect::SpeedChanged(agent, change) => log_speed_change(&agent, change),
                Effect::Decided(decision) => self.log_decision(&decision),
            }
        }
    }

    /// Records that the end of a flow is durable.
    fn record_end(&mut self, job: JobId, phase: FlowPhase) {
        let Some(leadership) = self.leadership.as_mut() else {
            return;
        };
        log_event!(info, Event::FlowEnded, job = %job, state = %phase, epoch = leadership.epoch);
        Metrics::count(&self.metrics.ends, &phase);
        let end = FlowEnd {
            phase,
            ended_wall_ms: wall_ms(),
        };
        leadership.ended.push_back((job.clone(), boot_ms()));
        leadership.uncollected.push_back((job, end));
    }

    /// Counts the order of a pace, and logs it if paces are damped.
    fn record_pace_order(
        &self,
        run: &RunRef,
        direction: PaceDirection,
        reason: Option<PaceReason>,
    ) {
        let label = DirectionLabel {
            direction: direction.into(),
        };
        self.metrics.pace_orders.get_or_create(&label).inc();
        if let Some(reason) = reason {
            log_event!(info, Event::DampedPaceOrdered, agent = %run.agent, task = %run.task,
                run = run.run, direction = %direction, reason = %reason);
        }
    }

    /// Counts and logs a decision of the scheduler.
    fn log_decision(&self, decision: &Decision) {
        Metrics::count(&self.metrics.decisions, &decision.kind);
        let event = match decision.kind {
            DecisionKind::Placed => Event::TaskPlaced,
            DecisionKind::Ended => Event::RunEnded,
            DecisionKind::Lost => Event::RunGone,
            DecisionKind::Refused => Event::StartRefused,
            DecisionKind::Orphaned => Event::RunStray,
            DecisionKind::Stalled => Event::RunStalled,
            DecisionKind::Paused => Event::WorkerPaused,
            DecisionKind::Failed => Event::FlowFailed,
            DecisionKind::Suspected => Event::RunSuspected,
            DecisionKind::Moved => Event::RunMoved,
            DecisionKind::Revoked => Event::StartRevoked,
            DecisionKind::Duplicated => Event::RunDuplicated,
            DecisionKind::GaveUpNear => Event::NearWaitGivenUp,
            DecisionKind::MovedFromSlow => Event::RunMoved,
            DecisionKind::Preempted => Event::RunPreempted,
            DecisionKind::PreemptionLate => Event::PreemptionLate,
        };
        log_event!(info, event, job = %decision.task.job, task = %decision.task, run = decision.run,
            agent = %decision.agent, detail = %decision.detail);
    }
}

/// Logs that an agent's worker is slow or has recovered.
fn log_speed_change(agent: &AgentId, change: SpeedChange) {
    match change {
        SpeedChange::Slow { speed, jobs } => {
            log_event!(warn, Event::WorkerSlow, agent = %agent, speed, jobs);
        }
        SpeedChange::Recovered => log_event!(info, Event::WorkerRecovered, agent = %agent),
    }
}
