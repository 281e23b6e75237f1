//! Agents that send heartbeats to this entry: joining, draining and expiry.

use membership::{Members, MembershipChange};
use std::net::SocketAddr;
use wire::Heartbeat;

fn heartbeat(incarnation: u64, sequence: u64, draining: bool) -> Heartbeat {
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

/// Heartbeats may arrive out of order. An older one must not undo the draining of the agent.
#[test]
fn a_late_heartbeat_never_replaces_a_newer_one() {
    let mut members = Members::new(2_500);
    assert_eq!(
        members.on_heartbeat(0, &heartbeat(1, 5, false)),
        Some(vec![MembershipChange::Joined("w".into())])
    );
    assert_eq!(
        members.on_heartbeat(10, &heartbeat(1, 6, true)),
        Some(vec![MembershipChange::Leaving("w".into())])
    );
    assert_eq!(members.on_heartbeat(20, &heartbeat(1, 5, false)), None);
    assert!(
        members
            .get(&"w".into())
            .is_some_and(|member| member.heartbeat.draining)
    );
    assert_eq!(
        members.on_heartbeat(30, &heartbeat(2, 1, false)),
        Some(vec![MembershipChange::Joined("w".into())])
    );
}

/// Tasks of an agent are recovered by the time since it was last seen. If that were removed with
/// the agent, recovery would not know how long a lost agent has been silent.
#[test]
fn the_time_when_a_lost_agent_was_last_seen_is_retained() {
    let mut members = Members::new(2_500);
    members.on_heartbeat(1_000, &heartbeat(1, 1, false));
    assert!(members.expire(3_499).is_empty());
    assert_eq!(members.expire(3_500), [MembershipChange::Lost("w".into())]);
    assert_eq!(members.silent_ms(11_000, &"w".into()), Some(10_000));
    assert_eq!(members.silent_ms(11_000, &"x".into()), None);
}

/// A duplicate datagram is not applied again. The acknowledgement must still say that the agent is
/// known, or every duplicate would cost a full heartbeat.
#[test]
fn a_duplicate_pulse_does_not_request_a_full_heartbeat() {
    let mut members = Members::new(2_500);
    let pulse = heartbeat(1, 2, false).pulse();
    assert!(!members.knows_full_state(&pulse));
    members.on_heartbeat(0, &heartbeat(1, 1, false));
    assert!(members.on_pulse(10, &pulse).is_some());
    assert!(members.on_pulse(20, &pulse).is_none());
    assert!(members.knows_full_state(&pulse));
    assert!(
        !members.knows_full_state(&heartbeat(2, 1, false).pulse()),
        "a restarted agent is not known"
    );
}
