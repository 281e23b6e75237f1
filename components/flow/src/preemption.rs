//! Preemption: runs that save their progress make room for a queued task of a more urgent priority that
//! would otherwise miss its objective. Their tasks are queued again and resume from their checkpoints.
//! Nothing is reserved for the urgent task: a later pass places it by its priority.

use crate::candidate::Candidate;
use crate::cold::Warmth;
use crate::crashes::Isolation;
use crate::preemption_search::{MadeRoom, PreemptionSearch, SuitableWorker, UrgentStep};
use crate::worker_rules::may_run;
use crate::{Queue, Scheduler, TaskKey};
use ::preemption::{
    MAX_PREEMPTING, PREEMPTION_MS, Reason, Room, Urgent, Verdict, Victim, cost, decide, is_too_late,
};
use model::{JobId, ServiceName};

/// Least interval between two searches for urgent tasks that wait, in milliseconds. Reports of a busy worker come
/// every 400 ms or more often.
const SEARCH_INTERVAL_MS: u64 = 100;
/// Runs per millisecond until the next search, if one has examined them. A run takes about 1 us, so that
/// searches take a twentieth of a processor at most, however many runs there are.
const RUNS_PER_MS: u64 = 50;
/// Most urgent tasks for which one search examines the workers.
const MAX_SEARCHED: usize = 16;
/// Most steps with queued tasks that one search looks at.
const MAX_STEPS: usize = 1_000;

impl Scheduler {
    /// Searches for urgent tasks that were not placed in this pass, in the order of their flows, and
    /// preempts runs for them where that is worthwhile; does nothing if they were searched for a moment
    /// ago.
    pub(crate) fn preempt_for_urgent(
        &mut self,
        now_ms: u64,
        order: &[JobId],
        candidates: &mut [(ServiceName, Candidate)],
    ) {
        if !self.policies.preemption || now_ms < self.preemptions.search_due_ms {
            return;
        }
        let mut search = PreemptionSearch::default();
        self.search(now_ms, order, &mut search, candidates);
        let interval_ms = match search.examined {
            0 => SEARCH_INTERVAL_MS,
            _ => SEARCH_INTERVAL_MS.max(self.count_runs() / RUNS_PER_MS),
        };
        self.preemptions.search_due_ms = now_ms + interval_ms;
    }

    /// Number of runs on all workers.
    fn count_runs(&self) -> u64 {
        let views = self.fleet.workers.values();
        views.map(|view| view.allocations.len() as u64).sum()
    }

    /// Searches flow by flow until the limits of a search are reached.
    fn search(
        &mut self,
        now_ms: u64,
        order: &[JobId],
        search: &mut PreemptionSearch,
        candidates: &mut [(ServiceName, Candidate)],
    ) {
        for job in order {
            let is_exhausted = search.examined >= MAX_SEARCHED || search.steps > MAX_STEPS;
            if is_exhausted || self.preemptions.count_pending() >= MAX_PREEMPTING {
                return;
            }
            self.preempt_for_flow(now_ms, job, search, candidates);
        }
    }

    /// Preempts runs for the queued tasks of a flow, step by step.
    fn preempt_for_flow(
        &mut self,
        now_ms: u64,
        job: &JobId,
        search: &mut PreemptionSearch,
        candidates: &mut [(ServiceName, Candidate)],
    ) {
        let state = self.flows.get(job).filter(|state| !state.is_closed());
        let Some(state) = state else {
            return;
        };
        for (occurrence, step) in state.ready_steps() {
            let Some(urgent) = self.urgent_step(now_ms, job, occurrence, step) else {
                continue;
            };
            search.steps += 1;
            if search.steps > MAX_STEPS {
                return;
            }
            if search.is_hopeless(&urgent, self.value(&urgent.first)) {
                continue;
            }
            for key in self.queued_tasks(now_ms, job, occurrence, step) {
                if search.examined >= MAX_SEARCHED {
                    return;
                }
                if !self.may_displace(now_ms, &key) {
                    continue;
                }
                search.examined += 1;
                if !self.preempt_for_task(now_ms, &key, &urgent, search, candidates) {
                    // The other tasks of the step need the same.
                    break;
                }
            }
        }
    }

    /// A step if its queued tasks may preempt others, and early enough; gangs, fillers and long-running
    /// tasks don't.
    fn urgent_step(
        &self,
        now_ms: u64,
        job: &JobId,
        occurrence: usize,
        step: usize,
    ) -> Option<UrgentStep> {
        let state = self.flows.get(job)?;
        let queue = self.config.queue(&state.job.queue)?;
        let spec = state.step_spec(step as u32)?;
        if spec.gang || spec.filler || spec.long_running || !self.has_less_urgent(queue) {
            return None;
        }
        let key = TaskKey {
            job: job.clone(),
            occurrence: occurrence as u32,
            step: step as u32,
            index: 0,
        };
        let slack_ms = self.start_slack_ms(now_ms, state, &key);
        if is_too_late(slack_ms) {
            return None;
        }
        Some(UrgentStep {
            first: key,
            spec: spec.clone(),
            service: queue.service.clone(),
            priority: queue.priority,
            run_ms: self.run_time_ms(state, step as u32),
            slack_ms,
        })
    }

    /// Whether another queue of the pool is less urgent.
    fn has_less_urgent(&self, queue: &Queue) -> bool {
        let mut queues = self.config.queues.iter();
        queues.any(|other| other.service == queue.service && other.priority > queue.priority)
    }

    /// Whether a queued task may preempt others: it waits for nothing but room.
    fn may_displace(&self, now_ms: u64, key: &TaskKey) -> bool {
        !self.suspects.contains_key(key)
            && !self.fleet.has_orphan(key)
            && !self.is_waiting_for_near(now_ms, key)
    }

    /// Preempts runs for a queued task if that is worthwhile. Returns whether the task will have room in
    /// time, so that others of its step may be searched for.
    fn preempt_for_task(
        &mut self,
        now_ms: u64,
        key: &TaskKey,
        step: &UrgentStep,
        search: &mut PreemptionSearch,
        candidates: &mut [(ServiceName, Candidate)],
    ) -> bool {
        let workers = self.suitable_workers(now_ms, key, step, candidates);
        let known = workers.iter().filter(|worker| worker.delay_ms().is_some());
        let soonest = known.min_by_key(|worker| worker.delay_ms()).copied();
        let urgent = Urgent {
            priority: step.priority,
            cores_milli: step.spec.reserved().processors_milli,
            memory_mb: step.spec.reserved().memory_mb.into(),
            slack_ms: step.slack_ms,
            expected_wait_ms: soonest.and_then(|worker| worker.delay_ms()),
            value: self.value(key),
        };
        let without_victims = decide(now_ms, &urgent, self.preemption_room(now_ms, None), &[]);
        if let (Verdict::Wait(Reason::InTimeAnyway), Some(soonest)) = (without_victims, soonest) {
            let at_ms = now_ms.saturating_add(soonest.wait_ms.unwrap_or(0));
            candidates[soonest.index]
                .1
                .claim(at_ms, step.run_ms, &step.spec);
            return true;
        }
        let near = workers.iter().filter(|worker| worker.extra_ms == 0);
        let options = near.filter_map(|worker| {
            let candidate = &candidates[worker.index].1;
            self.made_room(now_ms, &urgent, step, worker.index, candidate, search)
        });
        let Some(best) = options.min_by_key(|option| (option.cost, option.index)) else {
            search.note_failed(step, urgent.value);
            return false;
        };
        let candidate = &mut candidates[best.index].1;
        self.preempt(now_ms, key, &urgent, &best, search, candidate);
        candidate.claim(now_ms, step.run_ms, &step.spec);
        true
    }

    /// Work of an occurrence of a flow that is in time thanks to a preemption for a task, in core-milliseconds:
    /// all that is left, as the occurrence is late if one of its tasks is, without what preemptions for the
    /// flow have cost.
    fn value(&self, key: &TaskKey) -> u64 {
        let state = self.flows.get(&key.job);
        let work_left = state.and_then(|state| {
            let occurrence = state.occurrences.get(key.occurrence as usize)?;
            Some(self.remaining(state, occurrence).work)
        });
        let spent = self.preemptions.spent(&key.job);
        work_left.unwrap_or(0).saturating_sub(spent)
    }

    /// Workers that may run a task, apart from their room. Left out are those that are slow or cold, or
    /// that are late to stop a preempted run.
    fn suitable_workers(
        &self,
        now_ms: u64,
        key: &TaskKey,
        step: &UrgentStep,
        candidates: &mut [(ServiceName, Candidate)],
    ) -> Vec<SuitableWorker> {
        let factor = self.policies.remote_factor.unwrap_or(1.0);
        let mut workers = Vec::new();
        for (index, (pool, candidate)) in candidates.iter_mut().enumerate() {
            let view = self.fleet.workers.get(&candidate.agent);
            let Some(view) = view.filter(|_| *pool == step.service) else {
                continue;
            };
            let is_usual = candidate.warmth == Warmth::Warm
                && candidate.speed_rank.penalty(&step.spec) <= 0.0
                && !self.preemptions.is_late_on(now_ms, &candidate.agent);
            let may_run = is_usual
                && candidate.admits(key, Isolation::None)
                && may_run(view, key, &step.spec, None, &candidate.chosen_for);
            if !may_run {
                continue;
            }
            self.forecast_releases(now_ms, candidate);
            let places = candidate.places(now_ms, &step.spec, 1);
            let wait_ms = places.first().and_then(|place| match place.free_now {
                true => Some(0),
                false => place.expected_free_ms,
            });
            let extra_ms = match view.is_near(&step.spec) {
                true => 0,
                false => locality::extra_ms(step.run_ms, factor),
            };
            workers.push(SuitableWorker {
                index,
                wait_ms,
                extra_ms,
            });
        }
        workers
    }

    /// Runs of a worker that make room for an urgent task, if that is worthwhile.
    fn made_room(
        &self,
        now_ms: u64,
        urgent: &Urgent,
        step: &UrgentStep,
        index: usize,
        candidate: &Candidate,
        search: &mut PreemptionSearch,
    ) -> Option<MadeRoom> {
        // Accelerators are not preempted.
        if step.spec.need.accelerators > candidate.free.accelerators {
            return None;
        }
        let runs = search
            .runs
            .entry(index)
            .or_insert_with(|| self.victims(now_ms, &candidate.agent));
        let victims: Vec<Victim> = runs.iter().map(|(_, victim)| *victim).collect();
        let free = self.preemption_room(now_ms, Some(candidate));
        match decide(now_ms, urgent, free, &victims) {
            Verdict::Preempt {
                victims: chosen,
                reason,
            } => Some(MadeRoom {
                index,
                cost: cost(&victims, &chosen),
                victims: chosen,
                reason,
            }),
            Verdict::Wait(_) => None,
        }
    }

    /// Room that a worker will have when a preemption has taken effect, without the tasks that wait for it
    /// already; none without a worker.
    fn preemption_room(&self, now_ms: u64, candidate: Option<&Candidate>) -> Room {
        let room = candidate.map(|candidate| candidate.free_at(now_ms + PREEMPTION_MS));
        let room = room.unwrap_or_default();
        Room {
            cores_milli: room.processors_milli,
            memory_mb: room.memory_mb.into(),
            preempting: self.preemptions.count_pending(),
        }
    }

    /// Preempts the chosen runs of a worker.
    fn preempt(
        &mut self,
        now_ms: u64,
        key: &TaskKey,
        urgent: &Urgent,
        room: &MadeRoom,
        search: &mut PreemptionSearch,
        candidate: &mut Candidate,
    ) {
        let Some(runs) = search.runs.get_mut(&room.index) else {
            return;
        };
        self.preemptions.spend(&key.job, room.cost.work);
        for number in room.victims.iter().rev() {
            let (victim_key, victim) = runs.remove(*number);
            let wait_ms = urgent.expected_wait_ms;
            let wait = wait_ms.map_or("unknown".to_owned(), |wait_ms| format!("{wait_ms} ms"));
            let detail = format!(
                "{} for {key}: priority {} before {}, slack {} ms, wait {wait}; costs {} of {} core-ms",
                room.reason,
                urgent.priority,
                victim.priority,
                urgent.slack_ms,
                room.cost.work,
                urgent.value
            );
            self.expect_stop(now_ms, &victim_key, candidate);
            self.preempt_run(now_ms, &victim_key, detail);
        }
    }
}
