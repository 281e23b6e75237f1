//! Protects tasks that serve callers from the fillers beside them: learns which ones disturb,
//! moves those elsewhere, and slows them down where there is no elsewhere.

use crate::progress::AT_WORK_PERCENT;
use crate::scheduler::run_ref;
use crate::suit::Room;
use crate::view::Allocation;
use crate::{
    DecisionKind, Effect, PairVerdict, RunningTask, Scheduler, Stage, TaskKey, VerdictChange,
};
use model::{AgentId, ServiceName};
use utils::Map;

/// Share of a latency target from which fillers are held back, in percent.
const HOLD_BACK_PERCENT: u32 = 100;
/// Share of a latency target below which fillers are let go a step, in percent.
const LET_GO_PERCENT: u32 = 75;
/// Time over a target after which fillers are stopped at once, in milliseconds.
const HALT_AFTER_MS: u64 = 1_500;
/// Time after a change of pace before the next measurement counts: latencies are averages over
/// half a second.
const SETTLE_MS: u64 = 500;
/// Paces at which fillers may work, in percent.
const PACES: [u32; 4] = [0, 25, 50, 100];
/// Processors in use from which a filler counts as working, in thousandths.
const WORKING_MILLI: u32 = 1_000;
/// Age from which a filler may be to blame for a latency, in milliseconds.
const BLAME_AGE_MS: u64 = 150;
/// Age from which a calm latency speaks for a filler, in milliseconds.
const CALM_AGE_MS: u64 = 900;
/// Multiple of the latency without fillers from which it counts as raised, in percent.
const RAISED_PERCENT: u32 = 170;
/// Multiple of the last latency from which it counts as rising, in percent.
const RISING_PERCENT: u32 = 120;
/// Share of its target below which a latency is never held against anyone, in percent.
const HARMLESS_PERCENT: u32 = 50;
/// Share of its target that a latency is taken to have before it was measured, in percent.
const FIRST_BASE_PERCENT: u32 = 35;
/// Progress up to which a filler that saves nothing is moved, in percent.
const CHEAP_MOVE_PERCENT: u32 = 30;

/// Latency of a task that serves, as followed over time.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LatencyTrace {
    /// Latency without working fillers, in milliseconds.
    pub base_ms: u32,
    /// Last latency, in milliseconds.
    pub last_ms: u32,
}

/// A task that serves, as measured now.
struct Serving {
    /// The task.
    key: TaskKey,
    /// What it runs.
    image: String,
    /// Its target, in milliseconds.
    target_ms: u32,
    /// Its latency, in milliseconds.
    latency_ms: u32,
}

/// A filler that works.
struct Working {
    /// What it runs.
    image: String,
    /// How long it has worked as it does now, in milliseconds.
    age_ms: u64,
    /// Whether it works at its full pace.
    is_full: bool,
}

/// The next pace of a filler: a step down while a target is missed, none at all if that does not
/// help, a step up when all is well.
fn next_pace(pace: u32, worst_percent: u32, over_ms: u64) -> u32 {
    let at = PACES.iter().position(|step| *step >= pace).unwrap_or(0);
    if worst_percent >= HOLD_BACK_PERCENT && over_ms >= HALT_AFTER_MS {
        PACES[0]
    } else if worst_percent >= HOLD_BACK_PERCENT {
        PACES[at.saturating_sub(1)]
    } else if worst_percent < LET_GO_PERCENT {
        PACES[(at + 1).min(PACES.len() - 1)]
    } else {
        pace
    }
}

fn image_of(held: &Allocation) -> String {
    held.image.clone().unwrap_or_default()
}

impl Scheduler {
    /// Learns from the latencies of a worker, and changes what its fillers may do.
    pub(crate) fn protect(
        &mut self,
        now_ms: u64,
        agent: &AgentId,
        running: &Map<&TaskKey, &RunningTask>,
    ) {
        let serving = self.serving(agent, running);
        let fillers = self.fillers(agent, running);
        let share = |task: &Serving| task.latency_ms.saturating_mul(100) / task.target_ms.max(1);
        let worst = serving.iter().map(share).max().unwrap_or(0);
        let over_ms = self.time_over(now_ms, agent, worst);
        self.learn(now_ms, agent, &serving, running);
        let troubled = |task: &&Serving| share(task) >= HOLD_BACK_PERCENT;
        let troubled: Vec<&Serving> = serving.iter().filter(troubled).collect();
        let is_cleared = |key: &TaskKey| self.is_harmless(key, &troubled);
        let cleared: Vec<bool> = fillers.iter().map(is_cleared).collect();
        let has_suspects = cleared.contains(&false);
        let has_misplaced = fillers.iter().any(|key| self.is_misplaced(key, &serving));
        let rooms = if has_misplaced {
            self.rooms(now_ms)
        } else {
            Vec::new()
        };
        for (key, is_cleared) in fillers.iter().zip(cleared) {
            if self.is_misplaced(key, &serving) && self.move_away(now_ms, agent, key, &rooms) {
                continue;
            }
            let is_spared =
                !troubled.is_empty() && is_cleared && has_suspects && over_ms < HALT_AFTER_MS;
            if !is_spared {
                self.pace_one(now_ms, key, worst, over_ms);
            }
        }
    }

    /// What a task runs.
    fn image(&self, key: &TaskKey) -> &str {
        let image = self.step_spec(key).and_then(|spec| spec.image.as_deref());
        image.unwrap_or_default()
    }

    /// Whether a filler is known to leave all of these tasks alone.
    fn is_harmless(&self, key: &TaskKey, tasks: &[&Serving]) -> bool {
        let image = self.image(key);
        let is_good = |task: &&Serving| self.pairs.verdict(image, &task.image) == PairVerdict::Good;
        tasks.iter().all(is_good)
    }

    /// Tasks of a worker that serve and are at work.
    fn serving(&self, agent: &AgentId, running: &Map<&TaskKey, &RunningTask>) -> Vec<Serving> {
        let held = self
            .worker(agent)
            .into_iter()
            .flat_map(|view| &view.allocations);
        held.filter_map(|(key, held)| {
            let target_ms = held.latency_target_ms?;
            let run = running
                .get(key)
                .filter(|run| run.percent >= AT_WORK_PERCENT)?;
            Some(Serving {
                key: key.clone(),
                image: image_of(held),
                target_ms,
                latency_ms: run.load,
            })
        })
        .collect()
    }

    /// Fillers of a worker.
    fn fillers(&self, agent: &AgentId, running: &Map<&TaskKey, &RunningTask>) -> Vec<TaskKey> {
        let held = self
            .worker(agent)
            .into_iter()
            .flat_map(|view| &view.allocations);
        held.filter(|(key, held)| held.filler && running.contains_key(key))
            .map(|(key, _)| key.clone())
            .collect()
    }

    /// Fillers of a worker that use processors.
    fn working(
        &self,
        now_ms: u64,
        agent: &AgentId,
        running: &Map<&TaskKey, &RunningTask>,
    ) -> Vec<Working> {
        let held = self
            .worker(agent)
            .into_iter()
            .flat_map(|view| &view.allocations);
        held.filter(|(_, held)| held.filler)
            .filter(|(key, _)| {
                let run = running.get(key);
                run.is_some_and(|run| run.load >= WORKING_MILLI)
            })
            .map(|(key, held)| {
                let placement = self.placement(key);
                let paced_ms = placement.map_or(0, |placement| placement.paced_ms);
                let pace = placement.map_or(0, |placement| placement.pace);
                Working {
                    image: image_of(held),
                    age_ms: now_ms.saturating_sub(held.since_ms.max(paced_ms)),
                    is_full: pace == PACES[PACES.len() - 1],
                }
            })
            .collect()
    }

    /// Learns which fillers disturb which tasks.
    fn learn(
        &mut self,
        now_ms: u64,
        agent: &AgentId,
        serving: &[Serving],
        running: &Map<&TaskKey, &RunningTask>,
    ) {
        let working = self.working(now_ms, agent, running);
        let suspects: Vec<&str> = working
            .iter()
            .filter(|filler| filler.age_ms >= BLAME_AGE_MS)
            .map(|filler| filler.image.as_str())
            .collect();
        for task in serving.iter().filter(|task| task.latency_ms > 0) {
            let first = LatencyTrace {
                base_ms: task.target_ms * FIRST_BASE_PERCENT / 100,
                last_ms: task.latency_ms,
            };
            let view = self.fleet.workers.entry(agent.clone()).or_default();
            let trace = view.latencies.entry(task.key.clone()).or_insert(first);
            let (base_ms, last_ms) = (trace.base_ms, trace.last_ms);
            trace.last_ms = task.latency_ms;
            if working.is_empty() {
                trace.base_ms = (base_ms + task.latency_ms) / 2;
                continue;
            }
            let is_raised = task.latency_ms * 100 >= base_ms * RAISED_PERCENT
                && task.latency_ms * 100 >= task.target_ms * HARMLESS_PERCENT;
            let is_rising = task.latency_ms * 100 >= last_ms * RISING_PERCENT;
            if is_raised && is_rising && !suspects.is_empty() {
                self.pairs.on_rise(&suspects, &task.image);
            } else if !is_raised {
                trace.base_ms = (base_ms * 9 + task.latency_ms) / 10;
                let calm = working
                    .iter()
                    .filter(|filler| filler.is_full && filler.age_ms >= CALM_AGE_MS);
                for filler in calm {
                    self.pairs.on_calm(&filler.image, &task.image);
                }
            }
        }
        let view = self.fleet.workers.entry(agent.clone()).or_default();
        let held = &view.allocations;
        view.latencies.retain(|key, _| held.contains_key(key));
        for (filler, serving, verdict) in self.pairs.take_verdicts() {
            self.effects.push(Effect::VerdictChanged(VerdictChange {
                agent: agent.clone(),
                filler,
                serving,
                verdict,
            }));
        }
    }

    /// Whether a filler disturbs a task beside it.
    fn is_misplaced(&self, key: &TaskKey, serving: &[Serving]) -> bool {
        let image = self.image(key);
        let is_bad = |task: &Serving| self.pairs.verdict(image, &task.image) == PairVerdict::Bad;
        serving.iter().any(is_bad)
    }

    /// Moves a filler to a worker on which it disturbs nobody, if there is one with room and the
    /// move costs little.
    fn move_away(
        &mut self,
        now_ms: u64,
        agent: &AgentId,
        key: &TaskKey,
        rooms: &[(ServiceName, Room)],
    ) -> bool {
        let Some(state) = self.flows.get(&key.job) else {
            return false;
        };
        let (Some(spec), Some(task)) = (state.step_spec(key.step), state.task(key)) else {
            return false;
        };
        let Some(placement) = task.placement.clone() else {
            return false;
        };
        let is_cheap = spec.saves_progress || placement.percent <= CHEAP_MOVE_PERCENT;
        let is_running = matches!(placement.stage, Stage::Running { .. });
        if !is_cheap || !is_running || !self.has_quiet_room(agent, key, rooms) {
            return false;
        }
        let run = task.run;
        let detail = format!("disturbs its neighbours at {}%", placement.percent);
        self.note(DecisionKind::Moved, key, run, agent, detail);
        self.stop(now_ms, key, run, &placement);
        true
    }

    /// Slows a filler down that has just started beside a task that it disturbs.
    pub(crate) fn start_gently(&mut self, now_ms: u64, key: &TaskKey) {
        let Some(state) = self.flows.get(&key.job) else {
            return;
        };
        let is_filler = state.step_spec(key.step).is_some_and(|spec| spec.filler);
        let agent = state
            .task(key)
            .and_then(|task| Some(task.placement.as_ref()?.agent.clone()));
        let Some(agent) = agent.filter(|_| is_filler) else {
            return;
        };
        let held = self
            .worker(&agent)
            .into_iter()
            .flat_map(|view| &view.allocations);
        let serving: Vec<Serving> = held
            .filter_map(|(key, held)| {
                Some(Serving {
                    key: key.clone(),
                    image: image_of(held),
                    target_ms: held.latency_target_ms?,
                    latency_ms: 0,
                })
            })
            .collect();
        if self.is_misplaced(key, &serving) {
            self.set_pace(now_ms, key, PACES[1]);
        }
    }

    fn set_pace(&mut self, now_ms: u64, key: &TaskKey, pace: u32) {
        let task = self.task_mut(key);
        let Some(task) = task else {
            return;
        };
        let run = task.run;
        if let Some(placement) = task.placement.as_mut() {
            placement.pace = pace;
            placement.paced_ms = now_ms;
            let run = run_ref(key, run, placement);
            self.effects.push(Effect::Pace(run, pace));
        }
    }

    /// For how long a target on the worker has been missed.
    fn time_over(&mut self, now_ms: u64, agent: &AgentId, worst_percent: u32) -> u64 {
        let view = self.worker_mut(agent);
        view.worst_percent = worst_percent;
        if worst_percent < HOLD_BACK_PERCENT {
            view.over_since_ms = None;
            return 0;
        }
        let since_ms = *view.over_since_ms.get_or_insert(now_ms);
        now_ms.saturating_sub(since_ms)
    }

    fn pace_one(&mut self, now_ms: u64, key: &TaskKey, worst_percent: u32, over_ms: u64) {
        let task = self.task_mut(key);
        let Some(placement) = task.and_then(|task| task.placement.as_mut()) else {
            return;
        };
        if !matches!(placement.stage, Stage::Running { .. }) {
            return;
        }
        let next = next_pace(placement.pace, worst_percent, over_ms);
        let is_settled = now_ms >= placement.paced_ms + SETTLE_MS;
        let is_halt = next == PACES[0] && over_ms >= HALT_AFTER_MS;
        if next == placement.pace || !(is_settled || is_halt) {
            return;
        }
        self.set_pace(now_ms, key, next);
    }
}
