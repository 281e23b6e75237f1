//! Protects tasks that serve callers from the fillers beside them.

use crate::scheduler::run_ref;
use crate::{Effect, RunningTask, Scheduler, Stage, TaskKey};
use model::AgentId;
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

/// How the most troubled serving task on a worker does, as a share of its target.
fn worst_percent(
    targets: &Map<TaskKey, u32>,
    running: &Map<&TaskKey, &RunningTask>,
) -> Option<u32> {
    let share = |(key, target_ms): (&TaskKey, &u32)| {
        let run = running.get(key)?;
        Some(run.load.saturating_mul(100) / (*target_ms).max(1))
    };
    targets.iter().filter_map(share).max()
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

impl Scheduler {
    /// Changes the pace of fillers by the latencies of the tasks that serve beside them.
    pub(crate) fn protect(
        &mut self,
        now_ms: u64,
        agent: &AgentId,
        running: &Map<&TaskKey, &RunningTask>,
    ) {
        let Some(view) = self.worker(agent) else {
            return;
        };
        let fillers: Vec<TaskKey> = view
            .held
            .iter()
            .filter(|(key, held)| held.filler && running.contains_key(key))
            .map(|(key, _)| key.clone())
            .collect();
        if fillers.is_empty() {
            return;
        }
        let targets: Map<TaskKey, u32> = view
            .held
            .iter()
            .filter_map(|(key, held)| Some((key.clone(), held.latency_target_ms?)))
            .collect();
        let worst = worst_percent(&targets, running).unwrap_or(0);
        let over_ms = self.time_over(now_ms, agent, worst);
        self.note_load(agent, running);
        for key in fillers {
            self.pace_one(now_ms, &key, worst, over_ms);
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

    /// Logs what the tasks on a worker do to each other.
    fn note_load(&mut self, agent: &AgentId, running: &Map<&TaskKey, &RunningTask>) {
        let Some(view) = self.worker(agent) else {
            return;
        };
        let mut words = Vec::new();
        for (key, held) in &view.held {
            let Some(run) = running.get(key) else {
                continue;
            };
            let pace = self
                .flows
                .get(&key.job)
                .and_then(|state| state.task(key)?.placement.as_ref())
                .map_or(0, |placement| placement.pace);
            let image = held.image.as_deref().unwrap_or("-");
            let target = held.latency_target_ms.unwrap_or(0);
            words.push(format!(
                "{image}:{}:{target}:{}:{pace}:{}",
                held.processors_milli, run.load, run.percent
            ));
        }
        let detail = words.join(" ");
        if let Some((key, held)) = view.held.first_key_value() {
            let (key, run) = (key.clone(), held.run);
            self.note(crate::NoteKind::Measured, &key, run, agent, detail);
        }
    }

    fn pace_one(&mut self, now_ms: u64, key: &TaskKey, worst_percent: u32, over_ms: u64) {
        let task = self
            .flows
            .get_mut(&key.job)
            .and_then(|state| state.task_mut(key));
        let Some(task) = task else {
            return;
        };
        let run = task.run;
        let Some(placement) = task.placement.as_mut() else {
            return;
        };
        if !matches!(placement.stage, Stage::Running { .. }) {
            return;
        }
        let next = next_pace(placement.pace, worst_percent, over_ms);
        let is_settled = now_ms >= placement.paced_ms + SETTLE_MS;
        if next == placement.pace || !is_settled {
            return;
        }
        placement.pace = next;
        placement.paced_ms = now_ms;
        let run = run_ref(key, run, placement);
        self.effects.push(Effect::Pace(run, next));
    }
}
