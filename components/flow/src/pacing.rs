//! Paces of fillers: how fast they work beside latency-critical tasks.

use crate::placed_runs::run_ref;
use crate::slack::PlacedFiller;
use crate::view::WorkerView;
use crate::{Effect, PaceDirection, RunStage, Scheduler, TaskKey};
use interference::{CurrentPace, PaceBudget, PaceDecision, PaceReason, plan_paces};
use model::AgentId;

/// Time over a target after which the pace of all fillers is set to 0, in milliseconds. The model is
/// wrong by then.
const HALT_AFTER_MS: u64 = 1_500;
/// Time for which a plan of paces has to hold, in milliseconds: until the next report's plan is in
/// force.
const PLAN_HORIZON_MS: u64 = 800;
/// Difference from which a changed pace is ordered, in percent of the full pace.
const MIN_PACE_CHANGE_PERCENT: u32 = 10;
/// Pace below which a filler is halted, in percent of the full pace.
const MIN_PACE_PERCENT: u32 = 5;
/// Least time between two changes of a filler's pace, in milliseconds.
const SETTLE_MS: u64 = 300;
/// Full pace, in percent.
const FULL_PACE_PERCENT: u32 = 100;
/// Part of the margin above the target that is kept free of fillers, which damped paces may use up: they
/// deviate less from the plan for the present load, so that less is reserved for that.
const DAMPED_GIVEN_BACK_MARGIN: f64 = 0.1;

impl Scheduler {
    /// Sets the paces of a worker's fillers by the plan for the next moments. All are halted once a
    /// target has been missed for [`HALT_AFTER_MS`].
    pub(crate) fn set_paces(&mut self, now_ms: u64, agent: &AgentId) {
        let fillers = self.placed_fillers(agent);
        if fillers.is_empty() {
            return;
        }
        let is_halted = self
            .worker(agent)
            .is_some_and(|view| view.over_target_ms(now_ms) >= HALT_AFTER_MS);
        let paces = if is_halted {
            vec![0.0; fillers.len()]
        } else {
            let budgets = self.pace_budgets(now_ms, agent, &fillers);
            plan_paces(fillers.len(), &budgets)
        };
        for (filler, pace) in fillers.iter().zip(paces) {
            let percent = (pace * f64::from(FULL_PACE_PERCENT)) as u32;
            let percent = if percent < MIN_PACE_PERCENT {
                0
            } else {
                percent
            };
            if self.policies.damped_pacing {
                self.adjust_damped_pace(now_ms, agent, &filler.key, percent);
            } else {
                self.adjust_pace(now_ms, &filler.key, percent, is_halted);
            }
        }
    }

    /// What each latency-critical task on a worker leaves to these fillers.
    fn pace_budgets(
        &mut self,
        now_ms: u64,
        agent: &AgentId,
        fillers: &[PlacedFiller],
    ) -> Vec<PaceBudget> {
        let given_back = if self.policies.damped_pacing {
            DAMPED_GIVEN_BACK_MARGIN
        } else {
            0.0
        };
        let bearable = self.bearable_losses(now_ms, PLAN_HORIZON_MS, agent);
        bearable
            .into_iter()
            .map(|bearable| PaceBudget {
                slack: (bearable.slack + given_back) / bearable.deviation,
                pressures: self.losses(bearable.image, fillers),
            })
            .collect()
    }

    /// Sets the pace of a filler that has just started beside latency-critical tasks.
    pub(crate) fn pace_new_filler(&mut self, now_ms: u64, key: &TaskKey) {
        let is_filler = self.step_spec(key).is_some_and(|spec| spec.filler);
        let agent = self.placement(key).map(|placement| placement.agent.clone());
        if let Some(agent) = agent.filter(|_| is_filler) {
            self.set_paces(now_ms, &agent);
        }
    }

    /// Processors of the fillers on a worker that their paces leave unused, in thousandths.
    pub(crate) fn unused_by_pace_milli(&self, view: &WorkerView) -> i64 {
        let fillers = view.allocations.iter();
        let fillers = fillers.filter(|(_, allocation)| allocation.filler);
        let unused = fillers.map(|(key, allocation)| {
            let pace = self
                .placement(key)
                .map_or(FULL_PACE_PERCENT, |placement| placement.pace);
            let idle_percent = FULL_PACE_PERCENT.saturating_sub(pace);
            i64::from(allocation.processors_milli) * i64::from(idle_percent) / 100
        });
        unused.sum()
    }

    /// Orders a new pace of a running filler if it differs enough and the last change has settled. A
    /// halt is ordered at once.
    fn adjust_pace(&mut self, now_ms: u64, key: &TaskKey, percent: u32, is_halt: bool) {
        let task = self.task_mut(key);
        let Some(placement) = task.and_then(|task| task.placement.as_mut()) else {
            return;
        };
        let is_told = placement.is_pace_known && placement.pace == percent;
        if !matches!(placement.stage, RunStage::Running { .. }) || is_told {
            return;
        }
        let difference = placement.pace.abs_diff(percent);
        let is_limit = percent == 0 || percent == FULL_PACE_PERCENT;
        let is_settled = now_ms >= placement.pace_changed_ms + SETTLE_MS;
        let is_change = is_limit || difference >= MIN_PACE_CHANGE_PERCENT;
        let is_due = is_settled && (is_change || !placement.is_pace_known);
        if is_due || is_halt {
            self.set_pace(now_ms, key, percent, None);
        }
    }

    /// Orders a new pace of a running filler if the damping of its pace asks for it.
    fn adjust_damped_pace(&mut self, now_ms: u64, agent: &AgentId, key: &TaskKey, percent: u32) {
        let Some(placement) = self.placement(key) else {
            return;
        };
        if !matches!(placement.stage, RunStage::Running { .. }) {
            return;
        }
        let current = CurrentPace {
            percent: placement.pace,
            is_known: placement.is_pace_known,
        };
        let view = self.worker_mut(agent);
        let damping = view.pace_dampings.entry(key.clone()).or_default();
        match damping.decide(now_ms, current, percent) {
            PaceDecision::Order(percent, reason) => {
                self.set_pace(now_ms, key, percent, Some(reason));
            }
            PaceDecision::Keep(_) => {}
        }
    }

    /// Records a new pace for a placed run and orders it.
    fn set_pace(&mut self, now_ms: u64, key: &TaskKey, pace: u32, reason: Option<PaceReason>) {
        let task = self.task_mut(key);
        if let Some(placement) = task.and_then(|task| task.placement.as_mut()) {
            let direction = PaceDirection::between(placement.pace, pace);
            placement.pace = pace;
            placement.is_pace_known = true;
            placement.pace_changed_ms = now_ms;
            let run = run_ref(key, placement.run, placement);
            self.effects.push(Effect::Pace(run.clone(), pace));
            let ordered = Effect::PaceOrdered(run, direction, reason);
            self.effects.push(ordered);
        }
    }
}
