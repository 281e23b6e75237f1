//! The dispatcher's decisions, on fake time.

use errors::Code;
use model::{RequestId, TeamName};
use rand::SeedableRng;
use rand::rngs::StdRng;
use routing::{
    Class, Decision, Dispatcher, PendingRequest, Route, RoutingOptions, RunTimes, TargetOutcome,
    claim_holders,
};
use std::net::SocketAddr;
use wire::{BackendLoad, Heartbeat, ServiceLoad};

fn beat(index: usize, free: u32) -> Heartbeat {
    let address = SocketAddr::from(([127, 0, 0, 1], 7_000 + index as u16));
    let load = BackendLoad {
        free,
        free_long: free / 2,
    };
    Heartbeat {
        agent: format!("w{index}").into(),
        incarnation: 1,
        sequence: 1,
        domain: format!("d{}", index % 3).into(),
        traffic: address,
        control: address,
        draining: false,
        services: vec![ServiceLoad {
            service: "s".into(),
            slots: 8,
            load,
        }],
        capacity: model::Resources::default(),
        free: model::Resources::default(),
        config: 0,
        bad_kinds: Vec::new(),
    }
}

fn pending(number: u128, team: &str, class: Class, arrived_ms: u64) -> PendingRequest {
    PendingRequest {
        id: RequestId::from_u128(number),
        origin: RequestId::from_u128(number),
        service: "s".into(),
        team: TeamName::from(team),
        weight: if team == "heavy" { 3 } else { 1 },
        route: Route::of("s", "GET", "/x"),
        class,
        arrived_ms,
        deadline_ms: arrived_ms + 1_000,
        expected_ms: 50,
        tries: 0,
        avoid: Vec::new(),
    }
}

/// Time from which agents get their whole share.
const WARM_MS: u64 = 10_000;

fn dispatcher(agents: usize, free: u32) -> Dispatcher {
    let mut dispatcher = Dispatcher::new(RoutingOptions::default(), "d0".into());
    (0..agents).for_each(|index| dispatcher.on_heartbeat(0, &beat(index, free)));
    (0..agents).for_each(|index| dispatcher.on_heartbeat(WARM_MS, &beat(index, free)));
    dispatcher
}

fn rng() -> StdRng {
    StdRng::seed_from_u64(1)
}

fn sent(decisions: &[Decision]) -> Vec<u128> {
    let number = |decision: &Decision| match decision {
        Decision::Send(dispatch) => {
            u128::from_str_radix(&dispatch.id.to_string().replace('-', ""), 16).ok()
        }
        Decision::Refuse(..) => None,
    };
    decisions.iter().filter_map(number).collect()
}

#[test]
fn requests_wait_for_a_known_free_slot_and_no_longer() {
    let mut dispatcher = dispatcher(2, 1);
    for number in 1..=3 {
        dispatcher
            .submit(WARM_MS, pending(number, "t", Class::Short, WARM_MS))
            .unwrap();
    }
    assert_eq!(sent(&dispatcher.decide(WARM_MS, &mut rng())), [1, 2]);
    assert!(dispatcher.decide(WARM_MS + 5, &mut rng()).is_empty());
    let load = BackendLoad {
        free: 1,
        free_long: 0,
    };
    dispatcher.on_end(
        WARM_MS + 10,
        &"s".into(),
        &"w1".into(),
        TargetOutcome::Succeeded,
        Some(9),
    );
    dispatcher.on_load(WARM_MS + 10, &"s".into(), &"w1".into(), load);
    let decisions = dispatcher.decide(WARM_MS + 10, &mut rng());
    assert_eq!(sent(&decisions), [3]);
}

#[test]
fn teams_get_slots_by_weight_and_short_goes_before_long() {
    let mut dispatcher = dispatcher(1, 0);
    for number in 0..8 {
        let (team, class) = if number % 2 == 0 {
            ("heavy", Class::Short)
        } else {
            ("light", Class::Short)
        };
        dispatcher
            .submit(WARM_MS, pending(number, team, class, WARM_MS))
            .unwrap();
    }
    dispatcher
        .submit(WARM_MS, pending(100, "light", Class::Long, WARM_MS))
        .unwrap();
    dispatcher.on_load(
        WARM_MS,
        &"s".into(),
        &"w0".into(),
        BackendLoad {
            free: 5,
            free_long: 2,
        },
    );
    let order = sent(&dispatcher.decide(WARM_MS, &mut rng()));
    let heavy = order.iter().filter(|number| *number % 2 == 0).count();
    assert_eq!((order.len(), heavy), (5, 4), "{order:?}");
    assert!(!order.contains(&100));
}

#[test]
fn a_long_request_does_not_starve() {
    let mut dispatcher = dispatcher(1, 0);
    let mut long = pending(1, "t", Class::Long, WARM_MS);
    long.deadline_ms = WARM_MS + 60_000;
    dispatcher.submit(WARM_MS, long).unwrap();
    let later_ms = WARM_MS + 2_000;
    dispatcher
        .submit(later_ms, pending(2, "t", Class::Short, later_ms))
        .unwrap();
    dispatcher.on_load(
        later_ms,
        &"s".into(),
        &"w0".into(),
        BackendLoad {
            free: 1,
            free_long: 1,
        },
    );
    assert_eq!(sent(&dispatcher.decide(later_ms, &mut rng())), [1]);
}

#[test]
fn what_can_not_meet_its_deadline_is_refused_as_not_run() {
    let mut dispatcher = dispatcher(1, 0);
    dispatcher
        .submit(WARM_MS, pending(1, "t", Class::Short, WARM_MS))
        .unwrap();
    let decisions = dispatcher.decide(WARM_MS + 960, &mut rng());
    assert!(matches!(&decisions[..], [Decision::Refuse(_, failure)]
        if failure.code == Code::DeadlineUnreachable && failure.verdict.is_safe_to_retry()));
    assert_eq!(dispatcher.waiting(), 0);
}

#[test]
fn an_agent_that_fails_everything_is_ejected_and_tried_with_one() {
    let mut dispatcher = dispatcher(2, 8);
    let mut ejected = false;
    for number in 0..40 {
        let now_ms = WARM_MS + number as u64;
        dispatcher
            .submit(now_ms, pending(number, "t", Class::Short, now_ms))
            .unwrap();
        for decision in dispatcher.decide(now_ms, &mut rng()) {
            let Decision::Send(dispatch) = decision else {
                continue;
            };
            let bad = dispatch.agent.as_str() == "w0";
            assert!(!bad || !ejected, "an ejected agent gets nothing");
            let outcome = if bad {
                TargetOutcome::Failed
            } else {
                TargetOutcome::Succeeded
            };
            ejected |= dispatcher.on_end(now_ms, &"s".into(), &dispatch.agent, outcome, Some(5));
            let load = BackendLoad {
                free: 8,
                free_long: 4,
            };
            dispatcher.on_load(now_ms, &"s".into(), &dispatch.agent, load);
        }
    }
    assert!(ejected);
    let back_ms = WARM_MS + 1_100;
    for number in 100..120 {
        dispatcher
            .submit(back_ms, pending(number, "t", Class::Short, back_ms))
            .unwrap();
    }
    let decisions = dispatcher.decide(back_ms, &mut rng());
    let to_bad = decisions
        .iter()
        .filter(|decision| matches!(decision, Decision::Send(to) if to.agent.as_str() == "w0"));
    assert_eq!(to_bad.count(), 1);
}

#[test]
fn retries_spend_a_budget_that_successes_earn() {
    let mut dispatcher = dispatcher(1, 8);
    let mut allowed = 0;
    for number in 0..100 {
        let retried = dispatcher.retry(WARM_MS, pending(number, "t", Class::Short, WARM_MS), true);
        allowed += usize::from(retried.is_ok());
    }
    assert_eq!(allowed, 20);
}

#[test]
fn a_request_that_fits_nowhere_does_not_hold_up_others() {
    let mut dispatcher = dispatcher(2, 0);
    let mut picky = pending(1, "t", Class::Short, WARM_MS);
    picky.avoid = vec!["w0".into()];
    dispatcher.retry(WARM_MS, picky, false).unwrap();
    dispatcher
        .submit(WARM_MS, pending(2, "t", Class::Short, WARM_MS))
        .unwrap();
    dispatcher.on_load(
        WARM_MS,
        &"s".into(),
        &"w0".into(),
        BackendLoad {
            free: 1,
            free_long: 0,
        },
    );
    assert_eq!(sent(&dispatcher.decide(WARM_MS, &mut rng())), [2]);
}

#[test]
fn claims_on_a_key_lie_in_two_failure_domains() {
    let dispatcher = dispatcher(11, 8);
    let targets = dispatcher.targets(&"s".into()).unwrap();
    for number in 0..200 {
        let homes = claim_holders(targets, &format!("key{number}"));
        assert_eq!(homes.len(), 2);
        assert_ne!(homes[0].domain, homes[1].domain);
    }
}

#[test]
fn run_times_tell_long_routes_from_short_ones() {
    let mut times = RunTimes::default();
    let (report, search) = (
        Route::of("s", "GET", "/report/1"),
        Route::of("s", "GET", "/search"),
    );
    for run_ms in [900, 20, 950, 1_000] {
        times.add(report, run_ms, 500);
        times.add(search, 20, 500);
    }
    assert_eq!(
        (times.class(report), times.class(search)),
        (Class::Long, Class::Short)
    );
}

#[test]
fn an_entry_that_just_started_uses_all_slots_of_agents_that_are_all_new_to_it() {
    let mut dispatcher = Dispatcher::new(RoutingOptions::default(), "d0".into());
    (0..2).for_each(|index| dispatcher.on_heartbeat(0, &beat(index, 8)));
    for number in 0..16 {
        let request = pending(number, "a", Class::Short, 50);
        dispatcher.submit(50, request).unwrap();
    }
    let decisions = dispatcher.decide(50, &mut rng());
    assert_eq!(sent(&decisions).len(), 16);
}

#[test]
fn a_new_agent_beside_warm_ones_starts_slowly() {
    let mut dispatcher = dispatcher(2, 8);
    dispatcher.on_heartbeat(WARM_MS, &beat(2, 8));
    for number in 0..24 {
        let request = pending(number, "a", Class::Short, WARM_MS + 500);
        dispatcher.submit(WARM_MS + 500, request).unwrap();
    }
    let decisions = dispatcher.decide(WARM_MS + 500, &mut rng());
    let to_new = decisions
        .iter()
        .filter(|decision| matches!(decision, Decision::Send(d) if d.agent.as_str() == "w2"));
    assert_eq!(
        to_new.count(),
        2,
        "a quarter of its slots after a quarter of the time"
    );
}
