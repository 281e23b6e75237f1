//! Scheduling pass. [`Scheduler::place`] is its sequence:
//!
//! 1. **Filter:** which flows have queued tasks (`prepare_flows`, `order_flows`), and which workers accept
//!    runs now (`candidates`). Capacity and the rules of a step filter the workers again for each task
//!    (`best_candidate`, `may_run`).
//! 2. **Order:** the flows, by what they can still achieve (overload.rs) or by their due times
//!    (due_order.rs); among flows of equal priority, those of queues that have used more than their share
//!    come last (shares.rs). Suspects come first, as they are isolated.
//! 3. **Score:** the best candidate of each queued task (`best_candidate`, candidate.rs). A gang chooses
//!    one for each member, or none at all (gang.rs).
//! 4. **Commit:** the placement (`assign`). It takes capacity from the candidate, and its start is sent once
//!    the flow's record is durable.
//!
//! Steps 3 and 4 alternate: each placement changes what the next task finds. Urgent tasks that find no room
//! may then have runs stopped (preemption.rs), so that a later pass places them.

use crate::candidate::{Candidate, FillerNeed, MIN_PLACED_PACE};
use crate::full_pool::FullPools;
use crate::placed_runs::allocation_for;
use crate::{DecisionKind, Outlooks, Placement, RunStage, Scheduler, StepSpec, StepState, TaskKey};
use model::{JobId, ServiceName};

/// Longest time for which a flow without placements waits for a worker on which its filler is not
/// known to disturb anything, in milliseconds.
const MAX_UNDISTURBED_WAIT_MS: u64 = 3_000;
/// The same limit while most of the pool is free, in milliseconds.
const MAX_UNDISTURBED_WAIT_FREE_POOL_MS: u64 = 1_500;

/// Greatest reserved share of a pool's processors at which it counts as mostly free, in percent.
const MOSTLY_FREE_MAX_USED_PERCENT: u64 = 60;
/// Most tasks of a step that one pass places, unless the step is a gang; later passes place the others.
const MAX_STEP_TASKS_PER_PASS: usize = 500;

impl Scheduler {
    /// Runs one scheduling pass: activates due occurrences and places every task that fits. Starts
    /// are sent only after the records of the placements are durable.
    pub fn place(&mut self, now_ms: u64, wall_ms: u64) {
        self.prepare_flows(wall_ms);
        self.settle_preemptions(now_ms);
        let order = self.order_flows(now_ms, wall_ms);
        let starved = self.starved_fillers_if_due(now_ms);
        let slow = self.slow_runs_if_due(now_ms);
        let stuck = self.stuck_tasks_if_due(now_ms);
        let has_slow = !slow.runs.is_empty();
        let is_idle = order.is_empty() && starved.is_empty() && !has_slow && stuck.is_empty();
        if is_idle && !self.has_evacuations() {
            self.observe_shares_if_due(now_ms, wall_ms);
            return;
        }
        for job in &order {
            self.fail_exhausted(now_ms, job);
        }
        let mut candidates = self.candidates(now_ms);
        self.place_suspects(now_ms, &mut candidates);
        let mut full = FullPools::default();
        for job in &order {
            self.place_flow(now_ms, job, &mut candidates, &mut full);
        }
        self.preempt_for_urgent(now_ms, &order, &mut candidates);
        self.move_fillers(now_ms, starved, &mut candidates);
        self.move_evacuated(now_ms, &mut candidates);
        self.move_stuck_tasks(now_ms, stuck, &mut candidates);
        self.place_duplicates(now_ms, slow, &mut candidates);
        self.observe_shares_if_due(now_ms, wall_ms);
    }

    /// Activates due occurrences, and drops states that the last pass left behind.
    fn prepare_flows(&mut self, wall_ms: u64) {
        let max_open = self.measure_progress();
        for state in self.flows.values_mut().filter(|state| !state.is_closed()) {
            state.release_done_steps();
            state.activate_within(wall_ms, max_open);
        }
    }

    /// Flows with queued tasks, in the order in which they are served.
    fn order_flows(&mut self, now_ms: u64, wall_ms: u64) -> Vec<JobId> {
        self.filler_failures.expire(now_ms);
        let (order, outlooks) = self.flow_order(now_ms, wall_ms);
        if self.policies.overload_order {
            self.observe_overload(now_ms, outlooks);
        }
        order
    }

    /// The order of flows by the policies, and the numbers of flows by outlook; these are 0 where the
    /// order does not depend on them.
    pub(crate) fn flow_order(&self, now_ms: u64, wall_ms: u64) -> (Vec<JobId>, Outlooks) {
        if self.policies.overload_order {
            self.order_by_outlook(now_ms, wall_ms)
        } else {
            (self.order_by_due_time(now_ms), Outlooks::default())
        }
    }

    /// Places the queued tasks of every step of a flow whose dependencies are done, unless the flow was
    /// given up earlier in the pass.
    fn place_flow(
        &mut self,
        now_ms: u64,
        job: &JobId,
        candidates: &mut [(ServiceName, Candidate)],
        full: &mut FullPools,
    ) {
        let state = self.flows.get(job);
        let Some(state) = state.filter(|state| !state.is_closed()) else {
            return;
        };
        let Some(service) = self
            .config
            .queue(&state.job.queue)
            .map(|queue| queue.service.clone())
        else {
            return;
        };
        let ready = state.ready_steps();
        let mut specs = ready.iter().map(|(_, step)| state.step_spec(*step as u32));
        let mut waits = |spec| self.has_no_room(spec, &service, candidates, full);
        if specs.all(|spec| spec.is_some_and(&mut waits)) {
            self.keep_waiting(now_ms, job, &ready);
            return;
        }
        for (occurrence, step) in ready {
            let Some(spec) = self
                .flows
                .get(job)
                .and_then(|state| state.step_spec(step as u32))
            else {
                continue;
            };
            let is_gang = spec.gang;
            if self.has_no_room(spec, &service, candidates, full) {
                self.keep_waiting(now_ms, job, &[(occurrence, step)]);
                continue;
            }
            if !self.may_place(job, occurrence, step) {
                continue;
            }
            let had_begun = self.has_begun(job, occurrence, step);
            if is_gang {
                self.place_gang(now_ms, job, occurrence, step, &service, candidates);
            } else {
                self.place_step(now_ms, job, occurrence, step, &service, candidates);
            }
            if !had_begun {
                self.count_begun(job, occurrence, step);
            }
        }
    }

    /// Whether there is no room for the tasks of a step. Gangs, fillers and suspects are placed by rules
    /// of their own.
    fn has_no_room(
        &self,
        spec: &StepSpec,
        service: &ServiceName,
        candidates: &[(ServiceName, Candidate)],
        full: &mut FullPools,
    ) -> bool {
        let is_plain = !spec.gang && !spec.filler && self.suspects.is_empty();
        is_plain && self.finds_no_room(service, spec, candidates, full)
    }

    /// Tasks of a step that are neither done nor placed and whose restart delay has passed: all of a
    /// gang, and otherwise as many as one pass may place.
    pub(crate) fn queued_tasks(
        &self,
        now_ms: u64,
        job: &JobId,
        occurrence: usize,
        step: usize,
    ) -> Vec<TaskKey> {
        let Some(state) = self.flows.get(job) else {
            return Vec::new();
        };
        let is_gang = state.step_spec(step as u32).is_some_and(|spec| spec.gang);
        let limit = if is_gang {
            usize::MAX
        } else {
            // Suspects are placed apart from the others, so that they must not take their turns.
            MAX_STEP_TASKS_PER_PASS + self.suspects.len()
        };
        let tasks = state
            .occurrences
            .get(occurrence)
            .and_then(|occurrence| occurrence.steps.get(step))
            .map(StepState::all_tasks);
        tasks
            .into_iter()
            .flatten()
            .filter(|(_, task)| task.is_queued() && now_ms >= task.not_before_ms)
            .take(limit)
            .map(|(index, _)| TaskKey {
                job: job.clone(),
                occurrence: occurrence as u32,
                step: step as u32,
                index,
            })
            .collect()
    }

    /// Places the queued tasks of a step one by one until no candidate is left. A flow without
    /// placements that has waited too long tolerates interference for one task per pass.
    fn place_step(
        &mut self,
        now_ms: u64,
        job: &JobId,
        occurrence: usize,
        step: usize,
        service: &ServiceName,
        candidates: &mut [(ServiceName, Candidate)],
    ) {
        let mut queued = self.queued_tasks(now_ms, job, occurrence, step);
        queued.retain(|key| !self.suspects.contains_key(key));
        let queued_ms = self.update_queued_ms(now_ms, job, occurrence, step, queued.is_empty());
        let is_overdue = self.is_idle_for_long(job, queued_ms, service, candidates);
        let Some(first) = queued.first() else {
            return;
        };
        let spec = self.step_spec(first).cloned().unwrap_or_default();
        let is_known_to_fail = !is_overdue && self.filler_failures.includes(service, &spec);
        if spec.filler && (is_known_to_fail || !self.is_filler_retry_due(now_ms, first)) {
            return;
        }
        let filler = self.filler_need(now_ms, &spec, MIN_PLACED_PACE, candidates);
        let any_pace = FillerNeed {
            min_pace: 0.0,
            ..filler.clone()
        };
        let near = self.near_groups(now_ms, first, &spec, service, candidates);
        for key in queued {
            if self.fleet.has_orphan(&key) {
                continue;
            }
            let find = |filler| self.best_candidate(&key, service, candidates, None, filler);
            let undisturbed = find(&filler);
            let tolerated = || is_overdue.then(|| find(&any_pace)).flatten();
            let Some(index) = undisturbed.or_else(tolerated) else {
                self.delay_filler_retry(now_ms, &key);
                self.note_filler_failure(now_ms, service, &spec, candidates);
                return;
            };
            let task = std::slice::from_ref(&key);
            if near
                .as_ref()
                .is_some_and(|near| self.waits_for_near(now_ms, task, near, &[index], candidates))
            {
                continue;
            }
            let candidate = &mut candidates[index].1;
            candidate.use_slack(&filler.pressures, &spec);
            self.assign(now_ms, &key, candidate, None, None);
            if undisturbed.is_none() {
                return;
            }
        }
    }

    /// Whether a flow without placements has waited for so long that its fillers may disturb others.
    fn is_idle_for_long(
        &self,
        job: &JobId,
        queued_ms: u64,
        service: &ServiceName,
        candidates: &[(ServiceName, Candidate)],
    ) -> bool {
        let max_wait_ms = if is_mostly_free(service, candidates) {
            MAX_UNDISTURBED_WAIT_FREE_POOL_MS
        } else {
            MAX_UNDISTURBED_WAIT_MS
        };
        let state = self.flows.get(job);
        queued_ms >= max_wait_ms && state.is_some_and(|state| !state.has_placements())
    }

    /// Updates and returns how long tasks of a step have been queued, in milliseconds. `is_empty`
    /// means that none is queued now, which resets the time.
    fn update_queued_ms(
        &mut self,
        now_ms: u64,
        job: &JobId,
        occurrence: usize,
        step: usize,
        is_empty: bool,
    ) -> u64 {
        let state = self.flows.get_mut(job);
        let step = state
            .and_then(|state| state.occurrences.get_mut(occurrence))
            .and_then(|occurrence| occurrence.steps.get_mut(step));
        let Some(step) = step else {
            return 0;
        };
        if is_empty {
            step.queued_since_ms = None;
            step.near_wait = None;
            return 0;
        }
        let since_ms = *step.queued_since_ms.get_or_insert(now_ms);
        now_ms.saturating_sub(since_ms)
    }

    /// Places a task on a candidate; its start is sent once the record of the placement is durable.
    ///
    /// `run` and `checkpoint` override the task's next run number and its checkpoint; gangs use
    /// them to give all members the same values.
    pub(crate) fn assign(
        &mut self,
        now_ms: u64,
        key: &TaskKey,
        candidate: &mut Candidate,
        run: Option<u32>,
        checkpoint: Option<Option<String>>,
    ) {
        let Some(incarnation) = self
            .worker(&candidate.agent)
            .and_then(|view| view.incarnation.clone())
        else {
            return;
        };
        let revision = self.mark_dirty(&key.job);
        let Some(state) = self.flows.get_mut(&key.job) else {
            return;
        };
        let Some(spec) = state.step_spec(key.step).cloned() else {
            return;
        };
        let Some(task) = state.task_mut(key) else {
            return;
        };
        task.run = run.unwrap_or(task.run + 1);
        if let Some(checkpoint) = checkpoint {
            task.checkpoint = checkpoint;
        }
        let run = task.run;
        task.place(Placement {
            run,
            agent: candidate.agent.clone(),
            incarnation,
            stage: RunStage::Uncommitted,
            revision,
            percent: 0,
            progress_ms: now_ms,
            pace: 100,
            is_pace_known: true,
            pace_changed_ms: 0,
            saved_ms: 0,
        });
        self.uncommitted.insert(key.job.clone());
        let allocation = allocation_for(now_ms, &spec, run);
        candidate.take_up(&allocation);
        self.expect_release(now_ms, key, &allocation, candidate);
        let free = candidate.free;
        let agent = candidate.agent.clone();
        let is_isolated = self.suspects.contains_key(key);
        let view = self.worker_mut(&agent);
        view.allocations.insert(key.clone(), allocation);
        if !is_isolated {
            // Only a worker whose hold has ended accepts the task.
            view.hold = None;
            self.open_until_ms.remove(&agent);
        }
        let detail = format!(
            "free {} milli, {} MB",
            free.processors_milli, free.memory_mb
        );
        self.log_decision(DecisionKind::Placed, key, run, &agent, detail);
    }
}

/// Whether most processors of a pool's candidates are not reserved.
fn is_mostly_free(service: &ServiceName, candidates: &[(ServiceName, Candidate)]) -> bool {
    let pool = candidates.iter().filter(|(pool, _)| pool == service);
    let (mut free, mut total) = (0, 0);
    for (_, candidate) in pool {
        free += u64::from(candidate.free.processors_milli);
        total += u64::from(candidate.capacity.processors_milli);
    }
    (total - free.min(total)) * 100 <= total * MOSTLY_FREE_MAX_USED_PERCENT
}
