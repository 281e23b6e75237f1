//! Placement of tasks on workers.

use crate::{Kinds, Shard, TeamUsage, Worker, Workers};
use model::{AgentId, Config, JobId, KindName, Resources, TeamName};
use rand::RngExt;

/// Workers drawn at random for one placement before all are looked at.
const DRAWS: usize = 8;
/// Expected run time from which a task counts as long.
const LONG_RUN_MS: u64 = 120_000;
/// Run time up to which tasks are in the shortest class.
const SHORTEST_CLASS_MS: u64 = 1_000;
/// Share of all workers together that long tasks of one entry may hold.
const LONG_SHARE: f64 = 0.7;

/// Limits of one round of placement.
#[derive(Debug, Clone, Copy)]
pub struct PlaceLimits {
    /// Most tasks placed in one round, over all shards.
    pub max_tasks: usize,
}

/// In which order jobs of one team are placed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PlacementOrder {
    /// Shortest class of expected run time first, which short work needs beside stragglers.
    ShortestFirst,
    /// In order of acceptance; a baseline for measurements.
    FirstInFirstOut,
}

/// A job with tasks to place.
#[derive(Debug, Clone)]
struct Candidate {
    /// Position of its shard.
    shard: usize,
    /// The job.
    job: JobId,
    /// Its team.
    team: TeamName,
    /// Its kind.
    kind: KindName,
    /// Whether it may preempt.
    urgent: bool,
    /// Expected run time of a task.
    run_ms: u64,
    /// When it was accepted.
    accepted_wall_ms: u64,
    /// Expected need of a task.
    need: Resources,
}

/// Places tasks on workers.
#[derive(Debug)]
pub struct Placer<'a> {
    /// Live workers.
    pub workers: &'a mut Workers,
    /// What teams use.
    pub usage: &'a mut TeamUsage,
    /// What is learnt of kinds.
    pub kinds: &'a Kinds,
    /// Quotas of teams.
    pub config: &'a Config,
    /// Order of jobs.
    pub order: PlacementOrder,
}

impl Placer<'_> {
    /// Places tasks until nothing fits or the limit is reached; returns how many were placed.
    ///
    /// Urgent jobs go first, then teams by their share of their quota, then jobs of a team by
    /// the order asked for. A job that does not fit does not hold up the ones behind it.
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
            let Some(next) = self.next(&candidates) else {
                break;
            };
            let candidate = candidates[next].clone();
            let is_long = candidate.run_ms >= LONG_RUN_MS && !candidate.urgent;
            let crowded = is_long
                && long_used.plus(&candidate.need).dominant_share(&total) > LONG_SHARE
                && candidates.iter().any(|other| other.run_ms < LONG_RUN_MS);
            let worker = if crowded {
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
                self.workers.placed(&agent, &candidate.need);
                self.usage.add(&candidate.team, &candidate.need);
                placed += 1;
            }
            if !shard
                .job(&candidate.job)
                .is_some_and(super::job_state::JobState::has_placeable)
            {
                candidates.remove(next);
            }
        }
        placed
    }

    fn candidates(&self, shards: &[&mut Shard]) -> Vec<Candidate> {
        let mut candidates = Vec::new();
        for (position, shard) in shards.iter().enumerate() {
            for state in shard.jobs().filter(|state| state.has_placeable()) {
                let spec = &state.job.spec;
                candidates.push(Candidate {
                    shard: position,
                    job: state.job.id.clone(),
                    team: spec.team.clone(),
                    kind: spec.kind.clone(),
                    urgent: spec.urgent,
                    run_ms: self.kinds.run_ms(spec),
                    accepted_wall_ms: state.job.accepted_wall_ms,
                    need: self.kinds.need(spec),
                });
            }
        }
        candidates
    }

    fn next(&self, candidates: &[Candidate]) -> Option<usize> {
        let within_quota = candidates
            .iter()
            .enumerate()
            .filter(|(_, c)| self.is_within_quota(c));
        let share = |candidate: &Candidate| self.share(&candidate.team);
        let order = |left: &Candidate, right: &Candidate| {
            let by_urgency = right.urgent.cmp(&left.urgent);
            let by_share = share(left).total_cmp(&share(right));
            let by_run = match self.order {
                PlacementOrder::ShortestFirst => run_class(left).cmp(&run_class(right)),
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

    fn quota(&self, team: &TeamName) -> Option<&Resources> {
        self.config.teams.get(team).map(|spec| &spec.quota)
    }

    fn is_within_quota(&self, candidate: &Candidate) -> bool {
        let after = self.usage.of(&candidate.team).plus(&candidate.need);
        self.quota(&candidate.team)
            .is_some_and(|quota| after.fits_in(quota))
    }

    fn share(&self, team: &TeamName) -> f64 {
        self.quota(team).map_or(f64::INFINITY, |quota| {
            self.usage.of(team).dominant_share(quota)
        })
    }

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
        let avoid = avoided(shards[candidate.shard], &candidate.job);
        let is_open = |worker: &Worker| {
            !worker.is_quarantined(now_ms)
                && (avoid.as_ref() != Some(&worker.agent) || list.len() == 1)
        };
        let fits = |worker: &Worker| is_open(worker) && candidate.need.fits_in(&worker.room());
        let is_apart = |worker: &Worker| !worker.bad_kinds.contains(&candidate.kind);
        let drawn = (0..DRAWS).map(|_| &list[rng.random_range(0..list.len())]);
        let best = roomiest(drawn.filter(|worker| fits(worker) && is_apart(worker)));
        let all = || list.iter().filter(|worker| fits(worker));
        let best = best.or_else(|| roomiest(all().filter(|worker| is_apart(worker))));
        // Beside a service that it slows down, work is still better placed than waiting: the
        // agent there holds it back.
        let best = best.or_else(|| roomiest(all()));
        let preempted = || {
            let large = |worker: &&Worker| candidate.need.fits_in(&worker.capacity);
            let usable = list.iter().filter(|worker| is_open(worker)).filter(large);
            let usable = usable.filter(|worker| worker.on_the_way == Resources::default());
            roomiest(usable)
        };
        let chosen = if candidate.urgent {
            best.or_else(preempted)
        } else {
            best
        };
        chosen.map(|worker| worker.agent.clone())
    }
}

/// Class of an expected run time; each is twice as long as the one before. Within a class the
/// oldest goes first, so that nothing waits for ever behind what is shorter by a little.
fn run_class(candidate: &Candidate) -> u32 {
    (candidate.run_ms / SHORTEST_CLASS_MS).max(1).ilog2()
}

/// The worker that failed the job's next task last.
fn avoided(shard: &Shard, job: &JobId) -> Option<AgentId> {
    let state = shard.job(job)?;
    let view = state.tasks.get(&state.peek_placeable()?)?;
    view.avoid.clone()
}

fn roomiest<'w>(workers: impl Iterator<Item = &'w Worker>) -> Option<&'w Worker> {
    workers.max_by(|left, right| compare_room(left, right))
}

fn compare_room(left: &Worker, right: &Worker) -> std::cmp::Ordering {
    let share = |worker: &Worker| {
        let used = worker.capacity.minus(&worker.room());
        used.dominant_share(&worker.capacity)
    };
    share(right).total_cmp(&share(left))
}
