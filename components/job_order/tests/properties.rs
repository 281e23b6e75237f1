//! Properties of the order, for any jobs.

use job_order::{JobView, Outlook, rank};
use proptest::prelude::*;

const NOW_MS: u64 = 100_000;
/// Share of the room up to which no job is deferred, in percent.
const OVERLOAD_PERCENT: u64 = 80;
/// Time within which 10,000 jobs are ranked without optimization on a busy machine, in milliseconds. With
/// optimization it takes a few milliseconds.
const MAX_RANK_MS: u128 = 500;

fn any_job() -> impl Strategy<Value = JobView> {
    let times = (0..=NOW_MS, 1_u64..60_000, 0_u64..30_000);
    let work = (1_u64..200_000, 0_u64..=100);
    let kind = (0_u32..3, prop::bool::weighted(0.05), any::<bool>());
    (times, work, kind).prop_map(
        |(times, (work, left), (priority, is_long_running, has_begun))| {
            let (arrived_ms, objective_ms, remaining_path_ms) = times;
            JobView {
                priority,
                is_long_running,
                arrived_ms,
                due_ms: arrived_ms + objective_ms,
                objective_ms,
                remaining_path_ms,
                remaining_work: work * left / 100,
                work,
                has_begun,
            }
        },
    )
}

proptest! {
    /// Guards against jobs that are left out or served twice.
    #[test]
    fn the_order_is_a_permutation(
        jobs in prop::collection::vec(any_job(), 0..80), cores_milli in 0_u64..200_000,
    ) {
        let mut indices: Vec<usize> = rank(NOW_MS, &jobs, cores_milli)
            .iter()
            .map(|ranked| ranked.index)
            .collect();
        indices.sort_unstable();
        prop_assert_eq!(indices, (0..jobs.len()).collect::<Vec<_>>());
    }

    /// Guards against jobs that delay a more urgent one, or one that can end sooner.
    #[test]
    fn outlooks_and_priorities_do_not_mix(
        jobs in prop::collection::vec(any_job(), 0..80), cores_milli in 0_u64..200_000,
    ) {
        let order = rank(NOW_MS, &jobs, cores_milli);
        for pair in order.windows(2) {
            let key = |at: usize| {
                let job = &jobs[pair[at].index];
                (job.priority, !job.is_long_running, pair[at].outlook)
            };
            prop_assert!(key(0) <= key(1), "{:?} before {:?}", pair[0], pair[1]);
        }
    }

    /// Guards against jobs that count as in time although their run times alone exceed their due times.
    #[test]
    fn outlooks_respect_the_remaining_path(
        jobs in prop::collection::vec(any_job(), 0..80), cores_milli in 0_u64..200_000,
    ) {
        for ranked in rank(NOW_MS, &jobs, cores_milli) {
            let job = &jobs[ranked.index];
            let end_ms = NOW_MS + job.remaining_path_ms;
            let last_ms = job.arrived_ms + 3 * job.objective_ms;
            match ranked.outlook {
                Outlook::InTime => prop_assert!(job.is_long_running || end_ms <= job.due_ms),
                Outlook::Late => prop_assert!(end_ms <= last_ms),
                Outlook::Hopeless => prop_assert!(end_ms > last_ms),
            }
        }
    }

    /// Guards against a changed order in deployments with room for all jobs: it must be earliest due
    /// first.
    #[test]
    fn below_the_room_it_is_earliest_due_first(
        jobs in prop::collection::vec(any_job(), 0..80),
    ) {
        let feasible = |job: &&JobView| NOW_MS + job.remaining_path_ms < job.due_ms;
        let jobs: Vec<JobView> = jobs.iter().filter(feasible).copied().collect();
        let total: u64 = jobs.iter().map(|job| job.remaining_work).sum();
        let span_ms = |job: &JobView| job.due_ms - job.remaining_path_ms / 2 - NOW_MS;
        let least_ms = jobs.iter().map(span_ms).min().unwrap_or(1);
        let cores_milli = (total * 1_000).div_ceil(least_ms) * 100 / OVERLOAD_PERCENT + 100;
        let order = rank(NOW_MS, &jobs, cores_milli);
        let mut expected: Vec<usize> = (0..jobs.len()).collect();
        expected.sort_by_key(|index| {
            let job = &jobs[*index];
            let due_ms = if job.is_long_running { 0 } else { job.due_ms };
            (job.priority, !job.is_long_running, due_ms, *index)
        });
        prop_assert!(order.iter().all(|ranked| ranked.outlook == Outlook::InTime));
        prop_assert_eq!(order.iter().map(|ranked| ranked.index).collect::<Vec<_>>(), expected);
    }

    /// Guards against jobs that are kept although they don't fit: the kept work must fit into the room up
    /// to each due time.
    #[test]
    fn the_kept_work_fits_into_the_room(
        jobs in prop::collection::vec(any_job(), 0..80), cores_milli in 0_u64..200_000,
    ) {
        let mut work = 0;
        let mut priority = None;
        for ranked in rank(NOW_MS, &jobs, cores_milli) {
            let job = &jobs[ranked.index];
            if priority.replace(job.priority) != Some(job.priority) {
                let more_urgent = jobs.iter().filter(|other| other.priority < job.priority);
                work = more_urgent.map(|other| other.remaining_work).sum();
            }
            if ranked.outlook == Outlook::InTime && !job.is_long_running && job.remaining_work > 0 {
                work += job.remaining_work;
                let room = (job.due_ms - NOW_MS) * cores_milli / 1_000;
                prop_assert!(work <= room, "{} of {}", work, room);
            }
        }
    }
}

/// Guards against an order that takes more than n log n time: 10,000 jobs at twice the room.
#[test]
fn ten_thousand_jobs_are_ranked_quickly() {
    let jobs: Vec<JobView> = (0..10_000_u64)
        .map(|number| JobView {
            priority: number as u32 % 2,
            arrived_ms: NOW_MS,
            due_ms: NOW_MS + 5_000 + number % 7_000,
            objective_ms: 5_000 + number % 7_000,
            remaining_path_ms: 1_000,
            remaining_work: 1_000 + number * 7_919 % 50_000,
            work: 60_000,
            ..JobView::default()
        })
        .collect();
    let began = std::time::Instant::now();
    let order = rank(NOW_MS, &jobs, 12_000_000);
    let took_ms = began.elapsed().as_millis();
    assert!(order.iter().any(|ranked| ranked.outlook == Outlook::Late));
    assert!(took_ms < MAX_RANK_MS, "{took_ms} ms");
}
