//! Admission and fencing in the request table, under random sequences of operations.

use fence::{AdmissionRequest, Admitted, Announcement, Outcome, RequestLimits, RequestTable};
use model::RequestId;
use proptest::prelude::*;
use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;
use wire::{FenceAnswer, FenceRequest};

/// Slots of each backend server.
const SLOTS: u32 = 3;
/// Incarnation of the agent.
const INCARNATION: u64 = 7;

/// One random call of the table, or the passage of time; `nth` selects a running request.
#[derive(Debug, Clone)]
enum Operation {
    /// A request asks for admission, `time_left_ms` before its deadline.
    Admit {
        id: u128,
        long: bool,
        time_left_ms: u64,
    },
    /// An entry queries a request and, if `bar`, fences it off.
    Fence {
        id: u128,
        fence_off: bool,
        incarnation: u64,
    },
    /// A running request ends; 0 is whole, 1 is broken, 2 is not run.
    Finish { nth: usize, outcome: u8 },
    /// The entry of a request disconnects; has an effect only while the request is queued.
    Abandon { id: u128 },
    /// Time passes.
    Advance { ms: u64 },
    /// A backend server announces itself.
    Announce { server: u16, leaving: bool },
}

fn operation() -> impl Strategy<Value = Operation> {
    let id = 0..12_u128;
    prop_oneof![
        4 => (id.clone(), any::<bool>(), 1..400_u64)
            .prop_map(|(id, long, time_left_ms)| Operation::Admit { id, long, time_left_ms }),
        2 => (id.clone(), any::<bool>(), prop_oneof![9 => Just(INCARNATION), 1 => Just(8)])
            .prop_map(|(id, fence_off, incarnation)| {
                Operation::Fence { id, fence_off, incarnation }
            }),
        3 => (0..8_usize, 0..3_u8).prop_map(|(nth, outcome)| Operation::Finish { nth, outcome }),
        1 => id.prop_map(|id| Operation::Abandon { id }),
        2 => (1..300_u64).prop_map(|ms| Operation::Advance { ms }),
        2 => (0..2_u16, prop::bool::weighted(0.2))
            .prop_map(|(server, leaving)| Operation::Announce { server, leaving }),
    ]
}

fn server(number: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 7_000 + number))
}

/// Grants, ends and fencings that the table has reported, recorded independently of the table.
#[derive(Default)]
struct Observed {
    /// Backend server of each request that got a slot.
    granted: HashMap<RequestId, SocketAddr>,
    /// Requests that have a slot.
    running: Vec<RequestId>,
    /// Requests that were fenced off before they got a slot.
    fenced_off: HashSet<RequestId>,
    /// Requests that got a slot and did not end as not run.
    started: HashSet<RequestId>,
}

impl Observed {
    /// Records that a request got a slot, and asserts that it was allowed to.
    fn grant(&mut self, id: RequestId, backend: SocketAddr) {
        assert!(
            !self.fenced_off.contains(&id),
            "{id} got a slot after it was fenced off"
        );
        assert!(self.started.insert(id), "{id} got a slot twice");
        self.granted.insert(id, backend);
        self.running.push(id);
        let on_backend = self
            .running
            .iter()
            .filter(|id| self.granted[id] == backend)
            .count();
        assert!(
            on_backend as u32 <= SLOTS,
            "{backend} has more requests than slots"
        );
    }
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(400))]

    /// An entry that loses its connection to the agent fences the request off and sends it
    /// elsewhere. If the first copy still gets a slot, or a request gets two, it runs twice.
    #[test]
    fn a_fenced_off_request_never_runs_and_none_runs_twice(
        operations in prop::collection::vec(operation(), 1..120)
    ) {
        let limits = RequestLimits {
            queue_per_backend: 2,
            record_ttl_ms: 1_000_000,
            max_records: 1_000,
            answer_cache_bytes: 1_000,
        };
        let mut requests = RequestTable::new(INCARNATION, limits);
        let mut observed = Observed::default();
        let mut now_ms = 0;
        for operation in operations {
            match operation {
                Operation::Admit { id, long, time_left_ms } => {
                    let id = RequestId::from_u128(id);
                    let deadline_ms = now_ms + time_left_ms;
                    let service = "s".into();
                    let admit = AdmissionRequest { id, service, deadline_ms, is_long: long };
                    if let Admitted::Granted(grant) = requests.admit(now_ms, admit) {
                        observed.grant(grant.id, grant.backend);
                    }
                }
                Operation::Fence { id, fence_off, incarnation } => {
                    let id = RequestId::from_u128(id);
                    let request = FenceRequest { id, incarnation, fence_off };
                    let answer = requests.fence(now_ms, &request);
                    let ran = observed.started.contains(&id);
                    prop_assert!(answer != FenceAnswer::NeverSeen || !ran, "{} did run", id);
                    if answer == FenceAnswer::NeverSeen && fence_off {
                        observed.fenced_off.insert(id);
                    }
                }
                Operation::Finish { nth, outcome } => {
                    if observed.running.is_empty() { continue }
                    let id = observed.running.remove(nth % observed.running.len());
                    let outcomes = [Outcome::Complete, Outcome::Broken, Outcome::NotRun];
                    let outcome = outcomes[outcome as usize];
                    requests.finish(now_ms, id, outcome, None);
                    if outcome == Outcome::NotRun {
                        observed.started.remove(&id);
                    }
                }
                Operation::Abandon { id } => requests.abandon(RequestId::from_u128(id)),
                Operation::Advance { ms } => now_ms += ms,
                Operation::Announce { server: number, leaving } => {
                    let announcement = Announcement {
                        service: "s".into(), address: server(number), slots: SLOTS, leaving,
                    };
                    requests.backends.announce(&announcement, now_ms + 500);
                }
            }
            for (id, outcome) in requests.advance(now_ms) {
                if let Ok(grant) = outcome {
                    prop_assert_eq!(id, grant.id);
                    observed.grant(grant.id, grant.backend);
                }
            }
        }
    }
}

/// Without a limit, long requests fill all slots and every short one waits for their end. A request
/// that was expected to be short and runs long counts against the limit too.
#[test]
fn long_requests_leave_slots_to_short_ones() {
    let limits = RequestLimits {
        queue_per_backend: 0,
        record_ttl_ms: 1_000,
        max_records: 1_000,
        answer_cache_bytes: 0,
    };
    let mut requests = RequestTable::new(INCARNATION, limits);
    let announcement = Announcement {
        service: "s".into(),
        address: server(0),
        slots: 8,
        leaving: false,
    };
    requests.backends.announce(&announcement, 10_000);
    let mut admit = |id: u128, now_ms: u64, long: bool| {
        let id = RequestId::from_u128(id);
        let admit = AdmissionRequest {
            id,
            service: "s".into(),
            deadline_ms: now_ms + 100,
            is_long: long,
        };
        matches!(requests.admit(now_ms, admit), Admitted::Granted(_))
    };
    let long = (0..8).filter(|id| admit(*id, 0, true)).count();
    assert_eq!(long, 4, "half of the slots");
    assert!(admit(10, 0, false));
    assert!(
        !admit(11, 600, true),
        "a short request that ran past the threshold counts as long"
    );
    assert!(admit(12, 600, false));
}
