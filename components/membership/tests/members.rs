//! Joining, leaving and getting lost.

use membership::{Members, MembershipChange};
use std::net::SocketAddr;
use wire::Heartbeat;

fn beat(incarnation: u64, sequence: u64, draining: bool) -> Heartbeat {
    let address = SocketAddr::from(([127, 0, 0, 1], 1));
    Heartbeat {
        agent: "w".into(),
        incarnation,
        sequence,
        domain: "a".into(),
        traffic: address,
        control: address,
        draining,
        services: Vec::new(),
        capacity: model::Resources::default(),
        free: model::Resources::default(),
        config: 0,
        bad_kinds: Vec::new(),
    }
}

#[test]
fn a_late_heartbeat_never_takes_back_a_newer_one() {
    let mut members = Members::new(2_500);
    assert_eq!(
        members.on_heartbeat(0, &beat(1, 5, false)),
        Some(vec![MembershipChange::Joined("w".into())])
    );
    assert_eq!(
        members.on_heartbeat(10, &beat(1, 6, true)),
        Some(vec![MembershipChange::Leaving("w".into())])
    );
    assert_eq!(members.on_heartbeat(20, &beat(1, 5, false)), None);
    assert!(
        members
            .get(&"w".into())
            .is_some_and(|member| member.beat.draining)
    );
    assert_eq!(
        members.on_heartbeat(30, &beat(2, 1, false)),
        Some(vec![MembershipChange::Joined("w".into())])
    );
}

#[test]
fn a_lost_agent_is_remembered_for_how_long_it_is_silent() {
    let mut members = Members::new(2_500);
    members.on_heartbeat(1_000, &beat(1, 1, false));
    assert!(members.expire(3_499).is_empty());
    assert_eq!(members.expire(3_500), [MembershipChange::Lost("w".into())]);
    assert_eq!(members.silent_ms(11_000, &"w".into()), Some(10_000));
    assert_eq!(members.silent_ms(11_000, &"x".into()), None);
}

#[test]
fn a_pulse_that_comes_twice_does_not_ask_for_a_whole_heartbeat() {
    let mut members = Members::new(2_500);
    let pulse = beat(1, 2, false).pulse();
    assert!(!members.knows_full_state(&pulse));
    members.on_heartbeat(0, &beat(1, 1, false));
    assert!(members.on_pulse(10, &pulse).is_some());
    assert!(members.on_pulse(20, &pulse).is_none());
    assert!(members.knows_full_state(&pulse));
    assert!(
        !members.knows_full_state(&beat(2, 1, false).pulse()),
        "a restarted agent is not known"
    );
}
