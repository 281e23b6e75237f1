//! Bounds of the wait that hold for any load.

use locality::{NearPlace, Reason, Verdict, decide, extra_ms, gang_place};
use proptest::prelude::*;

/// Near places that are not free, each with its expected release.
fn busy_places() -> impl Strategy<Value = Vec<NearPlace>> {
    let place = proptest::option::of(0..20_000_u64).prop_map(|expected_free_ms| NearPlace {
        free_now: false,
        expected_free_ms,
    });
    proptest::collection::vec(place, 0..6)
}

/// Near places of which one is always expected to be free in a moment, as in forecasts that are wrong each
/// time.
fn places_that_are_nearly_free() -> impl Strategy<Value = Vec<NearPlace>> {
    (busy_places(), 0..200_u64).prop_map(|(mut near, soon_ms)| {
        near.push(NearPlace {
            free_now: false,
            expected_free_ms: Some(soon_ms),
        });
        near
    })
}

proptest! {
    /// Guards against waits that begin anew with each scheduling pass: whatever releases are forecast,
    /// a task waits neither longer than a remote run takes in addition nor longer than its slack.
    #[test]
    fn the_total_wait_is_bounded(
        passes in proptest::collection::vec(
            (1..400_u64, prop_oneof![1 => busy_places(), 50 => places_that_are_nearly_free()]),
            1..200,
        ),
        run_ms in 0..10_000_u64,
        remote_factor in 1.0..4.0_f64,
        slack_ms in 0..10_000_u64,
    ) {
        let begin_ms = 1_000;
        let mut now_ms = begin_ms;
        let mut since_ms = None;
        for (interval_ms, near) in passes {
            let left_ms = slack_ms.saturating_sub(now_ms - begin_ms);
            match decide(now_ms, since_ms, &near, run_ms, remote_factor, left_ms) {
                Verdict::Wait { until_ms } => {
                    let bound_ms = extra_ms(run_ms, remote_factor).min(slack_ms);
                    prop_assert!(now_ms < until_ms && until_ms <= begin_ms + bound_ms);
                    since_ms.get_or_insert(now_ms);
                }
                Verdict::PlaceNear => prop_assert!(false, "no near place is free"),
                Verdict::PlaceRemote(_) => return Ok(()),
            }
            now_ms += interval_ms;
        }
    }

    /// Guards against a task that goes elsewhere with a false reason, which logs and `explain` show.
    #[test]
    fn the_reason_is_the_release_where_it_comes_too_late(
        run_ms in 1..10_000_u64,
        late_ms in 0..10_000_u64,
    ) {
        let near = [NearPlace { free_now: false, expected_free_ms: Some(run_ms + late_ms) }];
        let verdict = decide(1_000, None, &near, run_ms, 2.0, u64::MAX);
        prop_assert_eq!(verdict, Verdict::PlaceRemote(Reason::LaterThanRemote));
    }

    /// Guards against waits for a place that brings nothing.
    #[test]
    fn a_task_that_is_not_slower_elsewhere_never_waits(
        near in busy_places(),
        run_ms in any::<u64>(),
        remote_factor in prop_oneof![Just(1.0), 0.0..1.0_f64, Just(f64::NAN)],
        slack_ms in any::<u64>(),
    ) {
        let verdict = decide(1_000, None, &near, run_ms, remote_factor, slack_ms);
        prop_assert!(matches!(verdict, Verdict::PlaceRemote(_)));
    }

    /// Guards against tasks that go elsewhere, or wait on, while a near worker is free.
    #[test]
    fn a_free_near_place_is_always_taken(
        mut near in busy_places(),
        at in any::<prop::sample::Index>(),
        waited_ms in proptest::option::of(0..50_000_u64),
        run_ms in any::<u64>(),
        remote_factor in 1.0..100.0_f64,
        slack_ms in any::<u64>(),
    ) {
        let free = NearPlace { free_now: true, expected_free_ms: None };
        near.insert(at.index(near.len() + 1), free);
        let since_ms = waited_ms.map(|waited_ms| 60_000 - waited_ms);
        let verdict = decide(60_000, since_ms, &near, run_ms, remote_factor, slack_ms);
        prop_assert_eq!(verdict, Verdict::PlaceNear);
    }

    /// Guards against gangs that are promised a rack earlier than it has room for all members.
    #[test]
    fn a_gang_is_near_once_enough_places_are_free(
        rack in busy_places(),
        free in 0..4_usize,
        members in 1..8_usize,
    ) {
        let mut places = rack;
        places.extend(vec![NearPlace { free_now: true, expected_free_ms: None }; free]);
        let place = gang_place(&places, members);
        prop_assert_eq!(place.free_now, free >= members);
        if let Some(at_ms) = place.expected_free_ms {
            let by_then = places.iter().filter(|place| {
                place.free_now || place.expected_free_ms.is_some_and(|own_ms| own_ms <= at_ms)
            });
            prop_assert!(by_then.count() >= members);
        }
    }
}
