//! Placement of tasks on workers.

use crate::{Kinds, Shard, TeamUsage, Worker, Workers};
use model::{AgentId, Config, JobId, KindName, Resources, TeamName};
use rand::RngExt;

/// Number of workers drawn at random for one placement; all workers are examined only if the task
/// fits on none of these or would slow down services on all that it fits on.
const RANDOM_CANDIDATES: usize = 8;
/// Expected run time from which on a task counts as long.
const LONG_RUN_MS: u64 = 120_000;
/// Unit of the classes of expected run time; tasks that run for less than twice this are in the
/// shortest class.
const SHORTEST_CLASS_MS: u64 = 1_000;
/// Share of all workers together that one pass may fill with long tasks while short ones are
/// queued.
const LONG_SHARE: f64 = 0.7;

/// Limits of one placement pass.
#[derive(Debug, Clone, Copy)]
pub struct PlaceLimits {
    /// Most tasks placed in one pass, over all shards.
    pub max_tasks: usize,
}

/// Order in which the jobs of one team are placed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PlacementOrder {
    /// Shortest class of expected run time first, so that short jobs are not held up by stragglers.
    ShortestFirst,
    /// In order of acceptance; serves as a baseline in benchmarks.
    FirstInFirstOut,
}

/// A job with tasks to place, and what decides its turn.
#[derive(Debug, Clone)]
struct Candidate {
    /// Index of the job's shard in the slice of shards.
    shard: usize,
    /// Id of the job.
    job: JobId,
    /// Team whose quota the job uses.
    team: TeamName,
    /// Kind of work, by which need and run time are learned.
    kind: KindName,
    /// Whether the job goes before all others and may preempt them.
    is_urgent: bool,
    /// Expected run time of one task.
    run_ms: u64,
    /// When the job was accepted, by the wall clock of the accepting entry.
    accepted_wall_ms: u64,
    /// Expected need of one task.
    need: Resources,
}

/// One placement pass of an entry over its shards.
#[derive(Debug)]
pub struct Placer<'a> {
    /// Live workers, on which reservations are made.
    pub workers: &'a mut Workers,
    /// Resource usage of teams, to which placed tasks are added.
    pub usage: &'a mut TeamUsage,
    /// Learned statistics, for expected needs and run times.
    pub kinds: &'a Kinds,
    /// Configuration with the teams' quotas; a team without a quota gets nothing placed.
    pub config: &'a Config,
    /// Order of the jobs of one team.
    pub order: PlacementOrder,
}

impl Placer<'_> {
    /// Places tasks until none fits or the limit is reached. Returns how many were placed.
    ///
    /// Urgent jobs go first, then teams by the used share of their quota, then jobs of a team by
    /// `order`. A job that does not fit does not block the jobs behind it.
    pub fn place(
        &mut self,
        now_ms: u64,
        shards: &mut [&mut Shard],
        limits: PlaceLimits,
        rng: &mut impl RngExt,
    ) -> usize {
        let mut candidates = self.candidates(shards);
        let mut long_used = Resources::default();
        let total = self.workers.total();
        let mut placed = 0;
        while placed < limits.max_tasks {
            let Some(next) = self.next_candidate(&candidates) else {
                break;
            };
            let candidate = candidates[next].clone();
            let is_long = candidate.run_ms >= LONG_RUN_MS && !candidate.is_urgent;
            let exceeds_long_share = is_long
                && long_used.plus(&candidate.need).dominant_share(&total) > LONG_SHARE
                && candidates.iter().any(|other| other.run_ms < LONG_RUN_MS);
            let worker = if exceeds_long_share {
                None
            } else {
                self.find_worker(now_ms, &candidate, shards, rng)
            };
            let Some(agent) = worker else {
                candidates.remove(next);
                continue;
            };
            if is_long {
                long_used = long_used.plus(&candidate.need);
            }
            let shard = &mut shards[candidate.shard];
            if shard
                .place(&candidate.job, &agent, candidate.need)
                .is_some()
            {
                self.workers.reserve(&agent, &candidate.need);
                self.usage.add(&candidate.team, &candidate.need);
                placed += 1;
            }
            if !shard
                .job(&candidate.job)
                .is_some_and(super::job_state::JobState::has_task_to_place)
            {
                candidates.remove(next);
            }
        }
        placed
    }

    /// All jobs of these shards that have tasks to place.
    fn candidates(&self, shards: &[&mut Shard]) -> Vec<Candidate> {
        let mut candidates = Vec::new();
        for (position, shard) in shards.iter().enumerate() {
            for state in shard.jobs().filter(|state| state.has_task_to_place()) {
                let spec = &state.job.spec;
                candidates.push(Candidate {
                    shard: position,
                    job: state.job.id.clone(),
                    team: spec.team.clone(),
                    kind: spec.kind.clone(),
                    is_urgent: spec.urgent,
                    run_ms: self.kinds.run_ms(spec),
                    accepted_wall_ms: state.job.accepted_wall_ms,
                    need: self.kinds.need(spec),
                });
            }
        }
        candidates
    }

    /// Index of the candidate that is first in order among those within their team's quota.
    fn next_candidate(&self, candidates: &[Candidate]) -> Option<usize> {
        let within_quota = candidates
            .iter()
            .enumerate()
            .filter(|(_, c)| self.is_within_quota(c));
        let share = |candidate: &Candidate| self.quota_share(&candidate.team);
        let order = |left: &Candidate, right: &Candidate| {
            let by_urgency = right.is_urgent.cmp(&left.is_urgent);
            let by_share = share(left).total_cmp(&share(right));
            let by_run = match self.order {
                PlacementOrder::ShortestFirst => run_time_class(left).cmp(&run_time_class(right)),
                PlacementOrder::FirstInFirstOut => std::cmp::Ordering::Equal,
            };
            let by_age = left.accepted_wall_ms.cmp(&right.accepted_wall_ms);
            by_urgency
                .then(by_share)
                .then(by_run)
                .then(by_age)
                .then_with(|| left.job.cmp(&right.job))
        };
        within_quota
            .min_by(|left, right| order(left.1, right.1))
            .map(|(index, _)| index)
    }

    /// Quota of a team; `None` if the configuration has no such team.
    fn quota(&self, team: &TeamName) -> Option<&Resources> {
        self.config.teams.get(team).map(|spec| &spec.quota)
    }

    fn is_within_quota(&self, candidate: &Candidate) -> bool {
        let after = self.usage.of(&candidate.team).plus(&candidate.need);
        self.quota(&candidate.team)
            .is_some_and(|quota| after.fits_in(quota))
    }

    /// Used share of a team's quota, by the resource used most.
    fn quota_share(&self, team: &TeamName) -> f64 {
        self.quota(team).map_or(f64::INFINITY, |quota| {
            self.usage.of(team).dominant_share(quota)
        })
    }

    /// The worker with the most free capacity, by share, for the candidate's next task, preferably
    /// one whose services the kind does not slow down. For an urgent task that fits nowhere, a
    /// worker on which it can preempt others. `None` if there is no such worker.
    fn find_worker(
        &self,
        now_ms: u64,
        candidate: &Candidate,
        shards: &[&mut Shard],
        rng: &mut impl RngExt,
    ) -> Option<AgentId> {
        let list = self.workers.list();
        if list.is_empty() {
            return None;
        }
        let avoid = agent_to_avoid(shards[candidate.shard], &candidate.job);
        let is_eligible = |worker: &Worker| {
            !worker.is_quarantined(now_ms)
                && (avoid.as_ref() != Some(&worker.agent) || list.len() == 1)
        };
        let fits =
            |worker: &Worker| is_eligible(worker) && candidate.need.fits_in(&worker.available());
        let is_harmless = |worker: &Worker| !worker.bad_kinds.contains(&candidate.kind);
        let drawn = (0..RANDOM_CANDIDATES).map(|_| &list[rng.random_range(0..list.len())]);
        let best = least_loaded(drawn.filter(|worker| fits(worker) && is_harmless(worker)));
        let all = || list.iter().filter(|worker| fits(worker));
        let best = best.or_else(|| least_loaded(all().filter(|worker| is_harmless(worker))));
        // Work that runs beside a service that it slows down is still better off than queued work:
        // the agent there throttles it.
        let best = best.or_else(|| least_loaded(all()));
        let preemptible = || {
            let is_large_enough = |worker: &&Worker| candidate.need.fits_in(&worker.capacity);
            let usable = list
                .iter()
                .filter(|worker| is_eligible(worker))
                .filter(is_large_enough);
            let usable = usable.filter(|worker| worker.reserved == Resources::default());
            least_loaded(usable)
        };
        let chosen = if candidate.is_urgent {
            best.or_else(preemptible)
        } else {
            best
        };
        chosen.map(|worker| worker.agent.clone())
    }
}

/// Class of an expected run time; each class is twice as long as the one before. Within a class the
/// oldest job goes first, so that none is starved by jobs that are only a little shorter.
fn run_time_class(candidate: &Candidate) -> u32 {
    (candidate.run_ms / SHORTEST_CLASS_MS).max(1).ilog2()
}

/// Agent that the job's next task should avoid, if any.
fn agent_to_avoid(shard: &Shard, job: &JobId) -> Option<AgentId> {
    let state = shard.job(job)?;
    let tracked = state.tasks.get(&state.peek_next_task()?)?;
    tracked.avoided_agent.clone()
}

/// The worker with the smallest used share of its capacity.
fn least_loaded<'w>(workers: impl Iterator<Item = &'w Worker>) -> Option<&'w Worker> {
    workers.max_by(|left, right| compare_unused_share(left, right))
}

/// Orders workers by their unused share, the lowest first.
fn compare_unused_share(left: &Worker, right: &Worker) -> std::cmp::Ordering {
    let share = |worker: &Worker| {
        let used = worker.capacity.minus(&worker.available());
        used.dominant_share(&worker.capacity)
    };
    share(right).total_cmp(&share(left))
}
