//! Single decisions about new jobs, and bounds that hold for all.

use admission::{Admission, Arrival, Backlog, Demand, Hysteresis, KindBacklog, Repetition, admit};
use proptest::prelude::*;

/// Time of the measurements, in milliseconds.
const MEASURED_MS: u64 = 10_000;

/// An ordinary job of one core for `path_ms`, with an objective of 1.5 times that and 250 ms.
fn arrival(path_ms: u64) -> Arrival<'static> {
    Arrival {
        pool: "pool",
        priority: 1,
        repetition: Repetition::Once,
        objective_ms: path_ms * 3 / 2 + 250,
        path_ms,
        ordinary: Demand {
            work: path_ms,
            largest_milli: 1_000,
        },
        fillers: Demand::default(),
    }
}

/// The same job as a filler.
fn filler(path_ms: u64) -> Arrival<'static> {
    let job = arrival(path_ms);
    Arrival {
        ordinary: Demand::default(),
        fillers: job.ordinary,
        ..job
    }
}

/// A full pool of ten cores, with work of priority 1 that takes `wait_ms` and is due at once.
fn full(wait_ms: u64) -> KindBacklog {
    let mut kind = KindBacklog {
        cores_milli: 10_000,
        ..KindBacklog::default()
    };
    kind.add_queued(1, 0, wait_ms * 10);
    kind
}

fn backlog(ordinary: KindBacklog, fillers: KindBacklog) -> Backlog {
    let mut backlog = Backlog {
        measured_ms: MEASURED_MS,
        ..Backlog::default()
    };
    let pool = backlog.pool_mut("pool").unwrap();
    pool.ordinary = ordinary;
    pool.fillers = fillers;
    backlog
}

/// Whether a job is accepted by an entry without former refusals.
fn accepts(now_ms: u64, backlog: Option<&Backlog>, job: &Arrival<'_>) -> bool {
    admit(now_ms, backlog, job, &mut Hysteresis::default(), 0.5) == Admission::Accept
}

/// Guards against refusals by a backlog that no longer holds, as of a scheduler that is paused or gone.
#[test]
fn a_backlog_that_is_unknown_or_old_accepts() {
    let backlog = backlog(full(600_000), full(0));
    let job = arrival(1_000);
    assert!(!accepts(MEASURED_MS, Some(&backlog), &job));
    assert!(!accepts(MEASURED_MS + 2_000, Some(&backlog), &job));
    assert!(accepts(MEASURED_MS + 2_001, Some(&backlog), &job));
    assert!(accepts(MEASURED_MS, None, &job));
    let elsewhere = Arrival {
        pool: "other",
        ..job
    };
    assert!(accepts(MEASURED_MS, Some(&backlog), &elsewhere));
}

/// Guards against refusals while no worker of the pool is known, as right after a change of the scheduler.
#[test]
fn a_pool_without_known_processors_accepts() {
    let ordinary = KindBacklog {
        cores_milli: 0,
        ..full(600_000)
    };
    let backlog = backlog(ordinary, full(0));
    assert!(accepts(MEASURED_MS, Some(&backlog), &arrival(1_000)));
}

/// Guards against refusals beside processors that nothing uses, where long tasks run on the others or the
/// tasks that wait don't fit anywhere.
#[test]
fn room_for_the_job_accepts() {
    let ordinary = KindBacklog {
        largest_free_milli: 1_000,
        ..full(600_000)
    };
    let mut larger = arrival(1_000);
    larger.ordinary.largest_milli = 1_001;
    let backlog = backlog(ordinary, full(0));
    assert!(accepts(MEASURED_MS, Some(&backlog), &arrival(1_000)));
    assert!(!accepts(MEASURED_MS, Some(&backlog), &larger));
}

/// Guards against refusals of jobs that have no end or will run much later.
#[test]
fn recurring_and_long_running_jobs_are_accepted() {
    let backlog = backlog(full(600_000), full(600_000));
    for repetition in [Repetition::Recurring, Repetition::LongRunning] {
        let job = Arrival {
            repetition,
            ..arrival(1_000)
        };
        assert!(accepts(MEASURED_MS, Some(&backlog), &job));
    }
}

/// Guards against fillers that are refused because of ordinary work, of less urgent work, or of work in
/// another pool, and the reverse.
#[test]
fn only_work_ahead_on_the_same_processors_counts() {
    let ordinary_only = backlog(full(600_000), full(0));
    assert!(accepts(MEASURED_MS, Some(&ordinary_only), &filler(1_000)));
    assert!(!accepts(MEASURED_MS, Some(&ordinary_only), &arrival(1_000)));
    let fillers_only = backlog(full(0), full(600_000));
    assert!(!accepts(MEASURED_MS, Some(&fillers_only), &filler(1_000)));
    assert!(accepts(MEASURED_MS, Some(&fillers_only), &arrival(1_000)));
    let urgent = Arrival {
        priority: 0,
        ..arrival(1_000)
    };
    assert!(accepts(MEASURED_MS, Some(&ordinary_only), &urgent));
}

/// Guards against short jobs that are refused because of long ones that are due after them.
#[test]
fn work_that_is_due_later_does_not_count() {
    let mut ordinary = full(0);
    ordinary.add_queued(1, 300_000, 6_000_000);
    let backlog = backlog(ordinary, full(0));
    assert!(accepts(MEASURED_MS, Some(&backlog), &arrival(1_000)));
}

/// Guards against refusing that starts and ends again and again while the backlog is around the limit.
#[test]
fn a_backlog_around_the_limit_does_not_flap() {
    let job = arrival(1_000);
    // Refusing starts when 65 % of the wait exceed the limit, and goes on while 80 % do.
    let limit_ms = job.longest_wait_ms();
    let mut state = Hysteresis::default();
    let mut changes = 0;
    let mut before = false;
    for number in 0..200u64 {
        let now_ms = MEASURED_MS + number * 250;
        // Three seconds above the limit at which refusing starts, and three below it.
        let swing = if number % 24 < 12 { 158 } else { 145 };
        let mut backlog = backlog(full(limit_ms * swing / 100), full(0));
        backlog.measured_ms = now_ms;
        admit(now_ms, Some(&backlog), &job, &mut state, 0.5);
        let is_refusing = state.is_refusing(now_ms);
        changes += u32::from(is_refusing != before);
        before = is_refusing;
    }
    assert_eq!((changes, before), (1, true));
    let calm = backlog(full(limit_ms), full(0));
    let later_ms = MEASURED_MS + 200 * 250;
    let calm = Backlog {
        measured_ms: later_ms,
        ..calm
    };
    let admission = admit(later_ms, Some(&calm), &job, &mut state, 0.5);
    assert_eq!(admission, Admission::Accept);
    assert!(!state.is_refusing(later_ms + 2_000));
}

/// Guards against fillers that are refused since ordinary tasks take all processors for a moment, and against a
/// lasting lack of processors that goes unnoticed.
#[test]
fn spare_processors_count_by_their_mean() {
    let mut before = backlog(full(0), full(4_000));
    let mut refused_after_ms = None;
    for passed_ms in (250..=60_000).step_by(250) {
        let mut now = backlog(full(0), full(4_000));
        now.measured_ms = MEASURED_MS + passed_ms;
        now.pool_mut("pool").unwrap().fillers.cores_milli = 1_000;
        now.average_spare(&before);
        if !accepts(now.measured_ms, Some(&now), &filler(1_000)) {
            refused_after_ms = refused_after_ms.or(Some(passed_ms));
        }
        before = now;
    }
    let after_ms = refused_after_ms.expect("a lasting lack counts");
    assert!((2_000..20_000).contains(&after_ms), "{after_ms}");
    assert!((1_000..1_100).contains(&before.pool("pool").unwrap().fillers.cores_milli));
}

/// Guards against large jobs that are refused each time, as a few small ones always fit before them.
#[test]
fn a_large_job_gets_in_at_some_time() {
    let mut state = Hysteresis::default();
    let backlog = backlog(full(600_000), full(0));
    let mut large = arrival(1_000);
    large.ordinary.work = 1_000_000;
    let mut accepted = [0, 0];
    for number in 0..900 {
        let job = if number % 10 == 0 {
            large
        } else {
            arrival(1_000)
        };
        let admission = admit(MEASURED_MS, Some(&backlog), &job, &mut state, 0.5);
        accepted[usize::from(number % 10 == 0)] += u32::from(admission == Admission::Accept);
    }
    // One of nine refusals of each size.
    assert_eq!(accepted, [90, 10]);
}

fn kinds() -> impl Strategy<Value = KindBacklog> {
    let entries = prop::collection::vec((0u32..100, any::<u64>(), any::<u64>()), 0..100);
    let cores = prop_oneof![Just(0), 1u64..10_000_000, any::<u64>()];
    (cores, any::<u64>(), entries).prop_map(|(cores_milli, largest_free_milli, entries)| {
        let mut kind = KindBacklog {
            cores_milli,
            largest_free_milli: largest_free_milli % 20_000,
            ..KindBacklog::default()
        };
        for (priority, due_in_ms, work) in entries {
            kind.add_running(priority, work);
            kind.add_queued(priority, due_in_ms, work);
        }
        kind
    })
}

fn arrivals() -> impl Strategy<Value = Arrival<'static>> {
    let demand = || {
        (any::<u64>(), any::<u64>()).prop_map(|(work, largest_milli)| Demand {
            work,
            largest_milli,
        })
    };
    (0u32..100, any::<u64>(), any::<u64>(), demand(), demand()).prop_map(
        |(priority, objective_ms, path_ms, ordinary, fillers)| Arrival {
            pool: "pool",
            priority,
            repetition: Repetition::Once,
            objective_ms: objective_ms >> (objective_ms % 64),
            path_ms: path_ms >> (path_ms % 64),
            ordinary,
            fillers,
        },
    )
}

proptest! {
    /// Guards against a time for a retry that is out of bounds, overflows, and refusals of jobs that are expected
    /// to end in time.
    #[test]
    fn refusals_are_bounded_and_only_of_jobs_that_are_too_late(
        ordinary in kinds(),
        fillers in kinds(),
        job in arrivals(),
        spread in prop_oneof![0.0..=1.0f64, Just(f64::NAN), Just(-3.0), Just(1e300)],
    ) {
        let backlog = backlog(ordinary, fillers);
        let pool = backlog.pool("pool").unwrap();
        let mut state = Hysteresis::default();
        let admission = admit(MEASURED_MS, Some(&backlog), &job, &mut state, spread);
        if let Admission::Refuse { retry_after_s } = admission {
            prop_assert!((1..=30).contains(&retry_after_s));
            let waits = [&pool.ordinary, &pool.fillers];
            let waits = waits.map(|kind| kind.wait_ms(job.priority, job.objective_ms));
            let longest = waits.into_iter().flatten().max();
            prop_assert!(longest > Some(job.longest_wait_ms()));
        }
    }

    /// Guards against memory that grows with the number of priorities or pools, and sizes out of range.
    #[test]
    fn the_memory_of_a_backlog_is_bounded(
        names in prop::collection::vec("[a-z]{1,3}", 0..600),
        priorities in prop::collection::vec(any::<u32>(), 0..600),
    ) {
        let mut backlog = Backlog::default();
        for name in &names {
            if let Some(pool) = backlog.pool_mut(name) {
                for priority in &priorities {
                    pool.fillers.add_running(*priority, 1);
                }
            }
        }
        prop_assert!(backlog.pools.len() <= 256);
        prop_assert!(backlog.pools.iter().all(|pool| pool.fillers.waiting.len() <= 64));
    }
}
