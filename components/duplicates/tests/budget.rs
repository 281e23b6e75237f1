//! Bounds of the number of duplicates and of the decision, for any room.

use duplicates::{Reason, Room, RunView, Verdict, budget, decide};
use proptest::prelude::*;

/// A room, with at most as much free as there is in total.
fn room() -> impl Strategy<Value = Room> {
    (1_u64..5_000_000, 0.0_f64..=1.0, 0_u64..100_000, 0_u32..200).prop_map(
        |(total_milli, free, queued_milli, duplicates)| Room {
            free_milli: (total_milli as f64 * free) as u64,
            total_milli,
            queued_milli,
            duplicates,
        },
    )
}

/// A run of any length and progress.
fn run() -> impl Strategy<Value = RunView> {
    (
        0_u64..100_000,
        0_u32..=100,
        1_u64..20_000,
        1.0_f64..3.0,
        0.0_f64..2.0,
    )
        .prop_map(
            |(elapsed_ms, percent, median_ms, spread, worker_speed)| RunView {
                elapsed_ms,
                percent,
                expected_ms: (median_ms as f64 * spread) as u64,
                median_ms,
                worker_speed,
            },
        )
}

proptest! {
    /// Guards against duplicates that take room from tasks of the same or a more urgent priority that
    /// wait for it.
    #[test]
    fn nothing_is_duplicated_while_others_are_queued(
        room in room(),
        run in run(),
        need_milli in 0_u32..8_000,
        slack_ms in -10_000_i64..10_000,
        queued_milli in 1_u64..100_000,
    ) {
        let room = Room { queued_milli, ..room };
        prop_assert_eq!(budget(&room, need_milli), 0);
        let verdict = decide(&run, need_milli, slack_ms, &room);
        prop_assert_eq!(verdict, Verdict::Keep(Reason::OthersQueued));
    }

    /// Guards against a budget that grows while the pool fills.
    #[test]
    fn the_budget_shrinks_as_the_pool_fills(
        room in room(),
        need_milli in 1_u32..8_000,
        taken_milli in 0_u64..5_000_000,
    ) {
        let free = Room { queued_milli: 0, ..room };
        let fuller = Room { free_milli: free.free_milli.saturating_sub(taken_milli), ..free };
        prop_assert!(budget(&fuller, need_milli) <= budget(&free, need_milli));
        let full = Room { free_milli: 0, duplicates: 0, ..free };
        prop_assert_eq!(budget(&full, need_milli), 0);
    }

    /// Guards against duplicates beyond a tenth of the pool, and against a duplicate for which there is no
    /// room.
    #[test]
    fn a_duplicate_starts_only_within_the_budget(
        room in room(),
        run in run(),
        need_milli in 1_u32..8_000,
        slack_ms in -10_000_i64..10_000,
    ) {
        let room = Room { queued_milli: 0, ..room };
        let most = u64::from(budget(&room, need_milli)) * u64::from(need_milli);
        prop_assert!(most <= room.total_milli / 10);
        if let Verdict::Start(_) = decide(&run, need_milli, slack_ms, &room) {
            prop_assert!(room.duplicates < budget(&room, need_milli));
        }
    }

    /// Guards against a decision that turns around as the pool fills: what is too dear in a pool with much
    /// room is too dear in one with less.
    #[test]
    fn a_fuller_pool_starts_no_duplicate_that_an_emptier_one_would_not(
        room in room(),
        run in run(),
        need_milli in 1_u32..8_000,
        slack_ms in -10_000_i64..10_000,
        taken_milli in 0_u64..5_000_000,
    ) {
        let fuller = Room { free_milli: room.free_milli.saturating_sub(taken_milli), ..room };
        let starts = |room| matches!(decide(&run, need_milli, slack_ms, room), Verdict::Start(_));
        prop_assert!(!starts(&fuller) || starts(&room));
    }
}

/// Guards against a duplicate of a run that ends soon, has just begun, or is early enough, and against
/// one that is not started for a run without progress.
#[test]
fn a_run_gets_a_duplicate_only_if_it_is_slow() {
    let room = Room {
        free_milli: 50_000,
        total_milli: 100_000,
        ..Room::default()
    };
    let decide = |elapsed_ms, percent, worker_speed, slack_ms| {
        let run = RunView {
            elapsed_ms,
            percent,
            expected_ms: 1_200,
            median_ms: 1_000,
            worker_speed,
        };
        decide(&run, 1_000, slack_ms, &room)
    };
    let keep = Verdict::Keep;
    let start = Verdict::Start;
    assert_eq!(decide(200, 1, 1.0, 1_500), keep(Reason::TooEarly));
    assert_eq!(decide(300, 30, 1.0, 1_500), keep(Reason::GainTooSmall));
    assert_eq!(decide(300, 4, 1.0, 1_500), start(Reason::SlowProgress));
    assert_eq!(decide(300, 4, 1.0, 20_000), keep(Reason::InTime));
    assert_eq!(decide(1_000, 30, 1.0, 200), keep(Reason::CapacityTooDear));
    assert_eq!(decide(1_000, 10, 1.0, 200), start(Reason::SlowProgress));
    assert_eq!(decide(1_100, 0, 1.0, 200), keep(Reason::GainTooSmall));
    assert_eq!(decide(5_500, 0, 1.0, 200), start(Reason::Overtime));
    assert_eq!(decide(300, 0, 0.2, 1_500), start(Reason::SlowWorker));
}

/// Guards against a run on a slow worker that is judged as late as any other, against an expected end that
/// ignores the worker's speed, and against duplicates of runs that are fast there all the same.
#[test]
fn the_speed_of_the_worker_counts_until_the_run_itself_shows_another() {
    let room = Room {
        free_milli: 90_000,
        total_milli: 100_000,
        ..Room::default()
    };
    let decide = |elapsed_ms, percent, worker_speed| {
        let run = RunView {
            elapsed_ms,
            percent,
            expected_ms: 1_200,
            median_ms: 1_000,
            worker_speed,
        };
        decide(&run, 1_000, 1_500, &room)
    };
    let keep = Verdict::Keep;
    let start = Verdict::Start;
    // A quarter of the usual time would be 250 ms.
    assert_eq!(decide(149, 2, 0.2), keep(Reason::TooEarly));
    assert_eq!(decide(150, 2, 0.2), start(Reason::SlowWorker));
    assert_eq!(decide(150, 2, 1.0), keep(Reason::TooEarly));
    assert_eq!(decide(150, 15, 0.2), keep(Reason::TooEarly), "it is fast");
    assert_eq!(
        decide(500, 50, 0.2),
        keep(Reason::GainTooSmall),
        "it is fast"
    );
    // At half the speed it ends 1,600 ms from now, which is too late by 100 ms.
    assert_eq!(decide(400, 0, 0.5), start(Reason::SlowWorker));
    assert_eq!(decide(700, 0, 0.5), keep(Reason::GainTooSmall));
    // By its progress since the start it would end 1,026 ms from now; its worker has become slow since.
    assert_eq!(decide(820, 44, 1.0), keep(Reason::GainTooSmall));
    assert_eq!(decide(820, 44, 0.2), start(Reason::SlowWorker));
    // It is not late by the speed of its worker.
    assert_eq!(decide(1_700, 0, 0.5), keep(Reason::GainTooSmall));
    assert_eq!(decide(1_700, 0, 1.0), start(Reason::Overtime));
    assert_eq!(decide(2_500, 0, 0.5), start(Reason::Overtime));
}

proptest! {
    /// Guards against a speed that is taken into account although the worker is not known to be slow.
    #[test]
    fn a_worker_that_is_not_slow_changes_nothing(
        room in room(),
        run in run(),
        need_milli in 1_u32..8_000,
        slack_ms in -10_000_i64..10_000,
        worker_speed in 1.0_f64..9.0,
    ) {
        let usual = RunView { worker_speed: 1.0, ..run };
        let fast = RunView { worker_speed, ..run };
        let verdict = decide(&usual, need_milli, slack_ms, &room);
        prop_assert_eq!(decide(&fast, need_milli, slack_ms, &room), verdict);
        prop_assert_ne!(verdict, Verdict::Start(Reason::SlowWorker));
    }

    /// Guards against a slower worker that makes a duplicate less likely, for runs that report progress.
    #[test]
    fn a_slower_worker_takes_no_duplicate_away(
        room in room(),
        run in run(),
        need_milli in 1_u32..8_000,
        slack_ms in -10_000_i64..10_000,
        percent in 1_u32..=100,
        factor in 0.0_f64..1.0,
    ) {
        let run = RunView { percent, ..run };
        let slower = RunView { worker_speed: run.worker_speed.min(1.0) * factor, ..run };
        let starts = |run| matches!(decide(run, need_milli, slack_ms, &room), Verdict::Start(_));
        prop_assert!(!starts(&run) || starts(&slower));
    }
}
