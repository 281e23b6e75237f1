//! Selection of the jobs that end in time, by the rule of Moore and Hodgson.

use crate::JobView;
use std::cmp::Ordering;
use std::collections::BinaryHeap;

/// Factor of the utility of a job that has begun. Its tasks are not preempted, so that the room they
/// take is lost if the job is deferred afterwards.
const BEGUN_FACTOR: f64 = 1.5;

/// Share of the room from which on it counts as too little, in percent. Below it, earliest due first serves
/// nearly all jobs in time, and deferring some would only delay them.
pub(crate) const OVERLOAD_PERCENT: u128 = 80;
/// Share of the room up to which jobs are kept then, in percent; the rest is lost to tasks that don't fit into
/// what is free, and to wrong estimates.
pub(crate) const USABLE_PERCENT: u128 = 50;

/// A job that may end in time.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Contender {
    /// Its index in the list of jobs.
    pub index: usize,
    /// Work that is left for each unit of utility; the greatest is deferred first.
    pub cost: f64,
    /// Whether it is kept so that large jobs don't starve.
    pub is_protected: bool,
}

impl Contender {
    pub(crate) fn new(index: usize, job: &JobView, mean_work: f64) -> Self {
        let begun = if job.has_begun { BEGUN_FACTOR } else { 1.0 };
        Self {
            index,
            cost: job.remaining_work as f64 / (job.utility(mean_work) * begun),
            is_protected: false,
        }
    }
}

impl Ord for Contender {
    fn cmp(&self, other: &Self) -> Ordering {
        let protection = other.is_protected.cmp(&self.is_protected);
        let cost = self.cost.total_cmp(&other.cost);
        protection.then(cost).then(self.index.cmp(&other.index))
    }
}

impl PartialOrd for Contender {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl PartialEq for Contender {
    fn eq(&self, other: &Self) -> bool {
        self.cmp(other) == Ordering::Equal
    }
}

impl Eq for Contender {}

/// Processors over time.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Room {
    /// Present time, in milliseconds.
    pub now_ms: u64,
    /// Processors, in thousandths.
    pub cores_milli: u64,
    /// Work of more urgent jobs, which are served before, in core-milliseconds.
    pub used: u128,
    /// Share of the processors that counts, in percent.
    pub percent: u128,
}

impl Room {
    /// Most work that may be kept of jobs up to this one in the order of their due times, in
    /// core-milliseconds. Jobs run side by side for the length of their paths, so that on average half of
    /// a job's path is left when its turn must have come.
    pub(crate) fn before(&self, job: &JobView) -> u128 {
        let end_ms = job.due_ms.saturating_sub(job.remaining_path_ms / 2);
        let span_ms = u128::from(end_ms.saturating_sub(self.now_ms));
        let total = span_ms * u128::from(self.cores_milli) / 1_000;
        (total * self.percent / 100).saturating_sub(self.used)
    }
}

/// Contenders that are deferred so that all others fit into the room, by the rule of Moore and Hodgson
/// (J. M. Moore, "An n job, one machine sequencing algorithm for minimizing the number of late jobs",
/// Management Science 15(1), 1968): in the order of their due times, whenever the work exceeds the room, the
/// costliest job so far is deferred. The rule is exact for equal utilities on one machine. It is adapted
/// here: the cost is the remaining work for each unit of utility instead of the run time, and the pool
/// counts as one machine that divides its processors freely.
///
/// `contenders` are in the order of their due times.
pub(crate) fn defer(room: &Room, jobs: &[JobView], contenders: &[Contender]) -> Vec<usize> {
    let mut kept: BinaryHeap<Contender> = BinaryHeap::new();
    let mut deferred = Vec::new();
    let mut work: u128 = 0;
    for contender in contenders {
        let job = &jobs[contender.index];
        work += u128::from(job.remaining_work);
        kept.push(*contender);
        let most = room.before(job);
        while work > most {
            let Some(costliest) = kept.pop() else {
                break;
            };
            work -= u128::from(jobs[costliest.index].remaining_work);
            deferred.push(costliest.index);
        }
    }
    deferred
}
