//! The order of all jobs.

use crate::large_jobs::{interleave, protect};
use crate::selection::{Contender, OVERLOAD_PERCENT, Room, USABLE_PERCENT, defer};
use crate::{JobView, Outlook, Ranked};

/// Order in which jobs are served, for `cores_milli` of room: more urgent priorities first; within a
/// priority long-running jobs, then those that can be in time, earliest due first, then those that can
/// only be late, smallest first, and last those whose end is worth nothing any more.
///
/// Where the work exceeds the room, jobs are deferred by the rule of Moore and Hodgson, adapted to the
/// utilities of jobs, and those that are kept are served by their latest starts. Below the room the order is
/// earliest due first. The largest 10 % of the jobs of a priority and the next 20 % are protected, so that each
/// is served at half of the rate of all at least.
///
/// ```
/// use job_order::{JobView, Outlook, rank};
/// let job = |due_ms, work| JobView {
///     due_ms, objective_ms: due_ms, remaining_path_ms: 100, remaining_work: work, work,
///     ..Default::default()
/// };
/// let jobs = [job(1_000, 900), job(1_100, 100), job(1_200, 200), job(1_300, 300)];
/// let order = rank(0, &jobs, 1_000);
/// assert_eq!(order.iter().map(|job| job.index).collect::<Vec<_>>(), [1, 2, 3, 0]);
/// assert_eq!(order[3].outlook, Outlook::Late);
/// ```
pub fn rank(now_ms: u64, jobs: &[JobView], cores_milli: u64) -> Vec<Ranked> {
    let mut by_due: Vec<usize> = (0..jobs.len()).collect();
    by_due.sort_by_key(|index| {
        let job = &jobs[*index];
        let due_ms = if job.is_long_running { 0 } else { job.due_ms };
        (job.priority, !job.is_long_running, due_ms, *index)
    });
    let mut room = Room {
        now_ms,
        cores_milli,
        used: 0,
        percent: OVERLOAD_PERCENT,
    };
    let mut order = Vec::with_capacity(jobs.len());
    for group in by_due.chunk_by(|left, right| jobs[*left].priority == jobs[*right].priority) {
        rank_group(&room, jobs, group, &mut order);
        let work = group
            .iter()
            .map(|index| u128::from(jobs[*index].remaining_work));
        room.used += work.sum::<u128>();
    }
    order
}

/// Adds the jobs of one priority to the order; `group` is in the order of their due times.
fn rank_group(room: &Room, jobs: &[JobView], group: &[usize], order: &mut Vec<Ranked>) {
    let count = group.partition_point(|index| jobs[*index].is_long_running);
    let (long_running, group) = group.split_at(count);
    let (timely, delayed): (Vec<usize>, Vec<usize>) = group
        .iter()
        .partition(|index| jobs[**index].can_be_in_time(room.now_ms));
    let mut deferred = select(room, jobs, &timely, mean_work(jobs, group));
    deferred.sort_unstable();
    let mut kept = timely;
    kept.retain(|index| deferred.binary_search(index).is_err());
    if !deferred.is_empty() {
        kept.sort_by_key(|index| (latest_start_ms(&jobs[*index]), *index));
    }
    let rest = deferred.iter().chain(&delayed);
    let (mut late, mut hopeless): (Vec<usize>, Vec<usize>) =
        rest.partition(|index| jobs[**index].can_be_late(room.now_ms));
    late.sort_by_key(|index| (jobs[*index].remaining_work, *index));
    interleave(jobs, &mut late);
    hopeless.sort_by_key(|index| (jobs[*index].due_ms, *index));
    let ranked = |outlook| {
        move |index: &usize| Ranked {
            index: *index,
            outlook,
        }
    };
    order.extend(
        long_running
            .iter()
            .chain(&kept)
            .map(ranked(Outlook::InTime)),
    );
    order.extend(late.iter().map(ranked(Outlook::Late)));
    order.extend(hopeless.iter().map(ranked(Outlook::Hopeless)));
}

/// Jobs that are deferred of those that could be in time, which are in the order of their due times.
fn select(room: &Room, jobs: &[JobView], timely: &[usize], mean_work: f64) -> Vec<usize> {
    let mut contenders: Vec<Contender> = timely
        .iter()
        .map(|index| Contender::new(*index, &jobs[*index], mean_work))
        .collect();
    if defer(room, jobs, &contenders).is_empty() {
        return Vec::new();
    }
    let room = &Room {
        percent: USABLE_PERCENT,
        ..*room
    };
    let deferred = defer(room, jobs, &contenders);
    let kept = timely.len() - deferred.len();
    protect(room, jobs, &mut contenders, kept);
    defer(room, jobs, &contenders)
}

/// When a job must go on to end in time if nothing delays it any more, in milliseconds.
fn latest_start_ms(job: &JobView) -> u64 {
    job.due_ms.saturating_sub(job.remaining_path_ms)
}

fn mean_work(jobs: &[JobView], group: &[usize]) -> f64 {
    let total: f64 = group.iter().map(|index| jobs[*index].work as f64).sum();
    total / group.len().max(1) as f64
}
