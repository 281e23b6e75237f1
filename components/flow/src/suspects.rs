//! Finds tasks that crash the workers that start them, and contains them.
//!
//! A crash ends every run on the worker, so it does not show which one caused it. A run whose worker
//! crashes soon after its start makes its task a *suspect*. Suspects are isolated: they start on a
//! worker without other new runs, which gets none until theirs have outlived the time in which a
//! crash counts against them. While there are many, a few start together; after a second crash each
//! starts alone. A crash soon after a start alone can hardly be due to another task; after two of them
//! the suspect is given up. A task under which workers crash time and again, none of its runs
//! outliving that time, is given up in any case.

use crate::candidate::{Candidate, FillerNeed};
use crate::crashes::{CrashCount, Isolation, RunAge, run_age};
use crate::holds::{HOLD_MS, limit_holds, max_held};
use crate::worker_rules::has_label;
use crate::{DecisionKind, FlowState, RunStage, Scheduler, StepSpec, TaskKey};
use model::{AgentId, ServiceName};

/// Most suspects that start together on one worker.
const MAX_GROUP: usize = 6;
/// Crashes soon after a start alone after which a suspect is given up.
const MAX_ALONE_CRASHES: u32 = 2;
/// Crashes of any kind under a task, without a run that outlived the time in which a crash
/// counts against it, after which it is given
/// up. The platform allows five starts that crash a worker.
const MAX_CRASHES: u32 = 5;

impl Scheduler {
    /// Counts the crash of a worker against the task of a run that is placed there. Called before
    /// the placement is removed.
    pub(crate) fn count_crash(&mut self, now_ms: u64, key: &TaskKey, agent: &AgentId) {
        let placed_ms = self.placed_ms(key, agent);
        let is_alone = self.is_alone(key, agent);
        let Some(task) = self.task_mut(key) else {
            return;
        };
        let Some(placement) = task.placement_on(agent) else {
            return;
        };
        let run = placement.run;
        let age = run_age(now_ms, placement, placed_ms);
        let is_confirmed = !matches!(placement.stage, RunStage::Ordered | RunStage::Unconfirmed);
        match age {
            RunAge::NotStarted => return,
            RunAge::New => {
                task.crashes.soon += 1;
                task.crashes.alone += u32::from(is_confirmed && is_alone);
                task.crashes.total += 1;
                task.avoided_agent = Some(agent.clone());
            }
            RunAge::Unknown => task.crashes.total += 1,
            RunAge::Working => task.crashes = CrashCount::default(),
        }
        let crashes = task.crashes;
        if crashes.is_suspect() || crashes.total >= MAX_CRASHES {
            self.suspects.insert(key.clone(), now_ms);
        }
        if age == RunAge::New {
            let detail = format!("crash {} soon after a start", crashes.soon);
            self.log_decision(DecisionKind::Suspected, key, run, agent, detail);
        }
    }

    /// Clears a task of suspicion, as its run ended without a crash.
    pub(crate) fn clear_suspicion(&mut self, key: &TaskKey) {
        if let Some(task) = self.task_mut(key) {
            task.crashes = CrashCount::default();
        }
        self.suspects.remove(key);
    }

    /// Places each suspect whose turn has come on a worker without other new runs, or keeps one free
    /// for it. Called before other tasks are placed.
    pub(crate) fn place_suspects(
        &mut self,
        now_ms: u64,
        candidates: &mut [(ServiceName, Candidate)],
    ) {
        if self.suspects.is_empty() {
            return;
        }
        self.prepare_holds(now_ms, candidates);
        let mut suspects: Vec<(u64, TaskKey)> = self
            .suspects
            .iter()
            .map(|(key, crashed_ms)| (*crashed_ms, key.clone()))
            .collect();
        suspects.sort();
        for (_, key) in suspects {
            if self.is_over(&key) {
                self.suspects.remove(&key);
            } else if self.is_queued(now_ms, &key) {
                self.judge_suspect(now_ms, &key, candidates);
            }
        }
    }

    /// Gives a suspect up if it has crashed too many workers, and otherwise starts it isolated.
    fn judge_suspect(
        &mut self,
        now_ms: u64,
        key: &TaskKey,
        candidates: &mut [(ServiceName, Candidate)],
    ) {
        let is_gang = self.step_spec(key).is_some_and(|spec| spec.gang);
        let Some(crashes) = self.task(key).map(|task| task.crashes) else {
            return;
        };
        let is_proven = crashes.alone >= MAX_ALONE_CRASHES && !is_gang;
        if is_proven || crashes.total >= MAX_CRASHES {
            self.give_up(now_ms, key, crashes);
        } else if is_gang || !crashes.is_suspect() {
            self.suspects.remove(key);
        } else {
            self.place_suspect(now_ms, key, candidates);
        }
    }

    fn give_up(&mut self, now_ms: u64, key: &TaskKey, crashes: CrashCount) {
        let CrashCount { soon, total, .. } = crashes;
        let detail =
            format!("{total} workers crashed under it, {soon} of them soon after its start");
        let agent = self.task(key).and_then(|task| task.avoided_agent.clone());
        let agent = agent.unwrap_or_else(|| "".into());
        self.suspects.remove(key);
        self.fail_flow(now_ms, key, &agent, detail);
    }

    /// Starts a suspect on a worker without other new runs. While there is none, keeps one worker free
    /// on which it may start.
    fn place_suspect(
        &mut self,
        now_ms: u64,
        key: &TaskKey,
        candidates: &mut [(ServiceName, Candidate)],
    ) {
        let service = self.service_of(&key.job).cloned();
        let (Some(service), Some(spec)) = (service, self.step_spec(key).cloned()) else {
            return;
        };
        limit_holds(&service, candidates);
        let need = self.filler_need(now_ms, &spec, 0.0, candidates);
        if let Some(index) = self.best_candidate(key, &service, candidates, None, &need) {
            self.start_isolated(now_ms, key, &service, &need, candidates, index);
            return;
        }
        let is_waiting = candidates
            .iter()
            .any(|(_, candidate)| candidate.held_for.contains(key));
        if is_waiting {
            return;
        }
        if let Some(index) = self.best_hold(key, &service, candidates, &need) {
            self.hold(key, &mut candidates[index].1, now_ms + HOLD_MS);
        }
    }

    /// Starts a suspect on a candidate, alone or as one of a group.
    fn start_isolated(
        &mut self,
        now_ms: u64,
        key: &TaskKey,
        service: &ServiceName,
        need: &FillerNeed,
        candidates: &mut [(ServiceName, Candidate)],
        index: usize,
    ) {
        let Some(spec) = self.step_spec(key).cloned() else {
            return;
        };
        let isolation = self.task(key).map(|task| task.crashes.isolation());
        let open_places = match (isolation, candidates[index].1.open_places) {
            (Some(Isolation::Group), 0) => self.group_size(&spec, service, candidates) - 1,
            (Some(Isolation::Group), open_places) => open_places - 1,
            _ => 0,
        };
        for (_, candidate) in candidates.iter_mut() {
            candidate.held_for.retain(|task| task != key);
        }
        let candidate = &mut candidates[index].1;
        candidate.use_slack(&need.pressures, &spec);
        candidate.open_places = open_places;
        self.hold(key, candidate, now_ms);
        self.assign(now_ms, key, candidate, None, None);
    }

    /// How many suspects of a step's label start together on a worker: one, unless many wait for the
    /// workers on which they may be isolated at a time.
    fn group_size(
        &self,
        spec: &StepSpec,
        service: &ServiceName,
        candidates: &[(ServiceName, Candidate)],
    ) -> usize {
        let is_alike = |key: &&TaskKey| {
            let other = self.step_spec(key);
            self.placement(key).is_none() && other.is_some_and(|other| other.label == spec.label)
        };
        let waiting = self.suspects.keys().filter(is_alike).count();
        let pool = candidates.iter().filter(|(pool, _)| pool == service);
        let views = pool.filter_map(|(_, candidate)| self.worker(&candidate.agent));
        let workers = views.filter(|view| has_label(view, spec)).count();
        let isolating = workers.min(max_held(service, candidates)).max(1);
        waiting.div_ceil(isolating).clamp(1, MAX_GROUP)
    }

    /// When this scheduler placed a run on a worker; 0 if a former one did.
    pub(crate) fn placed_ms(&self, key: &TaskKey, agent: &AgentId) -> u64 {
        let view = self.worker(agent);
        let allocation = view.and_then(|view| view.allocations.get(key));
        allocation.map_or(0, |allocation| allocation.since_ms)
    }

    /// Whether a task needs no further run.
    fn is_over(&self, key: &TaskKey) -> bool {
        let state = self.flows.get(&key.job);
        state.is_none_or(|state| state.is_closed() || state.task(key).is_none_or(|task| task.done))
    }

    /// Whether a task may be placed now.
    pub(crate) fn is_queued(&self, now_ms: u64, key: &TaskKey) -> bool {
        let Some(state) = self.flows.get(&key.job) else {
            return false;
        };
        let is_waiting = state
            .task(key)
            .is_some_and(|task| task.placement.is_none() && now_ms >= task.not_before_ms);
        is_waiting
            && state.is_step_ready(key.occurrence as usize, key.step as usize)
            && !self.fleet.has_orphan(key)
    }
}

/// Tasks of a restored flow that are to be judged before they start, each with the time of its last
/// crash, which is not known.
pub(crate) fn suspects(state: &FlowState) -> impl Iterator<Item = (TaskKey, u64)> {
    let suspects = state.tasks().filter(|(_, task)| {
        !task.done && (task.crashes.is_suspect() || task.crashes.total >= MAX_CRASHES)
    });
    suspects.map(|(key, _)| (key, 0))
}
