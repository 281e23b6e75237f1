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
    assert_eq!(decide(300, 0, 0.2, 1_500), start(Reason::Overtime));
}
