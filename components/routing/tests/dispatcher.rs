//! Decisions of the dispatcher, with the time passed in.

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

fn heartbeat(index: usize, free: u32) -> Heartbeat {
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

/// A request that arrives at `arrived_ms` and has a second to its deadline. The team `heavy` has the
/// weight 3, all others 1.
fn pending(number: u128, team: &str, class: Class, arrived_ms: u64) -> PendingRequest {
    PendingRequest {
        id: RequestId::from_u128(number),
        request_id: RequestId::from_u128(number),
        service: "s".into(),
        team: TeamName::from(team),
        weight: if team == "heavy" { 3 } else { 1 },
        route: Route::of("s", "GET", "/x"),
        class,
        arrived_ms,
        deadline_ms: arrived_ms + 1_000,
        expected_ms: 50,
        previous_tries: 0,
        failed_agents: Vec::new(),
    }
}

/// Time at which the agents of [`dispatcher`] are past slow start.
const WARM_MS: u64 = 10_000;

/// A dispatcher with agents `w0`, `w1` and so on that are past slow start.
fn dispatcher(agents: usize, free: u32) -> Dispatcher {
    let mut dispatcher = Dispatcher::new(RoutingOptions::default(), "d0".into());
    (0..agents).for_each(|index| dispatcher.on_heartbeat(0, &heartbeat(index, free)));
    (0..agents).for_each(|index| dispatcher.on_heartbeat(WARM_MS, &heartbeat(index, free)));
    dispatcher
}

fn rng() -> StdRng {
    StdRng::seed_from_u64(1)
}

/// Numbers of the requests that the decisions send, in order.
fn sent(decisions: &[Decision]) -> Vec<u128> {
    let number = |decision: &Decision| match decision {
        Decision::Send(dispatch) => {
            u128::from_str_radix(&dispatch.id.to_string().replace('-', ""), 16).ok()
        }
        Decision::Refuse(..) => None,
    };
    decisions.iter().filter_map(number).collect()
}

/// A request that is sent before a slot is known to be free may queue at one agent while another
/// one has a free slot.
#[test]
fn requests_stay_queued_until_a_slot_is_reported_free() {
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

/// Without fair queueing, one team's backlog or long requests take every slot that becomes free.
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

/// Short requests go first, so a steady flow of them could delay a long one until its deadline.
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

/// A request that stays queued past the last useful start must be refused with a verdict that
/// allows the caller to retry.
#[test]
fn a_request_that_cannot_meet_its_deadline_is_refused_as_not_run() {
    let mut dispatcher = dispatcher(1, 0);
    dispatcher
        .submit(WARM_MS, pending(1, "t", Class::Short, WARM_MS))
        .unwrap();
    let decisions = dispatcher.decide(WARM_MS + 960, &mut rng());
    assert!(matches!(&decisions[..], [Decision::Refuse(_, failure)]
        if failure.code == Code::DeadlineUnreachable && failure.verdict.is_safe_to_retry()));
    assert_eq!(dispatcher.queued_count(), 0);
}

/// An agent that fails fast has free slots at any time, so without ejection it attracts most
/// requests. After an ejection a single request probes it.
#[test]
fn a_failing_agent_is_ejected_and_then_probed_with_one_request() {
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
            let is_failing = dispatch.agent.as_str() == "w0";
            assert!(!is_failing || !ejected, "an ejected agent gets no request");
            let outcome = if is_failing {
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
    let probation_ms = WARM_MS + 1_100;
    for number in 100..120 {
        dispatcher
            .submit(
                probation_ms,
                pending(number, "t", Class::Short, probation_ms),
            )
            .unwrap();
    }
    let decisions = dispatcher.decide(probation_ms, &mut rng());
    let to_failing = decisions
        .iter()
        .filter(|decision| matches!(decision, Decision::Send(to) if to.agent.as_str() == "w0"));
    assert_eq!(to_failing.count(), 1);
}

/// Unlimited retries multiply the load while agents fail.
#[test]
fn retries_are_limited_by_the_retry_budget() {
    let mut dispatcher = dispatcher(1, 8);
    let mut allowed = 0;
    for number in 0..100 {
        let retried = dispatcher.retry(WARM_MS, pending(number, "t", Class::Short, WARM_MS), true);
        allowed += usize::from(retried.is_ok());
    }
    assert_eq!(allowed, 20);
}

/// A request that avoids the only agent with a free slot must not block those queued behind it.
#[test]
fn a_request_without_an_allowed_agent_does_not_block_others() {
    let mut dispatcher = dispatcher(2, 0);
    let mut restricted = pending(1, "t", Class::Short, WARM_MS);
    restricted.failed_agents = vec!["w0".into()];
    dispatcher.retry(WARM_MS, restricted, false).unwrap();
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

/// Both copies of a claim would be lost with one failure domain if they were in the same one.
#[test]
fn claims_on_a_key_lie_in_two_failure_domains() {
    let dispatcher = dispatcher(11, 8);
    let targets = dispatcher.targets(&"s".into()).unwrap();
    for number in 0..200 {
        let holders = claim_holders(targets, &format!("key{number}"));
        assert_eq!(holders.len(), 2);
        assert_ne!(holders[0].domain, holders[1].domain);
    }
}

/// One short run of a mostly slow route must not change the class of the route.
#[test]
fn run_times_classify_routes_as_long_or_short() {
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

/// After the start of an entry all agents are new to it; slow start would leave their slots unused.
#[test]
fn slow_start_does_not_apply_while_all_agents_are_new() {
    let mut dispatcher = Dispatcher::new(RoutingOptions::default(), "d0".into());
    (0..2).for_each(|index| dispatcher.on_heartbeat(0, &heartbeat(index, 8)));
    for number in 0..16 {
        let request = pending(number, "a", Class::Short, 50);
        dispatcher.submit(50, request).unwrap();
    }
    let decisions = dispatcher.decide(50, &mut rng());
    assert_eq!(sent(&decisions).len(), 16);
}

/// A new agent has all slots free and would get a burst of requests at once.
#[test]
fn a_new_agent_beside_warm_ones_starts_slowly() {
    let mut dispatcher = dispatcher(2, 8);
    dispatcher.on_heartbeat(WARM_MS, &heartbeat(2, 8));
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
