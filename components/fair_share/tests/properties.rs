//! Bounds of entitlements and debts for any use.

use fair_share::{
    FairShares, MAX_QUEUES, MAX_WEIGHT, MIN_WEIGHT, QueueUse, Share, WINDOW_MS, entitlements,
};
use proptest::prelude::*;

/// Rounding errors of sums of shares, relative to them.
const ROUNDING: f64 = 1e-6;
const NAMES: [&str; 5] = ["a", "b", "c", "d", "e"];

fn queue_use(queue: &str, weight: f64, used: f64, waiting: f64) -> QueueUse<'_> {
    QueueUse {
        queue,
        weight,
        demand: Share::new(used + waiting),
        used: Share::new(used),
    }
}

fn any_uses() -> impl Strategy<Value = Vec<QueueUse<'static>>> {
    let amount = prop_oneof![Just(0.0), 0.0..1.0_f64];
    let one = (0.1..10.0_f64, amount.clone(), amount);
    prop::collection::vec(one, 1..=NAMES.len()).prop_map(|parts| {
        let parts = parts.into_iter().zip(NAMES);
        let uses = parts
            .map(|((weight, used, waiting), name)| queue_use(name, weight, used, 3.0 * waiting));
        uses.collect()
    })
}

proptest! {
    /// Guards against capacity that is promised twice or to nobody, and against charges while nobody waits:
    /// what one uses beyond its entitlement another one lacks and waits for.
    #[test]
    fn entitlements_divide_what_is_used(uses in any_uses()) {
        let parts = entitlements(&uses);
        let total: f64 = uses.iter().map(|one| one.used.get()).sum();
        prop_assert!((parts.iter().sum::<f64>() - total).abs() <= ROUNDING);
        let weights: f64 = uses.iter().map(|one| one.weight).sum();
        let is_lacking = uses.iter().zip(&parts).any(|(one, part)| {
            one.used.get() < one.demand.get() && one.used.get() < part + ROUNDING
        });
        for (one, part) in uses.iter().zip(&parts) {
            prop_assert!(*part <= one.demand.get() + ROUNDING);
            let share = total * one.weight / weights;
            prop_assert!(*part >= share.min(one.demand.get()) - ROUNDING);
            prop_assert!(one.used.get() <= part + ROUNDING || is_lacking);
        }
    }

    /// Guards against debts that grow without bound, of which a queue could never be free again, and against
    /// debts of a queue that kept to its share.
    #[test]
    fn debts_are_bounded(
        observations in prop::collection::vec((10_u64..3_000, any_uses()), 1..60),
    ) {
        let mut shares = FairShares::default();
        let mut now_ms = 1_000;
        for (lasted_ms, uses) in &observations {
            now_ms += lasted_ms;
            shares.observe(now_ms, *lasted_ms, uses);
            // Weights are at least 0.1 and at most 10, of five queues.
            let most = 4.0 * 10.0 / 0.1;
            for name in NAMES {
                let debt = shares.debt(now_ms, name);
                prop_assert!((0.0..=most).contains(&debt), "{debt} of {name}");
                prop_assert!(shares.used(now_ms, name) <= 1.0 + ROUNDING);
            }
        }
        for name in NAMES {
            prop_assert_eq!(shares.debt(now_ms + WINDOW_MS, name), 0.0);
        }
    }

    /// Guards against a bound on debts that depends on anything but the weights: with weights that stay, it is
    /// those of the others relative to the queue's own.
    #[test]
    fn a_debt_is_at_most_the_weights_of_the_others(
        weights in prop::collection::vec(0.1..10.0_f64, 2..=5),
        used in prop::collection::vec((0.0..1.0_f64, 0.0..1.0_f64), 5..=5),
    ) {
        let parts = weights.iter().zip(&used).zip(NAMES);
        let uses: Vec<QueueUse> = parts
            .map(|((weight, (used, waiting)), name)| queue_use(name, *weight, *used, *waiting))
            .collect();
        let mut shares = FairShares::default();
        for number in 1..=200_u64 {
            shares.observe(number * 100, 100, &uses);
        }
        let all: f64 = weights.iter().sum();
        for (weight, name) in weights.iter().zip(NAMES) {
            let debt = shares.debt(20_000, name);
            prop_assert!(debt <= (all - weight) / weight + ROUNDING, "{debt} of {name}");
        }
    }

    /// Guards against a charge for idle capacity that was lent: while no queue waits, none gets into debt.
    #[test]
    fn lent_capacity_is_not_charged(uses in any_uses()) {
        let mut shares = FairShares::default();
        let satisfied: Vec<QueueUse> = uses
            .iter()
            .map(|one| QueueUse { demand: one.used, ..*one })
            .collect();
        shares.observe(20_000, WINDOW_MS, &satisfied);
        for name in NAMES {
            prop_assert_eq!(shares.debt(20_000, name), 0.0);
        }
    }
}

/// Guards against memory that grows with the number of queues that callers or operators name.
#[test]
fn the_number_of_queues_is_bounded() {
    let names: Vec<String> = (0..2 * MAX_QUEUES)
        .map(|number| format!("q{number}"))
        .collect();
    let uses: Vec<QueueUse> = names
        .iter()
        .map(|name| queue_use(name, 1.0, 0.001, 0.1))
        .collect();
    let mut shares = FairShares::default();
    shares.observe(20_000, 100, &uses);
    assert_eq!(shares.queues(), MAX_QUEUES);
    // Windows that have emptied make room.
    shares.observe(40_000, 100, &uses[MAX_QUEUES..MAX_QUEUES + 1]);
    assert_eq!(shares.queues(), 1);
}

/// Guards against weights that let one queue take everything, or none.
#[test]
fn weights_are_bounded() {
    for (weight, bounded) in [
        (f64::NAN, 1.0),
        (-1.0, MIN_WEIGHT),
        (0.0, MIN_WEIGHT),
        (f64::INFINITY, MAX_WEIGHT),
    ] {
        let all = |weight| {
            [
                queue_use("a", weight, 0.5, 1.0),
                queue_use("b", 1.0, 0.5, 1.0),
            ]
        };
        assert_eq!(entitlements(&all(weight)), entitlements(&all(bounded)));
    }
}

/// Guards against a weight without effect: a queue of twice the weight is entitled to twice as much.
#[test]
fn a_queue_of_twice_the_weight_has_twice_the_share() {
    let mut shares = FairShares::default();
    let uses = [
        queue_use("heavy", 2.0, 0.6, 1.0),
        queue_use("light", 1.0, 0.3, 1.0),
    ];
    shares.observe(20_000, WINDOW_MS, &uses);
    assert_eq!(shares.debt(20_000, "heavy"), 0.0);
    assert_eq!(shares.debt(20_000, "light"), 0.0);
    let uses = [
        queue_use("heavy", 2.0, 0.45, 1.0),
        queue_use("light", 1.0, 0.45, 1.0),
    ];
    shares.observe(30_000, WINDOW_MS, &uses);
    assert_eq!(shares.debt(30_000, "heavy"), 0.0);
    assert!(shares.debt(30_000, "light") > 0.4);
}

/// Guards against a debt that ends at once, or that is still counted after the window: it is paid as the window
/// moves on, and by use below the share.
#[test]
fn a_debt_is_paid_within_the_window() {
    let mut shares = FairShares::default();
    let uses = [queue_use("a", 1.0, 0.9, 1.0), queue_use("b", 1.0, 0.1, 1.0)];
    shares.observe(20_000, WINDOW_MS, &uses);
    let first = shares.debt(20_000, "a");
    let half = shares.debt(25_000, "a");
    assert!(first > 0.79 && half > 0.3 && half < 0.5, "{first}, {half}");
    assert_eq!(shares.debt(30_000, "a"), 0.0);
    let reversed = [queue_use("a", 1.0, 0.1, 1.0), queue_use("b", 1.0, 0.9, 1.0)];
    for number in 1..=60_u64 {
        shares.observe(20_000 + number * 100, 100, &reversed);
    }
    assert_eq!(shares.debt(26_000, "a"), 0.0, "paid by use below the share");
}

/// Guards against a debt that forgets for how long others waited: a tenth of the window makes a tenth of the debt.
#[test]
fn a_debt_grows_with_the_time_for_which_others_wait() {
    let uses = [queue_use("a", 1.0, 0.9, 1.0), queue_use("b", 1.0, 0.1, 1.0)];
    let debt = |lasted_ms| {
        let mut shares = FairShares::default();
        shares.observe(20_000, lasted_ms, &uses);
        shares.debt(20_000, "a")
    };
    assert!((debt(WINDOW_MS) - 0.8).abs() < ROUNDING);
    assert!((debt(WINDOW_MS / 10) - 0.08).abs() < ROUNDING);
    assert_eq!(debt(3 * WINDOW_MS), debt(WINDOW_MS), "the window bounds it");
}
